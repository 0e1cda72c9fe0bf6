#pragma once

#include "LibCore/Async.h"
#include "LibPlatform/ObjectStore.h"
#include <functional>
#include <string>

namespace Relay {

struct FollowerSettings {
    // Longest wait of one watch. A connection that died silently is noticed this long and a margin after.
    int64_t watchMs { 1'500 };
    // Time for one listing.
    int64_t listTimeoutMs { 1'500 };
    int64_t retryPauseMs { 80 };
};

// What follows the objects with a prefix.
struct FollowerHooks {
    std::function<void(const std::vector<Platform::Object>&)> listed;
    std::function<void(const Platform::Change&)> changed;
    std::function<void(const Core::Reason&)> lost;
    std::function<void()> regained;
};

// Keeps a belief about the objects with a prefix no older than a bound: a listing, then watches that each end soon, so
// that a store which does not answer or has dropped its history is noticed within the watch time and its margin.
class StoreFollower {
public:
    StoreFollower(Platform::ObjectStore, std::string prefix, FollowerSettings, FollowerHooks);

    // Follows until stop().
    Core::Task<void> run();
    void stop() { m_isStopping = true; }

    // Lists again at once; false when the store did not answer by the deadline.
    Core::Task<bool> refresh(Core::Deadline, Core::Reason&);

    // The store's answers hold for all times up to this one.
    Core::SteadyClock::time_point confirmedAt() const { return m_confirmedAt; }
    bool hasListed() const { return m_hasListed; }
    bool isLost() const { return m_isLost; }

private:
    Core::Task<bool> list(Core::Deadline, Core::Reason&);
    Core::Task<bool> watch(Core::Reason&);
    void noteLost(const Core::Reason&);
    void noteAnswer(Core::SteadyClock::time_point askedAt);

    Platform::ObjectStore m_store;
    std::string m_prefix;
    FollowerSettings m_settings;
    FollowerHooks m_hooks;
    Platform::Version m_revision { 0 };
    Core::SteadyClock::time_point m_confirmedAt {};
    bool m_hasListed { false };
    bool m_isLost { false };
    bool m_isStopping { false };
};

}
