#include "LibEmulator/ServiceEmulator.h"
#include "LibEndpoint/ServiceClient.h"
#include "LibHTTP/Server.h"
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

// Guards against a call that ran but is reported as not run, which would allow a second confirmation.
Test(ServiceClient, closedAfterTheRunMayHaveRun)
{
    Fixture fixture;
    Emulator::ServiceFaults faults;
    faults.closeAfterRun = { 1 };
    fixture.service.setFaults(faults);
    cr_assert_not(fixture.call("k"));
    cr_assert_eq(fixture.reason.kind, FailureKind::OutcomeUnknown);
    cr_assert_eq(fixture.service.runsOf("k", "/confirm"), 1);
}

// Guards against a timeout that is reported as not run.
Test(ServiceClient, timeoutAfterSendingMayHaveRun)
{
    Fixture fixture;
    Emulator::ServiceFaults faults;
    faults.delayMs = 200;
    fixture.service.setFaults(faults);
    cr_assert_not(fixture.call("k", std::chrono::milliseconds(20)));
    cr_assert_eq(fixture.reason.kind, FailureKind::OutcomeUnknown);
}

// Guards against a service that stalls in the middle of its answer and is reported as if the call had not been sent.
Test(ServiceClient, timeoutInTheAnswerMayHaveRun)
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

// Guards against a call that was never sent but is reported as possibly run, which would lose an order.
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

// Guards against a service's own refusal that is hidden from the caller.
Test(ServiceClient, anyStatusIsTheAnswer)
{
    Fixture fixture;
    Emulator::ServiceFaults faults;
    faults.refuse = { 1 };
    fixture.service.setFaults(faults);
    cr_assert_eq(fixture.call("k")->status, 503u);
    cr_assert_eq(fixture.call("k")->status, 200u);
}

// Guards against headers of the caller's connection that reach the service, and the reverse.
Test(ServiceClient, connectionHeadersAreNotForwarded)
{
    boost::asio::io_context context;
    HTTP::Headers seen;
    HTTP::Server server(context.get_executor(), [&seen](HTTP::Request request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        seen = request.headers;
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
    cr_assert_not(HTTP::findHeader(seen, "X-Hop"));
    cr_assert_eq(HTTP::findHeader(seen, "X-End").value_or(""), "2");
    cr_assert_eq(HTTP::findHeader(seen, "Host").value_or(""), address.text());
    cr_assert_eq(HTTP::findHeader(seen, "Connection").value_or(""), "close");
    cr_assert_not(HTTP::findHeader(response->headers, "Keep-Alive"));
    cr_assert_eq(HTTP::findHeader(response->headers, "X-Kept").value_or(""), "yes");
}
