#include "LibEmulator/ServiceEmulator.h"
#include "LibEndpoint/ServiceClient.h"
#include "LibHTTP/Server.h"
#include "RawServer.h"
#include "RunTask.h"

using Core::FailureKind;

namespace {

struct Fixture {
    boost::asio::io_context context;
    Emulator::ServiceEmulator service { context.get_executor() };
    HTTP::Client client { context.get_executor() };
    Endpoint::ServiceClient services { client };
    Core::Reason reason;
    Core::Address address { service.listen({ "127.0.0.1", 0 }, reason).value() };

    std::optional<HTTP::Response> call(const std::string& key, std::chrono::milliseconds limit = std::chrono::seconds(30), HTTP::SendGuard guard = {})
    {
        HTTP::Request request { "POST", "/confirm", { { "Idempotency-Key", key } }, "order" };
        return TestSupport::runTask(context, services.call(address, std::move(request), Core::Deadline::after(limit), std::move(guard), reason));
    }
};

}

// A connection closed after the call ran must not be reported as "not run": a retry would run the call twice.
Test(ServiceClient, connectionClosedAfterRunMayHaveRun)
{
    Fixture fixture;
    Emulator::ServiceFaults faults;
    faults.closeAfterRun = { 1 };
    fixture.service.setFaults(faults);
    cr_assert_not(fixture.call("k"));
    cr_assert_eq(fixture.reason.kind, FailureKind::OutcomeUnknown);
    cr_assert_eq(fixture.service.runsOf("k", "/confirm"), 1);
}

// After a timeout the call may have run, so it must not be reported as "not run".
Test(ServiceClient, timeoutAfterSendingMayHaveRun)
{
    Fixture fixture;
    Emulator::ServiceFaults faults;
    faults.delayMs = 200;
    fixture.service.setFaults(faults);
    cr_assert_not(fixture.call("k", std::chrono::milliseconds(20)));
    cr_assert_eq(fixture.reason.kind, FailureKind::OutcomeUnknown);
}

// A service that stalls in the middle of its response has received the call, so the call may have run.
Test(ServiceClient, timeoutDuringResponseMayHaveRun)
{
    boost::asio::io_context context;
    HTTP::Server server(context.get_executor(), [](HTTP::Request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        Core::Reason ignored;
        co_await writer.startStream(200, {}, ignored);
        co_await writer.writeChunk("half", ignored);
        co_await Core::sleepUntil(Core::Deadline::after(std::chrono::seconds(30)));
    });
    Core::Reason reason;
    Core::Address address = server.listen({ "127.0.0.1", 0 }, reason).value();
    HTTP::Client client(context.get_executor());
    Endpoint::ServiceClient services(client);
    Core::Deadline deadline = Core::Deadline::after(std::chrono::milliseconds(300));
    cr_assert_not(TestSupport::runTask(context, services.call(address, { "POST", "/x", {}, "b" }, deadline, {}, reason)));
    cr_assert_eq(reason.kind, FailureKind::OutcomeUnknown);
}

// A call that was not sent must not be reported as possibly run: it would not be retried and the order would be lost.
Test(ServiceClient, unsentCallDidNotRun)
{
    Fixture fixture;
    cr_assert_not(fixture.call("k", std::chrono::seconds(30), [] { return false; }));
    cr_assert_eq(fixture.reason.kind, FailureKind::Refused);
    fixture.service.stop();
    cr_assert_not(fixture.call("k"));
    cr_assert_eq(fixture.reason.kind, FailureKind::Unavailable);
    cr_assert_eq(fixture.service.runsOf("k", "/confirm"), 0);
}

// An error status from the service must be passed on to the caller.
Test(ServiceClient, anyStatusIsReturned)
{
    Fixture fixture;
    Emulator::ServiceFaults faults;
    faults.refuse = { 1 };
    fixture.service.setFaults(faults);
    cr_assert_eq(fixture.call("k")->status, 503u);
    cr_assert_eq(fixture.call("k")->status, 200u);
}

// Hop-by-hop headers must not be forwarded in either direction.
Test(ServiceClient, hopByHopHeadersAreNotForwarded)
{
    boost::asio::io_context context;
    HTTP::Headers receivedHeaders;
    HTTP::Server server(context.get_executor(), [&receivedHeaders](HTTP::Request request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        receivedHeaders = request.headers;
        Core::Reason ignored;
        co_await writer.send({ 200, { { "Keep-Alive", "timeout=5" }, { "X-Kept", "yes" } }, "ok" }, ignored);
    });
    Core::Reason reason;
    Core::Address address = server.listen({ "127.0.0.1", 0 }, reason).value();
    HTTP::Client client(context.get_executor());
    Endpoint::ServiceClient services(client);
    HTTP::Request request { "POST", "/x", { { "Connection", "keep-alive, X-Hop" }, { "X-Hop", "1" }, { "X-End", "2" }, { "Host", "elsewhere" } }, "b" };
    std::optional<HTTP::Response> response = TestSupport::runTask(
        context, services.call(address, std::move(request), Core::Deadline::after(std::chrono::seconds(30)), {}, reason));
    cr_assert(response, "%s", reason.text().c_str());
    cr_assert_not(HTTP::findHeader(receivedHeaders, "X-Hop"));
    cr_assert_eq(HTTP::findHeader(receivedHeaders, "X-End").value_or(""), "2");
    cr_assert_eq(HTTP::findHeader(receivedHeaders, "Host").value_or(""), address.text());
    cr_assert_eq(HTTP::findHeader(receivedHeaders, "Connection").value_or(""), "close");
    cr_assert_not(HTTP::findHeader(response->headers, "Keep-Alive"));
    cr_assert_eq(HTTP::findHeader(response->headers, "X-Kept").value_or(""), "yes");
}

// Guards against an answer that is none being passed on to the caller of the standalone daemon, or taken for a call that did not run.
Test(ServiceClient, invalidResponseMayHaveRun)
{
    for (const std::string& head : { std::string("HTTP/1.1 000 OK\r\n"), std::string("HTTP/1.1 600 OK\r\n"), std::string("HTTP/1.1 101 OK\r\n\r\nHTTP/1.1 200 OK\r\n"), std::string("HTTP/1.1 200 OK\r\nOdd: a\r\n b: c\r\n"),
             std::string("HTTP/1.1 200 OK\r\nO dd: a\r\n"), std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n"), std::string("HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n") }) {
        boost::asio::io_context context;
        TestSupport::RawServer server(context, [head](boost::asio::ip::tcp::socket& socket) -> Core::Task<void> {
            if (co_await TestSupport::readRawRequest(socket))
                co_await TestSupport::writeRaw(socket, head + "Content-Length: 4\r\n\r\nbody");
        });
        HTTP::Client client(context.get_executor());
        Endpoint::ServiceClient services(client);
        Core::Reason reason;
        std::optional<HTTP::Response> response = TestSupport::runTask(
            context, services.call(server.address(), { "POST", "/x", {}, "b" }, Core::Deadline::after(std::chrono::seconds(5)), {}, reason));
        cr_assert_not(response, "%s was passed on", head.c_str());
        cr_assert_eq(reason.kind, FailureKind::OutcomeUnknown, "%s: %s", head.c_str(), reason.text().c_str());
        cr_assert_eq(reason.peer, server.address().text());
    }
}
