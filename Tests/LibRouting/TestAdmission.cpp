#include "LibRouting/AdmissionQueue.h"
#include "LibRouting/RetryBudget.h"
#include "LibRouting/WaitingList.h"
#include "RunTask.h"

using Core::Deadline;
using Core::FailureKind;
using Routing::AdmissionQueue;
using Routing::RetryBudget;
using Routing::Waiter;
using Routing::WaitingList;
using Milliseconds = std::chrono::milliseconds;
using TimePoint = WaitingList::TimePoint;

static TimePoint at(int64_t ms)
{
    return TimePoint {} + std::chrono::hours(1) + Milliseconds(ms);
}

static Waiter waiter(uint64_t id, int priority, int64_t deadlineMs)
{
    return { id, priority, Deadline(at(deadlineMs)) };
}

// Guards against a list that ignores priorities or the order of arrival.
Test(WaitingList, ordersByPriorityAndArrival)
{
    WaitingList list({});
    list.add(waiter(1, 0, 1000), at(0));
    list.add(waiter(2, 5, 1000), at(0));
    list.add(waiter(3, 0, 1000), at(0));
    list.add(waiter(4, 5, 1000), at(0));
    for (uint64_t expected : { 2, 4, 1, 3 }) {
        cr_assert_eq(list.first()->id, expected);
        list.admitFirst(at(0));
    }
    cr_assert_not(list.first());
}

// Guards against a full list that refuses a request of high priority instead of the last one.
Test(WaitingList, fullListRefusesTheLast)
{
    WaitingList list({ 2, Milliseconds(0) });
    cr_assert(list.add(waiter(1, 0, 1000), at(0)).empty());
    cr_assert(list.add(waiter(2, 0, 1000), at(0)).empty());
    std::vector<Waiter> refused = list.add(waiter(3, 1, 1000), at(0));
    cr_assert_eq(refused.size(), 1u);
    cr_assert_eq(refused[0].id, 2u);
    cr_assert_eq(list.add(waiter(4, 0, 1000), at(0))[0].id, 4u);
    cr_assert_eq(list.size(), 2u);
}

// Guards against requests that wait until their deadline although the admission rate shows that it cannot be met.
Test(WaitingList, refusesInfeasibleDeadlines)
{
    WaitingList list({ 100, Milliseconds(50) });
    for (uint64_t id = 1; id <= 3; ++id)
        list.add(waiter(id, 0, 100000), at(0));
    list.admitFirst(at(100));
    list.admitFirst(at(200));
    cr_assert_eq(list.expectedWait(3), Milliseconds(300));
    // One request is ahead: 100 ms of waiting and 50 ms of service.
    cr_assert_eq(list.add(waiter(4, 0, 350), at(200))[0].id, 4u);
    cr_assert(list.add(waiter(5, 0, 351), at(200)).empty());
    // A request of higher priority delays the others.
    std::vector<Waiter> refused = list.add(waiter(6, 1, 100000), at(200));
    cr_assert_eq(refused.size(), 1u);
    cr_assert_eq(refused[0].id, 5u);
    cr_assert_eq(list.size(), 2u);
}

// Guards against a wait estimate that includes the time during which the list was empty.
Test(WaitingList, idleTimeIsExcludedFromEstimate)
{
    WaitingList list({});
    list.add(waiter(1, 0, 1000), at(0));
    list.admitFirst(at(10));
    list.add(waiter(2, 0, 1000000), at(50000));
    list.admitFirst(at(50010));
    cr_assert_lt(list.expectedWait(1), Milliseconds(11));
}

// Guards against retries that amplify an overload.
Test(RetryBudget, allowsPercentageOfRecentRequests)
{
    RetryBudget budget({ 10, 3 });
    for (int request = 0; request < 100; ++request)
        budget.recordRequest(at(request));
    int allowed = 0;
    while (allowed < 50 && budget.takeRetry(at(200)))
        ++allowed;
    cr_assert_eq(allowed, 13);
    cr_assert_not(budget.takeRetry(at(9000)));
    // The old requests have left the window, so only the minimum is allowed.
    allowed = 0;
    while (allowed < 50 && budget.takeRetry(at(20000)))
        ++allowed;
    cr_assert_eq(allowed, 3);
}

namespace {

struct QueueFixture {
    boost::asio::io_context context;
    AdmissionQueue queue { context.get_executor(), {} };
    int capacity { 0 };
    std::vector<int> admitted;

