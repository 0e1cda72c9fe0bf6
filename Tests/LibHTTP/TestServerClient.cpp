#include "LibHTTP/Client.h"
#include "LibHTTP/Server.h"

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

namespace {

Core::Task<void> handle(HTTP::Request request, HTTP::ResponseWriter& writer)
{
    Core::Reason reason;
    if (request.target == "/aborted") {
        co_await writer.startStream(200, {}, reason);
        co_await writer.writeChunk("half", reason);
        writer.abort();
        co_return;
    }
    if (request.target == "/stalled") {
        co_await writer.startStream(200, {}, reason);
        co_await writer.writeChunk("half", reason);
        co_await Core::sleepUntil(Core::Deadline::after(std::chrono::seconds(20)));
        co_return;
    }
    if (request.target == "/stream") {
        co_await writer.startStream(200, {}, reason);
        for (int i = 0; i < 100; ++i)
            co_await writer.writeChunk("piece;", reason);
        co_await writer.finishStream(reason);
        co_return;
    }
    co_await writer.send({ 200, {}, request.body + "!" }, reason);
}

struct Fixture {
    boost::asio::io_context context;
    HTTP::Server server { context.get_executor(), handle, HTTP::ServerLimits { 1024, 4096 } };
    HTTP::Client client { context.get_executor() };
    Core::Address address;

    Fixture()
    {
        Core::Reason reason;
        address = server.listen({ "127.0.0.1", 0 }, reason).value();
    }

    std::optional<HTTP::Response> call(HTTP::Request request, Core::Reason& reason, Core::Deadline deadline = Core::Deadline::after(std::chrono::seconds(20)))
    {
        std::optional<HTTP::Response> response;
        bool done = false;
        Core::spawn(context.get_executor(), "call", [](Fixture& fixture, HTTP::Request request, Core::Deadline deadline, Core::Reason& reason, std::optional<HTTP::Response>& response, bool& done) -> Core::Task<void> {
            response = co_await fixture.client.roundTrip(fixture.address, std::move(request), deadline, reason);
            done = true;
        }(*this, std::move(request), deadline, reason, response, done));
        while (!done)
            context.run_one();
        return response;
    }
};

}

// Guards against lost chunks, and against reuse of a connection whose previous response was not read completely.
Test(ServerClient, connectionIsReusedAfterStream)
{
    Fixture fixture;
    Core::Reason reason;
    std::optional<HTTP::Response> stream = fixture.call({ "GET", "/stream", {}, "" }, reason);
    cr_assert(stream, "%s", reason.text().c_str());
    cr_assert_eq(stream->body.size(), 600u);
    std::optional<HTTP::Response> completeResponse = fixture.call({ "POST", "/complete", {}, "body" }, reason);
    cr_assert(completeResponse, "%s", reason.text().c_str());
    cr_assert_eq(completeResponse->body, "body!");
}

// A truncated chunked response must be reported as an error, not as a complete response.
Test(ServerClient, abortedStreamIsAnError)
{
    Fixture fixture;
    Core::Reason reason;
    std::optional<HTTP::Response> response = fixture.call({ "GET", "/aborted", {}, "" }, reason);
    cr_assert_not(response);
    cr_assert_eq(reason.kind, Core::FailureKind::OutcomeUnknown);
}

// Guards against a read that never returns if the server stops sending in the middle of a body, and against reuse of that
// connection.
Test(ServerClient, stalledBodyTimesOut)
{
    Fixture fixture;
    Core::Reason reason;
    cr_assert_not(fixture.call({ "GET", "/stalled", {}, "" }, reason, Core::Deadline::after(std::chrono::milliseconds(200))));
    cr_assert_eq(reason.kind, Core::FailureKind::TimedOut, "%s", reason.text().c_str());
    std::optional<HTTP::Response> completeResponse = fixture.call({ "POST", "/complete", {}, "body" }, reason);
    cr_assert(completeResponse, "%s", reason.text().c_str());
    cr_assert_eq(completeResponse->body, "body!");
}

// A failed connection attempt must be reported as Unavailable (nothing sent), not as OutcomeUnknown.
Test(ServerClient, failedConnectionIsUnavailable)
{
    Fixture fixture;
    fixture.server.closeAll();
    Core::Reason reason;
    cr_assert_not(fixture.call({ "GET", "/", {}, "" }, reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Unavailable);
}

// Request bodies above the limit must be rejected.
Test(ServerClient, oversizedBodyIsRejected)
{
    Fixture fixture;
    Core::Reason reason;
    std::optional<HTTP::Response> response = fixture.call({ "POST", "/", {}, std::string(2000, 'x') }, reason);
    if (response)
        cr_assert_eq(response->status, 413u);
    else
        cr_assert_eq(reason.kind, Core::FailureKind::OutcomeUnknown);
}
