#include "LibRelay/StoreFollower.h"

#include <algorithm>

namespace Relay {

using Core::Deadline;
using Core::FailureKind;
using Core::Reason;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Maximum wait time of a watch while the store is lost: its answer shows that the store is back.
static constexpr milliseconds maxWaitAfterLoss(20);
// Maximum time that another daemon's watch is held open.
static constexpr milliseconds maxServedWait(5'000);

StoreFollower::StoreFollower(
    const boost::asio::any_io_executor& executor, Platform::ObjectStore store, std::string prefix, FollowerSettings settings, FollowerHooks hooks)
    : m_store(std::move(store))
    , m_prefix(std::move(prefix))
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_updated(executor)
{
}

void StoreFollower::stop()
{
    m_isStopping = true;
    m_updated.notifyAll();
}

void StoreFollower::markLost(const Reason& reason)
{
    if (m_isLost)
        return;
    m_isLost = true;
    m_updated.notifyAll();
    m_hooks.lost(reason);
}

void StoreFollower::recordAnswer(Core::SteadyClock::time_point confirmedAt)
{
    m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
    if (!m_isLost)
        return;
    m_isLost = false;
    m_hooks.regained();
}

Core::Task<bool> StoreFollower::list(Deadline deadline, Reason& reason)
{
    Core::SteadyClock::time_point askedAt = Core::SteadyClock::now();
    std::optional<Platform::Listing> listing = co_await m_store.list(m_prefix, deadline, reason);
    if (!listing)
        co_return false;
    recordAnswer(askedAt);
    // Ignore a listing that is older than a watch or another listing that finished earlier.
    if (m_hasListed && listing->revision < m_cache.revision())
        co_return true;
    if (m_hasListed && m_hooks.restored && Platform::eraOf(listing->revision) != Platform::eraOf(m_cache.revision()))
        m_hooks.restored();
    m_cache.replace(*listing);
    m_hasListed = true;
    m_hooks.listed(listing->objects);
    m_updated.notifyAll();
    co_return true;
}

Core::Task<bool> StoreFollower::refresh(Deadline deadline, Reason& reason)
{
    return list(deadline, reason);
}

Core::Task<bool> StoreFollower::watch(Reason& reason)
{
    if (m_hooks.watchAtPeer && co_await watchPeer(reason))
        co_return true;
    reason = {};
    co_return co_await watchStore(reason);
}

milliseconds StoreFollower::waitTime(int64_t usualMs) const
{
    return m_isLost ? std::min(maxWaitAfterLoss, milliseconds(usualMs)) : milliseconds(usualMs);
}

Core::Task<bool> StoreFollower::watchStore(Reason& reason)
{
    m_isWatchingStore = true;
    Core::SteadyClock::time_point askedAt = Core::SteadyClock::now();
    Deadline deadline = Deadline::after(waitTime(m_settings.watchMs));
    std::optional<Platform::Changes> changes = co_await m_store.watch(m_prefix, m_cache.revision(), deadline, reason);
    if (!changes)
        co_return false;
    // A watch that ended at its deadline without changes confirms the state up to the deadline.
    recordAnswer(changes->changes.empty() && deadline.hasPassed() ? deadline.at() : askedAt);
    if (changes->revision >= m_cache.revision()) {
        m_cache.apply(*changes);
        for (const Platform::Change& change : changes->changes)
            m_hooks.changed(change);
    }
    m_updated.notifyAll();
    if (!changes->changes.empty() && m_settings.batchWindowMs > 0)
        co_await Core::sleepUntil(Deadline::after(milliseconds(m_settings.batchWindowMs)));
    co_return true;
}

Core::Task<bool> StoreFollower::watchPeer(Reason& reason)
{
    Core::SteadyClock::time_point askedAt = Core::SteadyClock::now();
    std::optional<WatchReply> reply
        = co_await m_hooks.watchAtPeer({ m_prefix, m_cache.revision(), waitTime(m_settings.peerWatchMs) }, reason);
    if (!reply)
        co_return false;
    if (std::exchange(m_isWatchingStore, false))
        m_updated.notifyAll();
    recordAnswer(askedAt + reply->held - reply->age);
    // A daemon at an older revision has nothing new; it catches up within the bound on the age of its copy.
    if (reply->changes.revision < m_cache.revision())
        co_return true;
    m_cache.apply(reply->changes);
    for (const Platform::Object& object : reply->changes.changed)
        m_hooks.changed({ object, false });
    for (const std::string& name : reply->changes.deleted)
        m_hooks.changed({ { name, 0, {} }, true });
    co_return true;
}

Core::Task<std::optional<WatchReply>> StoreFollower::serve(WatchRequest request, Reason& reason)
{
    Core::SteadyClock::time_point askedAt = Core::SteadyClock::now();
    Deadline deadline = Deadline::after(std::clamp(request.wait, milliseconds(0), maxServedWait));
    while (canServe() && m_cache.revision() <= request.since && !deadline.hasPassed())
        co_await m_updated.wait(deadline);
    Core::SteadyClock::time_point now = Core::SteadyClock::now();
    milliseconds age = duration_cast<milliseconds>(now - m_confirmedAt);
    if (!canServe() || age > milliseconds(m_settings.maxSharedAgeMs)) {
        reason = { FailureKind::Unavailable, "serve watch", "store", "this daemon does not currently watch " + m_prefix + " in the store" };
        co_return std::nullopt;
    }
    std::optional<ObjectChanges> changes = m_cache.changesSince(request.since);
    if (!changes) {
        reason = { FailureKind::Unavailable, "serve watch", "store", "changes after revision " + std::to_string(request.since) + " are no longer cached" };
        co_return std::nullopt;
    }
    co_return WatchReply { std::move(*changes), age, duration_cast<milliseconds>(now - askedAt) };
}

Core::Task<void> StoreFollower::run()
{
    bool needsListing = true;
    bool isFirst = true;
    while (!m_isStopping) {
        Reason reason;
        bool isSuccessful = needsListing ? co_await list(Deadline::after(milliseconds(m_settings.listTimeoutMs)), reason) : co_await watch(reason);
        if (isSuccessful) {
            needsListing = false;
            if (std::exchange(isFirst, false) && m_settings.firstWatchDelayMs > 0)
                co_await Core::sleepUntil(Deadline::after(milliseconds(m_settings.firstWatchDelayMs)));
            continue;
        }
        // The store answered, but has dropped its history; list again without delay.
        if (reason.kind == FailureKind::NotFound) {
            needsListing = true;
            continue;
        }
        // After a loss the copy is continued from its revision: listings of a large configuration by all hosts at the same time would
        // fill their links and cost a store call each, while a peer may have the changes already. Every other attempt lists, since
        // the answer to a listing may take longer, and does not contain all versions since then.
        needsListing = !m_hasListed || (m_isLost && !needsListing);
        markLost(reason);
        co_await Core::sleepUntil(Deadline::after(milliseconds(m_settings.retryDelayMs)));
    }
}

}
