#pragma once

#include "LibCore/Deadline.h"
#include "LibPlatform/ObjectStore.h"
#include "LibRelay/StoreFollower.h"
#include <chrono>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Relay {

struct EvacuationHooks {
    // When the store last confirmed the list of evacuations.
    std::function<Core::SteadyClock::time_point()> confirmedAt;
    // Called with each failure domain whose evacuation begins or ends. May be unset.
    std::function<void(const std::string& failureDomain)> adopted {};
    std::function<void(const std::string& failureDomain)> lifted {};
};

// The evacuated failure domains, whose endpoints get no further requests. An object whose name is a failure domain evacuates it,
// whatever its value.
class EvacuationSet {
public:
    using TimePoint = Core::SteadyClock::time_point;

    // The limit is the time from the store's acknowledgement of an evacuation to the last request that an endpoint may get.
    EvacuationSet(std::string prefix, std::chrono::milliseconds limit, EvacuationHooks);

    // Settings of a follower that adopts each change well within the limit, also if its connection or its watcher fails silently.
    static FollowerSettings followerSettings(std::chrono::milliseconds limit);

    void replaceAll(const std::vector<Platform::Object>&);
    void adopt(const Platform::Change&);
    // Known evacuations stay in force while the store is away.
    void storeLost(TimePoint now) { m_lostAt = now; }
    void storeRegained() { m_lostAt = std::nullopt; }

    // Whether nothing may be sent to endpoints in the failure domain.
    bool holds(const std::string& failureDomain, TimePoint now) const { return isEvacuated(failureDomain) || isOutdated(now); }
    bool isEvacuated(const std::string& failureDomain) const { return !m_failureDomains.empty() && m_failureDomains.contains(failureDomain); }
    // Whether the list is older than the limit although the store is not known to be away, as after the process was suspended. It is
    // about to be read again, and an evacuation of that time may be in it.
    bool isOutdated(TimePoint now) const;
    const std::set<std::string>& failureDomains() const { return m_failureDomains; }

private:
    void update();

    std::string m_prefix;
    std::chrono::milliseconds m_maxAge;
    EvacuationHooks m_hooks;
    // Names of the objects, without the prefix.
    std::set<std::string> m_names;
    std::set<std::string> m_failureDomains;
    std::optional<TimePoint> m_lostAt;
};

}