    Core::Task<bool> admit(int number, int priority, Deadline deadline, Core::Reason& reason)
    {
        bool isAdmitted = co_await queue.admit(
            priority, deadline, [this] { return take(); }, reason);
        if (isAdmitted)
            admitted.push_back(number);
        co_return isAdmitted;
    }

    bool take()
    {
        if (capacity == 0)
            return false;
        --capacity;
        return true;
    }
};

}

// Guards against queued requests that are admitted out of order, and new requests that overtake queued ones.
Test(AdmissionQueue, admitsByPriorityWhenCapacityIsAvailable)
{
    QueueFixture fixture;
    Core::Reason reason;
    std::optional<bool> results[4];
    Deadline deadline = Deadline::after(std::chrono::seconds(50));
    for (int number = 0; number < 3; ++number)
        TestSupport::startTask(fixture.context, fixture.admit(number, number == 2 ? 1 : 0, deadline, reason), results[number]);
    TestSupport::runUntil(fixture.context, [&] { return fixture.queue.waiting() == 3; });
    fixture.capacity = 1;
    TestSupport::startTask(fixture.context, fixture.admit(3, 0, deadline, reason), results[3]);
    TestSupport::runUntil(fixture.context, [&] { return fixture.queue.waiting() == 4; });
    fixture.capacity = 2;
    fixture.queue.capacityChanged();
    TestSupport::runUntil(fixture.context, [&] { return fixture.admitted.size() == 2; });
    fixture.capacity = 10;
    fixture.queue.capacityChanged();
    TestSupport::runUntil(fixture.context, [&] { return fixture.admitted.size() == 4; });
    cr_assert((fixture.admitted == std::vector<int> { 2, 0, 1, 3 }));
    cr_assert_eq(fixture.capacity, 8);
}

// Guards against a request that waits beyond its deadline or stays in the queue after it.
Test(AdmissionQueue, deadlineEndsTheWait)
{
    QueueFixture fixture;
    Core::Reason reason;
    cr_assert_not(TestSupport::runTask(fixture.context, fixture.admit(0, 0, Deadline::after(Milliseconds(20)), reason)));
    cr_assert_eq(reason.kind, FailureKind::TimedOut);
    cr_assert_eq(fixture.queue.waiting(), 0u);
    fixture.capacity = 5;
    fixture.queue.capacityChanged();
    cr_assert_eq(fixture.capacity, 5);
    cr_assert_not(TestSupport::runTask(fixture.context, fixture.admit(1, 0, Deadline::after(Milliseconds(-1)), reason)));
    cr_assert_eq(reason.kind, FailureKind::Refused);
    cr_assert_eq(fixture.capacity, 5);
}

// Guards against capacity that is leaked if it is allocated just before the deadline.
Test(AdmissionQueue, capacityAllocatedBeforeDeadlineIsUsed)
{
    QueueFixture fixture;
    Core::Reason reason;
    std::optional<bool> result;
    TestSupport::startTask(fixture.context, fixture.admit(0, 0, Deadline::after(Milliseconds(30)), reason), result);
    TestSupport::runUntil(fixture.context, [&] { return fixture.queue.waiting() == 1; });
    fixture.capacity = 1;
    fixture.queue.capacityChanged();
    cr_assert_eq(fixture.capacity, 0);
    std::optional<bool> slept;
    TestSupport::startTask(
        fixture.context, [](Deadline until) -> Core::Task<bool> { co_await Core::sleepUntil(until); co_return true; }(Deadline::after(Milliseconds(60))), slept);
    TestSupport::runUntil(fixture.context, [&] { return slept.has_value(); });
    cr_assert(result && *result);
}

// Guards against a retry that was never sent using up the budget, and against a return that counts for a later window.
Test(RetryBudget, returnedRetryCanBeTakenAgain)
{
    RetryBudget budget({ 0, 1 });
    cr_assert(budget.takeRetry(at(0)));
    cr_assert_not(budget.takeRetry(at(500)));
    budget.returnRetry(at(0));
    cr_assert(budget.takeRetry(at(500)));
    cr_assert(budget.takeRetry(at(11'000)));
    // The retry of 0 ms has left the window.
    budget.returnRetry(at(0));
    cr_assert_not(budget.takeRetry(at(11'000)));
}
