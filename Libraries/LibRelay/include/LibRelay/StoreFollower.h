#pragma once

#include "LibCore/Async.h"
#include "LibPlatform/ObjectStore.h"
#include "LibRelay/SharedWatch.h"
#include <functional>
#include <string>

namespace Relay {

struct FollowerSettings {
    // Longest wait of one watch. A connection that died silently is noticed this long and a margin after.
    int64_t watchMs { 1'500 };
    // Time for one listing.
    int64_t listTimeoutMs { 1'500 };
    int64_t retryDelayMs { 80 };
    // Time in which changes are gathered after each answer that had some.
    int64_t batchWindowMs { 0 };
    // Longest wait of one watch at another daemon.
    int64_t peerWatchMs { 1'000 };
    // A daemon whose last confirmation is older has lost the store: the longest watch and the time for its answer.
    int64_t maxSharedAgeMs { 2'000 };
};

// What follows the objects with a prefix.
struct FollowerHooks {
    std::function<void(const std::vector<Platform::Object>&)> listed;
    std::function<void(const Platform::Change&)> changed;
    std::function<void(const Core::Reason&)> lost;
    std::function<void()> regained;
    // Watches at the daemon that shares its watch; the store is watched when that fails. No function: always the store.
    std::function<Core::Task<std::optional<WatchReply>>(WatchRequest, Core::Reason&)> watchAtPeer;
};

// Keeps a belief about the objects with a prefix no older than a bound: a listing, then watches that each end soon, so
// that a store which does not answer or has dropped its history is noticed within the watch time and its margin.
class StoreFollower {
public:
    StoreFollower(const boost::asio::any_io_executor&, Platform::ObjectStore, std::string prefix, FollowerSettings, FollowerHooks);

    // Follows until stop().
    Core::Task<void> run();
    void stop();

    // Lists again at once; false when the store did not answer by the deadline.
    Core::Task<bool> refresh(Core::Deadline, Core::Reason&);

    // Serves a watch of another daemon. Unavailable: this daemon does not follow the store itself at the moment, or has
    // forgotten changes so far back.
    Core::Task<std::optional<WatchReply>> serve(WatchRequest, Core::Reason&);

    const std::string& prefix() const { return m_prefix; }
    // The store's answers hold for all times up to this one.
    Core::SteadyClock::time_point confirmedAt() const { return m_confirmedAt; }
    bool hasListed() const { return m_hasListed; }
    bool isLost() const { return m_isLost; }

private:
    Core::Task<bool> list(Core::Deadline, Core::Reason&);
    Core::Task<bool> watch(Core::Reason&);
    Core::Task<bool> watchStore(Core::Reason&);
    Core::Task<bool> watchPeer(Core::Reason&);
    bool canServe() const { return m_hasListed && !m_isLost && m_isWatchingStore && !m_isStopping; }
    void markLost(const Core::Reason&);
    void recordAnswer(Core::SteadyClock::time_point confirmedAt);

    Platform::ObjectStore m_store;
    std::string m_prefix;
    FollowerSettings m_settings;
    FollowerHooks m_hooks;
    ObjectCache m_cache;
    // Signalled when the belief or its source changes.
    Core::Signal m_updated;
    Core::SteadyClock::time_point m_confirmedAt {};
    bool m_hasListed { false };
    bool m_isWatchingStore { true };
    bool m_isLost { false };
    bool m_isStopping { false };
};

}
