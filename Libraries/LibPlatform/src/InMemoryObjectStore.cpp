#include "LibPlatform/InMemoryObjectStore.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Platform {

using Core::FailureKind;

static constexpr const char* peerName = "object store in memory";

struct InMemoryObjectStore::State {
    State(const boost::asio::any_io_executor& executor, HistoryLimits limits)
        : executor(executor)
        , table(executor, limits)
    {
    }

    boost::asio::any_io_executor executor;
    ObjectTable table;
    bool isOut { false };
    std::chrono::milliseconds delay { 0 };
    size_t repliesToLose { 0 };
    size_t requestsToLose { 0 };
    size_t conflictsToReport { 0 };
    size_t callsToLimit { 0 };
    size_t reads { 0 };
    size_t writes { 0 };
};

using StatePointer = std::shared_ptr<InMemoryObjectStore::State>;

// Changes the table; empty with a reason on failure.
using Effect = std::function<std::optional<Version>(ObjectTable&, Core::Reason&)>;

static std::nullopt_t fail(FailureKind kind, const char* step, const char* message, Core::Reason& reason)
{
    reason = { kind, step, peerName, message };
    return std::nullopt;
}

static bool takeOne(size_t& count)
{
    if (count == 0)
        return false;
    --count;
    return true;
}

static Core::Task<void> yieldOnce()
{
    co_await boost::asio::post(co_await boost::asio::this_coro::executor, boost::asio::use_awaitable);
}

// Waits until the call arrives at the store; false when the deadline comes first.
static Core::Task<bool> arrive(StatePointer state, Core::Deadline arrival, Core::Deadline deadline)
{
    co_await yieldOnce();
    if (state->delay > std::chrono::milliseconds(0))
        co_await Core::sleepUntil(std::min(arrival, deadline));
    co_return arrival <= deadline;
}

static Core::Task<void> applyLate(StatePointer state, Effect effect, Core::Deadline arrival)
{
    co_await Core::sleepUntil(arrival);
    Core::Reason ignored;
    if (!state->isOut)
        effect(state->table, ignored);
}

static Core::Task<std::optional<Version>> write(
    StatePointer state, const char* step, Effect effect, Core::Deadline deadline, Core::Reason& reason)
{
    ++state->writes;
    if (deadline.hasPassed())
        co_return fail(FailureKind::Unavailable, step, "the deadline had passed before the request was sent", reason);
    Core::Deadline arrival = Core::Deadline::after(state->delay);
    if (arrival > deadline)
        Core::spawn(state->executor, "late write", applyLate(state, effect, arrival));
    if (!co_await arrive(state, arrival, deadline))
        co_return fail(FailureKind::OutcomeUnknown, step, "the reply did not come before the deadline", reason);
    if (state->isOut)
        co_return fail(FailureKind::Unavailable, step, "the store is out of service", reason);
    if (takeOne(state->callsToLimit))
        co_return fail(FailureKind::RateLimited, step, "the rate limit is exceeded", reason);
    if (takeOne(state->requestsToLose))
        co_return fail(FailureKind::OutcomeUnknown, step, "the request was lost", reason);
    if (takeOne(state->conflictsToReport))
        co_return fail(FailureKind::Conflict, step, "the version has changed", reason);
    std::optional<Version> version = effect(state->table, reason);
    co_await yieldOnce();
    if (version && takeOne(state->repliesToLose))
        co_return fail(FailureKind::OutcomeUnknown, step, "the reply was lost", reason);
    co_return version;
}

static Core::Task<std::optional<Version>> put(StatePointer state, std::string name, std::string value, Version expected,
    Core::Deadline deadline, Core::Reason& reason)
{
    Effect effect = [=](ObjectTable& table, Core::Reason& failure) { return table.put(name, value, expected, failure); };
    co_return co_await write(state, "put object", std::move(effect), deadline, reason);
}

static Core::Task<bool> remove(StatePointer state, std::string name, Version expected, Core::Deadline deadline, Core::Reason& reason)
{
    Effect effect = [=](ObjectTable& table, Core::Reason& failure) -> std::optional<Version> {
        if (!table.remove(name, expected, failure))
            return std::nullopt;
        return table.revision();
    };
    std::optional<Version> version = co_await write(state, "remove object", std::move(effect), deadline, reason);
    co_return version.has_value();
}

