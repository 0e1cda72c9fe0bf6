#include "RelayFixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

using namespace RelayTest;

static Core::Task<void> send(HTTP::ResponseWriter& writer, HTTP::Response response)
{
    Core::Reason ignored;
    co_await writer.send(std::move(response), ignored);
}

// Guards against altering a response while forwarding it.
Test(RequestHandler, forwardsTheResponse)
{
    Fixture fixture;
    fixture.answer = [](const HTTP::Request& request, HTTP::ResponseWriter& writer) { return send(writer, { 200, sealed(request), "answer to " + request.body }); };
    std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/once/a?b=c"));
    cr_assert_eq(response->status, 200);
    cr_assert_eq(response->body, "answer to body");
    cr_assert_eq(HTTP::findHeader(response->headers, "Seal").value(), "s");
    cr_assert_eq(fixture.arrivals.at(0).target, "/once/a?b=c");
}

// Guards against retrying a non-repeatable request that may have run, and against refusing it as if it had not run.
Test(RequestHandler, requestThatMayHaveRunIsNeverRepeated)
{
    Fixture fixture;
    fixture.answer = [](const HTTP::Request&, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        writer.abort();
        co_return;
    };
    std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/once/a"));
    cr_assert_eq(response->status, 502);
    cr_assert_eq(fixture.arrivals.size(), 1);
    cr_assert(response->body.find("\"ran\":\"unknown\"") != std::string::npos);
}

// Guards against failing a request after one endpoint's refusal while another endpoint can serve it.
Test(RequestHandler, refusedRequestGoesToAnotherEndpoint)
{
    Fixture fixture;
    fixture.answer = [&fixture](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        if (fixture.arrivals.size() == 1)
            co_await send(writer, { 503, { { "Id", "r1" }, { "Not-Run", "1" } }, "" });
        else
            co_await send(writer, { 200, sealed(request), "ok" });
    };
    cr_assert_eq(fixture.call(fixture.makeRequest("/once/a"))->status, 200);
    cr_assert_eq(fixture.arrivals.size(), 2);
}

// Guards against trying more endpoints than the route allows, and against a refusal without Retry-After.
Test(RequestHandler, attemptsAreLimited)
{
    Fixture fixture(4);
    fixture.answer = [](const HTTP::Request&, HTTP::ResponseWriter& writer) { return send(writer, { 503, { { "Id", "r1" }, { "Not-Run", "1" } }, "" }); };
    std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/once/a"));
    cr_assert_eq(response->status, 503);
    cr_assert(HTTP::findHeader(response->headers, "Retry-After").has_value());
    cr_assert_eq(fixture.arrivals.size(), 2);
}

// Guards against forwarding an endpoint's failure of a repeatable request while another endpoint can serve it.
Test(RequestHandler, repeatableRequestIsRepeatedAfterAFailure)
{
    Fixture fixture;
    fixture.answer = [&fixture](const HTTP::Request& request, HTTP::ResponseWriter& writer) {
        return send(writer, { fixture.arrivals.size() == 1 ? 500u : 200u, sealed(request), "x" });
    };
    cr_assert_eq(fixture.call(fixture.makeRequest("/again/a"))->status, 200);
}

// Guards against forwarding a response to another request, or one without the endpoint's seal.
Test(RequestHandler, unsealedAndMismatchedResponsesAreRejected)
{
    Fixture fixture(1);
    fixture.answer = [](const HTTP::Request&, HTTP::ResponseWriter& writer) { return send(writer, { 200, { { "Id", "r1" } }, "unsealed" }); };
    cr_assert_eq(fixture.call(fixture.makeRequest("/once/a"))->status, 502);
    fixture.answer = [](const HTTP::Request&, HTTP::ResponseWriter& writer) { return send(writer, { 200, { { "Id", "other" }, { "Seal", "s" } }, "foreign" }); };
    cr_assert_eq(fixture.call(fixture.makeRequest("/once/a", { { "Timeout", "300" } }))->status, 504);
}

