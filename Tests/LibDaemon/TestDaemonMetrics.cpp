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

// Platform calls must be counted under their failure kind, and their results must be returned unchanged.
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
    cr_assert(TestSupport::runTask(context, putTwice(metrics.instrument(store))));
    std::string text = metrics.registry().text();
    assertContains(text, "jujuberelay_platform_calls_total{call=\"put\",result=\"success\"} 1");
    assertContains(text, std::string("jujuberelay_platform_calls_total{call=\"put\",result=\"") + Core::nameOf(Core::FailureKind::Conflict) + "\"} 1");
    assertContains(text, "jujuberelay_platform_call_seconds_count{call=\"put\"} 2");
}

// Each refusal must both be counted and be forwarded to the callback that logs it.
Test(DaemonMetrics, refusalsAreCountedAndForwarded)
{
    DaemonMetrics metrics;
    int forwarded = 0;
    Caller::Observer observer = metrics.callerObserver([&forwarded](const Caller::Refusal&) { ++forwarded; });
    observer.onRefused(Caller::badRequestRefusal("step", "message"));
    observer.onEnded(Caller::RequestOutcome::NotRun);
    cr_assert_eq(forwarded, 1);
    assertContains(metrics.registry().text(), "jujuberelay_refusals_total{code=\"bad_request\"} 1");
    assertContains(metrics.registry().text(), "jujuberelay_requests_total{outcome=\"not_run\"} 1");
}

// Instrumented hooks must still call the original ones.
Test(DaemonMetrics, endpointRequestsAreCounted)
{
    DaemonMetrics metrics;
    int done = 0;
    Caller::Hooks hooks;
    hooks.finishRoute = [&done](const Caller::Route&, Caller::RouteResult) { ++done; };
    Caller::Hooks instrumented = metrics.instrument(hooks);
    instrumented.finishRoute({ "a", {}, 1 }, { true, false });
    instrumented.finishRoute({ "a", {}, 2 }, { false, true });
    cr_assert_eq(done, 2);
    assertContains(metrics.registry().text(), "jujuberelay_endpoint_requests_total{endpoint=\"a\",result=\"succeeded\"} 1");
    assertContains(metrics.registry().text(), "jujuberelay_endpoint_requests_total{endpoint=\"a\",result=\"failed\"} 1");
}
