#pragma once

#include "LibCore/Async.h"
#include "LibPlatform/ObjectStore.h"
#include "LibRelay/SharedWatch.h"
#include <functional>
#include <string>

namespace Relay {

struct FollowerSettings {
    // Maximum wait time of one watch. A connection that died silently is detected after this time plus a margin.
    int64_t watchMs { 1'500 };
    // Timeout of one listing.
    int64_t listTimeoutMs { 1'500 };
    int64_t retryDelayMs { 80 };
    // Delay after a watch that returned changes, so that further changes are batched into the next one.
    int64_t batchWindowMs { 0 };
    // Maximum wait time of one watch through another daemon.
    int64_t peerWatchMs { 1'000 };
    // A daemon whose last confirmation is older than this has lost the store and serves no watches. Covers the longest watch
    // and the time for its answer.
    int64_t maxSharedAgeMs { 2'000 };
    // Delay between the first listing and the first watch. Daemons that start together get to know each other in it, so that few
    // of them watch the store.
    int64_t firstWatchDelayMs { 0 };
};

// Callbacks of a follower.
struct FollowerHooks {
    std::function<void(const std::vector<Platform::Object>&)> listed;
    std::function<void(const Platform::Change&)> changed;
    std::function<void(const Core::Reason&)> lost;
    std::function<void()> regained;
    // Called before `listed` if the store was restored from an older copy since the last listing. May be unset.
    std::function<void()> restored {};
    // Watches through a daemon that shares its watch. The store is watched directly if this fails or is not set.
    std::function<Core::Task<std::optional<WatchReply>>(WatchRequest, Core::Reason&)> watchAtPeer;
};

// Keeps a copy of the objects with a prefix whose staleness is bounded. It lists the objects once and then uses short
// watches, so that a store which does not answer or has dropped its history is detected within the watch time and its margin.
class StoreFollower {
public:
    StoreFollower(const boost::asio::any_io_executor&, Platform::ObjectStore, std::string prefix, FollowerSettings, FollowerHooks);

    // Follows until stop().
    Core::Task<void> run();
    void stop();

    // Lists again immediately. False if the store did not answer by the deadline.
    Core::Task<bool> refresh(Core::Deadline, Core::Reason&);

    // Serves a watch of another daemon. Fails with kind Unavailable if this daemon does not currently watch the store
    // directly, or no longer has the changes since the requested revision.
    Core::Task<std::optional<WatchReply>> serve(WatchRequest, Core::Reason&);

    const std::string& prefix() const { return m_prefix; }
    // The copy was confirmed by the store to be current as of this time.
    Core::SteadyClock::time_point confirmedAt() const { return m_confirmedAt; }
    bool hasListed() const { return m_hasListed; }
    bool isLost() const { return m_isLost; }

private:
    Core::Task<bool> list(Core::Deadline, Core::Reason&);
    Core::Task<bool> watch(Core::Reason&);
    Core::Task<bool> watchStore(Core::Reason&);
    Core::Task<bool> watchPeer(Core::Reason&);
    // Wait time of a watch that usually takes this long.
    std::chrono::milliseconds waitTime(int64_t usualMs) const;
    bool canServe() const { return m_hasListed && !m_isLost && m_isWatchingStore && !m_isStopping; }
    void markLost(const Core::Reason&);
    void recordAnswer(Core::SteadyClock::time_point confirmedAt);

    Platform::ObjectStore m_store;
    std::string m_prefix;
    FollowerSettings m_settings;
    FollowerHooks m_hooks;
    ObjectCache m_cache;
    // Signalled when the copy or its source changes.
    Core::Signal m_updated;
    Core::SteadyClock::time_point m_confirmedAt {};
    bool m_hasListed { false };
    bool m_isWatchingStore { true };
    bool m_isLost { false };
    bool m_isStopping { false };
};

}