// Guards against losing or repeating events when a stream is resumed at another endpoint.
Test(RequestHandler, streamResumesAtAnotherEndpoint)
{
    Fixture fixture;
    fixture.answer = [&fixture](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        Core::Reason reason;
        bool isFirst = fixture.arrivals.size() == 1;
        cr_assert_eq(HTTP::findHeader(request.headers, "Last-Event").value_or(""), isFirst ? "" : "2");
        co_await writer.startStream(200, sealed(request), reason);
        co_await writer.writeChunk(isFirst ? "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda" : "id: 3\ndata: c\n\n", reason);
        if (isFirst)
            writer.abort();
        else
            co_await writer.finishStream(reason);
    };
    std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/stream/a"));
    cr_assert_eq(response->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
}

// Guards against a truncated stream that cannot be resumed appearing complete to the caller.
Test(RequestHandler, brokenStreamIsAborted)
{
    Fixture fixture;
    fixture.answer = [](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        Core::Reason reason;
        co_await writer.startStream(200, sealed(request), reason);
        co_await writer.writeChunk("id: 1\ndata: a\n\n", reason);
        writer.abort();
    };
    cr_assert_not(fixture.call(fixture.makeRequest("/single/a")).has_value());
    cr_assert_eq(fixture.arrivals.size(), 1);
}

// Guards against forwarding a stream with a missing event as complete.
Test(RequestHandler, missingEventAbortsTheStream)
{
    Fixture fixture;
    fixture.answer = [](const HTTP::Request& request, HTTP::ResponseWriter& writer) {
        return send(writer, { 200, sealed(request), "id: 1\ndata: a\n\nid: 3\ndata: c\n\n" });
    };
    cr_assert_not(fixture.call(fixture.makeRequest("/single/a")).has_value());
}

// Guards against endpoints continuing to work for callers that have disconnected.
Test(RequestHandler, callerDisconnectCancelsTheRequest)
{
    Fixture fixture;
    bool isEndpointNotified = false;
    fixture.answer = [&isEndpointNotified](const HTTP::Request&, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        writer.onClientDisconnect([&isEndpointNotified] { isEndpointNotified = true; });
        while (!isEndpointNotified)
            co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(5)));
    };
    Core::Reason reason;
    HTTP::Client caller(fixture.context.get_executor());
    cr_assert_not(TestSupport::runTask(
        fixture.context, caller.roundTrip(fixture.address, fixture.makeRequest("/once/a"), Core::Deadline::after(std::chrono::milliseconds(200)), reason)));
    TestSupport::runUntil(fixture.context, [&isEndpointNotified] { return isEndpointNotified; });
}

// Guards against a permanent error for a route or key that is newer than this daemon's configuration.
Test(RequestHandler, unknownRouteIsOnlyDeniedWhenTheStoreConfirmsIt)
{
    Fixture fixture;
    cr_assert_eq(fixture.call(fixture.makeRequest("/none/"))->status, 404);
    HTTP::Request request { "POST", "/once/a", { { "Id", "r1" }, { "Key", "unknown" } }, "" };
    cr_assert_eq(fixture.call(request)->status, 401);
    fixture.isStoreAnswering = false;
    cr_assert_eq(fixture.call(fixture.makeRequest("/none/"))->status, 503);
    cr_assert_eq(fixture.call(request)->status, 503);
    cr_assert(fixture.arrivals.empty());
}

// Guards against sending requests that exceed the budget to an endpoint, and against not releasing unused tokens.
Test(RequestHandler, budgetIsHeldAndSettled)
{
    Fixture fixture;
    fixture.answer = [](const HTTP::Request& request, HTTP::ResponseWriter& writer) { return send(writer, { 200, sealed(request), "id: 1\ndata: a\n\n" }); };
    cr_assert_eq(fixture.call(fixture.makeRequest("/single/a", { { "Tokens", "2000" } }))->status, 402);
    cr_assert(fixture.arrivals.empty());
    cr_assert_eq(fixture.call(fixture.makeRequest("/single/a", { { "Tokens", "600" } }))->status, 200);
    // 601 of 1,000 tokens are spent: the prompt and one event.
    cr_assert_eq(fixture.call(fixture.makeRequest("/single/a", { { "Tokens", "390" } }))->status, 402);
    cr_assert_eq(fixture.call(fixture.makeRequest("/single/a", { { "Tokens", "389" } }))->status, 200);
}