// Waits until a read arrives; false with a reason when the store cannot answer.
static Core::Task<bool> admitRead(StatePointer state, const char* step, Core::Deadline deadline, Core::Reason& reason)
{
    ++state->reads;
    bool hasArrived = co_await arrive(state, Core::Deadline::after(state->delay), deadline);
    if (!hasArrived)
        fail(FailureKind::Unavailable, step, "the reply did not come before the deadline", reason);
    else if (state->isOut)
        fail(FailureKind::Unavailable, step, "the store is out of service", reason);
    else if (takeOne(state->callsToLimit))
        fail(FailureKind::RateLimited, step, "the rate limit is exceeded", reason);
    else
        co_return true;
    co_return false;
}

static Core::Task<std::optional<Object>> get(StatePointer state, std::string name, Core::Deadline deadline, Core::Reason& reason)
{
    if (!co_await admitRead(state, "get object", deadline, reason))
        co_return std::nullopt;
    co_return state->table.get(name, reason);
}

static Core::Task<std::optional<Listing>> list(StatePointer state, std::string prefix, Core::Deadline deadline, Core::Reason& reason)
{
    if (!co_await admitRead(state, "list objects", deadline, reason))
        co_return std::nullopt;
    co_return state->table.list(prefix);
}

static Core::Task<std::optional<Changes>> watch(
    StatePointer state, std::string prefix, Version since, Core::Deadline deadline, Core::Reason& reason)
{
    if (!co_await admitRead(state, "watch objects", deadline, reason))
        co_return std::nullopt;
    co_return co_await state->table.watch("", std::move(prefix), since, deadline, reason);
}

InMemoryObjectStore::InMemoryObjectStore(const boost::asio::any_io_executor& executor, HistoryLimits limits)
    : m_state(std::make_shared<State>(executor, limits))
{
}

ObjectStore InMemoryObjectStore::hooks() const
{
    StatePointer state = m_state;
    ObjectStore store;
    store.get = [state](std::string name, Core::Deadline deadline, Core::Reason& reason) {
        return Platform::get(state, std::move(name), deadline, reason);
    };
    store.put = [state](std::string name, std::string value, Version expected, Core::Deadline deadline, Core::Reason& reason) {
        return Platform::put(state, std::move(name), std::move(value), expected, deadline, reason);
    };
    store.remove = [state](std::string name, Version expected, Core::Deadline deadline, Core::Reason& reason) {
        return Platform::remove(state, std::move(name), expected, deadline, reason);
    };
    store.list = [state](std::string prefix, Core::Deadline deadline, Core::Reason& reason) {
        return Platform::list(state, std::move(prefix), deadline, reason);
    };
    store.watch = [state](std::string prefix, Version since, Core::Deadline deadline, Core::Reason& reason) {
        return Platform::watch(state, std::move(prefix), since, deadline, reason);
    };
    return store;
}

void InMemoryObjectStore::setOutage(bool isOut)
{
    m_state->isOut = isOut;
    if (isOut)
        m_state->table.interruptWatches([](const std::string&) { return true; });
}

void InMemoryObjectStore::setDelay(std::chrono::milliseconds delay)
{
    m_state->delay = delay;
}

void InMemoryObjectStore::loseReplies(size_t count)
{
    m_state->repliesToLose = count;
}

void InMemoryObjectStore::loseRequests(size_t count)
{
    m_state->requestsToLose = count;
}

void InMemoryObjectStore::failWithConflict(size_t count)
{
    m_state->conflictsToReport = count;
}

void InMemoryObjectStore::limitRate(size_t count)
{
    m_state->callsToLimit = count;
}

size_t InMemoryObjectStore::reads() const
{
    return m_state->reads;
}

size_t InMemoryObjectStore::writes() const
{
    return m_state->writes;
}

ObjectTable& InMemoryObjectStore::table()
{
    return m_state->table;
}

}
