#include "LibHTTP/Client.h"
#include "LibHTTP/Server.h"

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

namespace {

Core::Task<void> answer(HTTP::Request request, HTTP::ResponseWriter& writer)
{
    Core::Reason reason;
    if (request.target == "/broken") {
        co_await writer.startStream(200, {}, reason);
        co_await writer.writeChunk("half", reason);
        writer.abort();
        co_return;
    }
    if (request.target == "/silent") {
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
    HTTP::Server server { context.get_executor(), answer, HTTP::ServerLimits { 1024, 4096 } };
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

// Guards against responses that lose or reorder chunks, and against reuse of a connection in a wrong state.
Test(ServerClient, streamThenWholeOnSameConnection)
{
    Fixture fixture;
    Core::Reason reason;
    std::optional<HTTP::Response> stream = fixture.call({ "GET", "/stream", {}, "" }, reason);
    cr_assert(stream, "%s", reason.text().c_str());
    cr_assert_eq(stream->body.size(), 600u);
    std::optional<HTTP::Response> whole = fixture.call({ "POST", "/whole", {}, "body" }, reason);
    cr_assert(whole, "%s", reason.text().c_str());
    cr_assert_eq(whole->body, "body!");
}

// Guards against a truncated stream that looks complete.
Test(ServerClient, abortedStreamIsAnError)
{
    Fixture fixture;
    Core::Reason reason;
    std::optional<HTTP::Response> response = fixture.call({ "GET", "/broken", {}, "" }, reason);
    cr_assert_not(response);
    cr_assert_eq(reason.kind, Core::FailureKind::OutcomeUnknown);
}

// Guards against a read without an end when the server falls silent in the middle of a body, and against reuse of that
// connection.
Test(ServerClient, silentBodyTimesOut)
{
    Fixture fixture;
    Core::Reason reason;
    cr_assert_not(fixture.call({ "GET", "/silent", {}, "" }, reason, Core::Deadline::after(std::chrono::milliseconds(200))));
    cr_assert_eq(reason.kind, Core::FailureKind::TimedOut, "%s", reason.text().c_str());
    std::optional<HTTP::Response> whole = fixture.call({ "POST", "/whole", {}, "body" }, reason);
    cr_assert(whole, "%s", reason.text().c_str());
    cr_assert_eq(whole->body, "body!");
}

// Guards against a failed connection being reported as if the request could have run.
Test(ServerClient, refusedConnectionSentNothing)
{
    Fixture fixture;
    fixture.server.closeAll();
    Core::Reason reason;
    cr_assert_not(fixture.call({ "GET", "/", {}, "" }, reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Unavailable);
}

// Guards against unbounded request bodies.
Test(ServerClient, oversizedBodyIsRefused)
{
    Fixture fixture;
    Core::Reason reason;
    std::optional<HTTP::Response> response = fixture.call({ "POST", "/", {}, std::string(2000, 'x') }, reason);
    if (response)
        cr_assert_eq(response->status, 413u);
    else
        cr_assert_eq(reason.kind, Core::FailureKind::OutcomeUnknown);
}