// Guards against keeping a registration whose address another endpoint has taken over.
Test(RequestHandler, misdirectedRequestRejectsTheEntry)
{
    Fixture fixture;
    fixture.answer = [&fixture](const HTTP::Request& request, HTTP::ResponseWriter& writer) {
        bool isFirst = fixture.arrivals.size() == 1;
        return send(writer, isFirst ? HTTP::Response { 421, { { "Id", "r1" }, { "Not-Run", "1" } }, "" } : HTTP::Response { 200, sealed(request), "" });
    };
    cr_assert_eq(fixture.call(fixture.makeRequest("/once/a"))->status, 200);
    cr_assert_eq(fixture.rejected.size(), 1);
}

// Guards against leaving malformed requests without a response.
Test(RequestHandler, malformedRequestIsRefused)
{
    Fixture fixture;
    cr_assert_eq(fixture.call({ "GET", "/once/a", {}, "" })->status, 400);
}

// Guards against writing a second response into a stream when the endpoint that should resume it fails.
Test(RequestHandler, failureOfTheSecondEndpointBreaksTheStream)
{
    Fixture fixture;
    fixture.answer = [&fixture](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        Core::Reason reason;
        if (fixture.arrivals.size() > 1) {
            co_await send(writer, { 500, sealed(request), "failed" });
            co_return;
        }
        co_await writer.startStream(200, sealed(request), reason);
        co_await writer.writeChunk("id: 1\ndata: a\n\n", reason);
        writer.abort();
    };
    Core::Reason reason;
    HTTP::Client caller(fixture.context.get_executor());
    std::optional<std::unique_ptr<HTTP::ResponseStream>> stream = TestSupport::runTask(
        fixture.context, caller.open(fixture.address, fixture.makeRequest("/stream/a"), Core::Deadline::after(std::chrono::seconds(20)), reason));
    std::string received;
    for (std::optional<std::string> chunk = std::string("-"); chunk && !chunk->empty();) {
        chunk = TestSupport::runTask(fixture.context, (*stream)->readSome(Core::Deadline::after(std::chrono::seconds(20)), reason));
        received += chunk.value_or("");
    }
    cr_assert_eq(received, "id: 1\ndata: a\n\n");
    cr_assert_eq(reason.kind, Core::FailureKind::OutcomeUnknown);
    // A parser error would say that bytes of another response followed.
    cr_assert(reason.message.find("chunk") == std::string::npos, "%s", reason.message.c_str());
    cr_assert_eq(fixture.arrivals.size(), 2);
}

// Load pattern: rolling stops of most daemons of a failure domain, whose load balancer then chooses stopping ones, too.
// Guards against cutting off a request that was accepted too late to be finished, and against refusing one that can be.
Test(RequestHandler, stoppingDaemonRefusesWhatItCannotFinish)
{
    Fixture fixture;
    fixture.servesUntil = Core::Deadline::after(std::chrono::seconds(2));
    fixture.answer = [](const HTTP::Request& request, HTTP::ResponseWriter& writer) { return send(writer, { 200, sealed(request), "ok" }); };
    std::optional<HTTP::Response> refused = fixture.call(fixture.makeRequest("/single/a", { { "Timeout", "9000" } }));
    cr_assert_eq(refused->status, 503);
    cr_assert(refused->body.find("\"ran\":\"not_run\"") != std::string::npos);
    cr_assert(HTTP::findHeader(refused->headers, "Retry-After").has_value());
    cr_assert(fixture.arrivals.empty());
    cr_assert_eq(fixture.call(fixture.makeRequest("/once/a", { { "Timeout", "1000" } }))->status, 200);
}

