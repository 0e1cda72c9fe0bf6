#include "DaemonMetrics.h"
#include "RunTask.h"

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

static void assertContains(const std::string& text, const std::string& line)
{
    cr_assert(text.find(line + "\n") != std::string::npos, "%s is missing in:\n%s", line.c_str(), text.c_str());
}

static Core::Task<bool> putTwice(Platform::ObjectStore store)
{
    Core::Reason reason;
    Core::Deadline deadline = Core::Deadline::never();
    std::optional<Platform::Version> first = co_await store.put("a", "1", 0, deadline, reason);
    std::optional<Platform::Version> second = co_await store.put("a", "2", 0, deadline, reason);
    co_return first && !second;
}

// Guards against platform calls that are counted under a wrong failure kind, and against results that the counting changes.
Test(DaemonMetrics, platformCallsAreCountedByFailureKind)
{
    boost::asio::io_context context;
    DaemonMetrics metrics;
    Platform::ObjectStore store;
    store.put = [](std::string, std::string, Platform::Version, Core::Deadline, Core::Reason& reason) -> Core::Task<std::optional<Platform::Version>> {
        static int calls = 0;
        if (++calls == 1)
            co_return 1;
        reason.kind = Core::FailureKind::Conflict;
        co_return std::nullopt;
    };
    cr_assert(TestSupport::runTask(context, putTwice(metrics.measured(store))));
    std::string text = metrics.registry().text();
    assertContains(text, "jujuberelay_platform_calls_total{call=\"put\",result=\"success\"} 1");
    assertContains(text, std::string("jujuberelay_platform_calls_total{call=\"put\",result=\"") + Core::nameOf(Core::FailureKind::Conflict) + "\"} 1");
    assertContains(text, "jujuberelay_platform_call_seconds_count{call=\"put\"} 2");
}

// Guards against refusals that reach the metrics but not the log, or the other way round.
Test(DaemonMetrics, refusalsAreCountedAndPassedOn)
{
    DaemonMetrics metrics;
    int passedOn = 0;
    Caller::Observer observer = metrics.callerObserver([&passedOn](const Caller::Refusal&) { ++passedOn; });
    observer.onRefused(Caller::badRequestRefusal("step", "message"));
    observer.onEnded(Caller::RequestOutcome::NotRun);
    cr_assert_eq(passedOn, 1);
    assertContains(metrics.registry().text(), "jujuberelay_refusals_total{code=\"bad_request\"} 1");
    assertContains(metrics.registry().text(), "jujuberelay_requests_total{outcome=\"not_run\"} 1");
}

// Guards against hooks that are replaced by measured ones without being called.
Test(DaemonMetrics, endpointRequestsAreCounted)
{
    DaemonMetrics metrics;
    int done = 0;
    Caller::Hooks hooks;
    hooks.finishRoute = [&done](const Caller::Route&, Caller::RouteResult) { ++done; };
    Caller::Hooks measured = metrics.measured(hooks);
    measured.finishRoute({ "a", {}, 1 }, { true, false });
    measured.finishRoute({ "a", {}, 2 }, { false, true });
    cr_assert_eq(done, 2);
    assertContains(metrics.registry().text(), "jujuberelay_endpoint_requests_total{endpoint=\"a\",result=\"succeeded\"} 1");
    assertContains(metrics.registry().text(), "jujuberelay_endpoint_requests_total{endpoint=\"a\",result=\"failed\"} 1");
}
