#include "LibRelay/StoreFollower.h"

namespace Relay {

using Core::Deadline;
using Core::FailureKind;
using Core::Reason;

StoreFollower::StoreFollower(Platform::ObjectStore store, std::string prefix, FollowerSettings settings, FollowerHooks hooks)
    : m_store(std::move(store))
    , m_prefix(std::move(prefix))
    , m_settings(settings)
    , m_hooks(std::move(hooks))
{
}

void StoreFollower::noteLost(const Reason& reason)
{
    if (m_isLost)
        return;
    m_isLost = true;
    m_hooks.lost(reason);
}

void StoreFollower::noteAnswer(Core::SteadyClock::time_point askedAt)
{
    m_confirmedAt = std::max(m_confirmedAt, askedAt);
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
    noteAnswer(askedAt);
    // A listing that was overtaken by a watch or another listing says nothing new.
    if (m_hasListed && listing->revision < m_revision)
        co_return true;
    m_revision = listing->revision;
    m_hasListed = true;
    m_hooks.listed(listing->objects);
    co_return true;
}

Core::Task<bool> StoreFollower::refresh(Deadline deadline, Reason& reason)
{
    return list(deadline, reason);
}

Core::Task<bool> StoreFollower::watch(Reason& reason)
{
    Core::SteadyClock::time_point askedAt = Core::SteadyClock::now();
    Deadline deadline = Deadline::after(std::chrono::milliseconds(m_settings.watchMs));
    std::optional<Platform::Changes> changes = co_await m_store.watch(m_prefix, m_revision, deadline, reason);
    if (!changes)
        co_return false;
    noteAnswer(askedAt);
    if (changes->revision < m_revision)
        co_return true;
    m_revision = changes->revision;
    for (const Platform::Change& change : changes->changes)
        m_hooks.changed(change);
    co_return true;
}

Core::Task<void> StoreFollower::run()
{
    bool mustList = true;
    while (!m_isStopping) {
        Reason reason;
        bool isDone = mustList ? co_await list(Deadline::after(std::chrono::milliseconds(m_settings.listTimeoutMs)), reason) : co_await watch(reason);
        if (isDone) {
            mustList = false;
            continue;
        }
        mustList = true;
        // Dropped history says that the store answers.
        if (reason.kind == FailureKind::NotFound)
            continue;
        noteLost(reason);
        co_await Core::sleepUntil(Deadline::after(std::chrono::milliseconds(m_settings.retryPauseMs)));
    }
}

}