// Load pattern: all hosts are cut off for several seconds, and the tokens kept for that are used up.
// Guards against inviting callers back while the cut most likely lasts: their second refusal costs them more than the first.
Test(RequestHandler, retryAfterGrowsWithTheOutage)
{
    Fixture fixture;
    fixture.store.setOutage(true);
    auto retryAfter = [&fixture](int silenceMs) {
        fixture.storeSilence = std::chrono::milliseconds(silenceMs);
        std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/single/a", { { "Tokens", "20" } }));
        cr_assert_eq(response->status, 503);
        return HTTP::findHeader(response->headers, "Retry-After").value_or("");
    };
    cr_assert_eq(retryAfter(100), "0.700");
    cr_assert_eq(retryAfter(2'500), "2.500");
    cr_assert_eq(retryAfter(60'000), "5.000");
}

// Load pattern: the load balancer sends one host a large part of all requests, and it reads them after their callers have left.
// Guards against sending such a request to an endpoint: the caller's close stands behind it in the socket, and is noticed only after
// the request has been sent (46 requests of one host in a second).
Test(RequestHandler, requestOfACallerThatHasLeftIsNotSent)
{
    Fixture fixture(1);
    fixture.answer = [](const HTTP::Request& request, HTTP::ResponseWriter& writer) { return send(writer, { 200, sealed(request), "ok" }); };
    // Leaves an idle connection to the endpoint, on which the next request is written at once.
    cr_assert_eq(fixture.call(fixture.makeRequest("/once/a"))->status, 200);
    fixture.arrivals.clear();
    // Both wait in the socket before the relay runs for the first time.
    boost::asio::ip::tcp::socket caller(fixture.context);
    caller.connect({ boost::asio::ip::make_address("127.0.0.1"), fixture.address.port });
    std::string request = "POST /once/a HTTP/1.1\r\nHost: test\r\nId: r1\r\nKey: key\r\nContent-Length: 0\r\n\r\n";
    boost::asio::write(caller, boost::asio::buffer(request));
    caller.close();
    Core::Deadline end = Core::Deadline::after(std::chrono::milliseconds(300));
    TestSupport::runTask(fixture.context, [](Core::Deadline until) -> Core::Task<bool> {
        co_await Core::sleepUntil(until);
        co_return true;
    }(end));
    cr_assert(fixture.arrivals.empty());
}

// Guards against a request that names a huge maximum being served and lifting its workspace's limit (review/2).
Test(RequestHandler, hugeMaximumIsRefusedWithoutEffect)
{
    Fixture fixture;
    fixture.answer = [](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        Core::Reason ignored;
        co_await writer.startStream(200, sealed(request), ignored);
        co_await writer.writeChunk("id: 1\ndata: a\n\n", ignored);
        co_await writer.finishStream(ignored);
    };
    for (const char* maximum : { "9223372036854775807", "9223372036854775408" })
        cr_assert_eq(fixture.call(fixture.makeRequest("/single/a", { { "Tokens", "400" }, { "Max-Output", maximum } }))->status, 402);
    for (int i = 0; i < 2; ++i)
        cr_assert_eq(fixture.call(fixture.makeRequest("/single/a", { { "Tokens", "400" } }))->status, 200);
    cr_assert_eq(fixture.call(fixture.makeRequest("/single/a", { { "Tokens", "400" } }))->status, 402);
    cr_assert_eq(fixture.arrivals.size(), 2);
}

// Guards against output beyond the maximum that a request names being delivered free of charge, or beyond the budget.
Test(RequestHandler, outputBeyondTheMaximumIsCharged)
{
    Fixture fixture;
    fixture.answer = [](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        Core::Reason ignored;
        co_await writer.startStream(200, sealed(request), ignored);
        for (int event = 1; event <= 60; ++event)
            co_await writer.writeChunk("id: " + std::to_string(event) + "\ndata: a\n\n", ignored);
        co_await writer.finishStream(ignored);
    };
    HTTP::Headers tokens { { "Tokens", "400" }, { "Max-Output", "0" } };
    cr_assert_eq(fixture.call(fixture.makeRequest("/single/a", tokens))->status, 200);
    // 540 of 1,000 tokens are left: the prompt and 60 events of the next request fit, of the last one only the prompt and 40 events.
    cr_assert_eq(fixture.call(fixture.makeRequest("/single/a", { { "Tokens", "440" }, { "Max-Output", "0" } })).value().status, 200);
    cr_assert_eq(fixture.call(fixture.makeRequest("/single/a", { { "Tokens", "41" }, { "Max-Output", "0" } })).value().status, 402);
    cr_assert_not(fixture.call(fixture.makeRequest("/stream/a", { { "Tokens", "0" }, { "Max-Output", "0" } })), "a stream beyond the budget was completed");
    cr_assert_eq(fixture.call(fixture.makeRequest("/single/a", { { "Tokens", "1" }, { "Max-Output", "0" } })).value().status, 402);
}
