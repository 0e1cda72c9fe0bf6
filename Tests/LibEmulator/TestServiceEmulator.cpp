#include "LibEmulator/ServiceEmulator.h"
#include "LibHTTP/Client.h"
#include "RunTask.h"
#include <nlohmann/json.hpp>

namespace {

struct ServiceFixture {
    boost::asio::io_context context;
    Emulator::ServiceEmulator service { context.get_executor() };
    HTTP::Client client { context.get_executor() };
    Core::Reason reason;
    Core::Address address { service.listen({ "127.0.0.1", 0 }, reason).value() };

    std::optional<HTTP::Response> call(HTTP::Request request, std::chrono::milliseconds limit = std::chrono::seconds(30))
    {
        return TestSupport::runTask(context,
            client.roundTrip(address, std::move(request), Core::Deadline::after(limit), reason, HTTP::ConnectionUse::Fresh));
    }

    static HTTP::Request confirm(const std::string& key) { return { "POST", "/confirm?x=1", { { "Idempotency-Key", key } }, "order 1" }; }
};

}

// Every execution must be counted, as a duplicated confirmation would otherwise go undetected.
Test(ServiceEmulator, countsRunsByKeyAndPath)
{
    ServiceFixture fixture;
    cr_assert(fixture.call(ServiceFixture::confirm("k")));
    std::optional<HTTP::Response> second = fixture.call(ServiceFixture::confirm("k"));
    cr_assert_eq(nlohmann::json::parse(second->body)["run"].get<int64_t>(), 2);
    cr_assert(fixture.call(ServiceFixture::confirm("other")));
    cr_assert_eq(fixture.service.runsOf("k", "/confirm"), 2);
    nlohmann::json counters = nlohmann::json::parse(fixture.call({ "GET", "/control/counters", {}, "" })->body);
    cr_assert_eq(counters["runs"].get<int64_t>(), 3);
    cr_assert_eq(counters["calls"].size(), 2u);
}

// Guards against close_before_run and close_after_run faults on the wrong side of the execution.
Test(ServiceEmulator, closesBeforeOrAfterTheRun)
{
    ServiceFixture fixture;
    cr_assert_eq(fixture.call({ "POST", "/control/faults", {}, R"({"close_after_run": 1})" })->status, 200u);
    cr_assert_not(fixture.call(ServiceFixture::confirm("after")));
    cr_assert_eq(fixture.service.runsOf("after", "/confirm"), 1);
    fixture.call({ "POST", "/control/faults", {}, R"({"close_before_run": 1})" });
    cr_assert_not(fixture.call(ServiceFixture::confirm("before")));
    cr_assert_eq(fixture.service.runsOf("before", "/confirm"), 0);
    fixture.call({ "POST", "/control/faults", {}, R"({"refuse": 1})" });
    cr_assert_eq(fixture.call(ServiceFixture::confirm("refused"))->status, 503u);
    cr_assert_eq(fixture.service.runsOf("refused", "/confirm"), 0);
    cr_assert_eq(fixture.call(ServiceFixture::confirm("fine"))->status, 200u);
}

// A delayed call must be executed even if its caller has timed out, as real services do.
Test(ServiceEmulator, delayedCallRunsWithoutItsCaller)
{
    ServiceFixture fixture;
    Emulator::ServiceFaults faults;
    faults.delayMs = 100;
    fixture.service.setFaults(faults);
    cr_assert_not(fixture.call(ServiceFixture::confirm("late"), std::chrono::milliseconds(10)));
    TestSupport::runUntil(fixture.context, [&] { return fixture.service.runsOf("late", "/confirm") == 1; });
}
