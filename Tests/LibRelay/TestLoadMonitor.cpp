#include "LibRelay/LoadMonitor.h"

#include <criterion/criterion.h>
#include <deque>
#include <utility>

using namespace Relay;
using std::chrono::milliseconds;

// Guards against refusing requests after a single pause, such as that of a suspended host or of a large configuration.
Test(LoadMonitor, singlePauseIsNoOverload)
{
    LoadMonitor monitor;
    LoadMonitor::TimePoint now {};
    monitor.record(now, now + milliseconds(5'000));
    cr_assert_not(monitor.isOverloaded());
    monitor.record(now, now + milliseconds(20));
    monitor.record(now, now + milliseconds(5'000));
    cr_assert_not(monitor.isOverloaded());
}

// Load pattern: the load balancer's hash sends one host a sixth of all requests, more than its share of a processor serves.
// Guards against its queue growing by seconds, where requests are served after their callers have left: with refusals that cost a
// tenth of a request, the wait of those that are served has to stay below two seconds.
Test(LoadMonitor, overloadedHostKeepsItsQueueShort)
{
    static constexpr milliseconds arrivalInterval(5);
    static constexpr milliseconds serviceTime(8);
    static constexpr milliseconds refusalTime(1);
    LoadMonitor monitor;
    LoadMonitor::TimePoint now {};
    LoadMonitor::TimePoint end = now + std::chrono::seconds(30);
    LoadMonitor::TimePoint nextArrival = now;
    LoadMonitor::TimePoint nextSample = now + LoadMonitor::sampleInterval;
    // Arrival times of the requests that wait, and the longest wait of one that was served.
    std::deque<LoadMonitor::TimePoint> queue;
    milliseconds longestWait(0);
    int served = 0;
    int refused = 0;
    while (now < end) {
        for (; nextArrival <= now; nextArrival += arrivalInterval)
            queue.push_back(nextArrival);
        // The timer is handled after the requests that were ready before it, as in an event loop.
        std::deque<LoadMonitor::TimePoint> ready = std::exchange(queue, {});
        for (LoadMonitor::TimePoint arrival : ready) {
            bool isRefused = monitor.isOverloaded();
            (isRefused ? refused : served) += 1;
            if (!isRefused)
                longestWait = std::max(longestWait, std::chrono::duration_cast<milliseconds>(now - arrival));
            now += isRefused ? refusalTime : serviceTime;
        }
        if (ready.empty())
            now = std::min(nextArrival, nextSample);
        if (now >= nextSample) {
            monitor.record(nextSample, now);
            nextSample = now + LoadMonitor::sampleInterval;
        }
    }
    cr_assert_lt(longestWait, std::chrono::seconds(2), "%ld ms", static_cast<long>(longestWait.count()));
    cr_assert_gt(served, 30'000 / serviceTime.count() / 2, "%d served, %d refused", served, refused);
}
