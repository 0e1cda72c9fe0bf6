#pragma once

#include "LibPlatform/ObjectStore.h"
#include "LibRelay/StoreFollower.h"
#include <chrono>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace Relay {

struct EvacuationHooks {
    // Called with each failure domain whose evacuation begins or ends. May be unset.
    std::function<void(const std::string& failureDomain)> adopted {};
    std::function<void(const std::string& failureDomain)> lifted {};
};

// The evacuated failure domains, whose endpoints get no further requests. An object whose name is a failure domain evacuates it,
// whatever its value.
class EvacuationSet {
public:
    EvacuationSet(std::string prefix, EvacuationHooks);

    // Settings of a follower that adopts each change well within the limit, also if its connection or its watcher fails silently. The
    // limit is the time from the store's acknowledgement of an evacuation to the last request that an endpoint may get.
    static FollowerSettings followerSettings(std::chrono::milliseconds limit);

    void replaceAll(const std::vector<Platform::Object>&);
    void adopt(const Platform::Change&);

    // Whether nothing may be sent to endpoints in the failure domain.
    bool isEvacuated(const std::string& failureDomain) const { return !m_failureDomains.empty() && m_failureDomains.contains(failureDomain); }
    const std::set<std::string>& failureDomains() const { return m_failureDomains; }

private:
    void update();

    std::string m_prefix;
    EvacuationHooks m_hooks;
    // Names of the objects, without the prefix.
    std::set<std::string> m_names;
    std::set<std::string> m_failureDomains;
};

}
