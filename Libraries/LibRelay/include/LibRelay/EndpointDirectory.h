#pragma once

#include "LibCore/Deadline.h"
#include "LibRelay/Endpoint.h"
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Relay {

// The registered endpoints, as known from the store. During a store outage registrations lapse although their endpoints are
// still running, so lapsed entries are kept until the endpoints have had time to register again.
class EndpointDirectory {
public:
    // Called with each endpoint that was removed and the reason.
    using RemovedCallback = std::function<void(const Endpoint&, const char* reason)>;

    explicit EndpointDirectory(RemovedCallback);

    void put(Endpoint);
    void remove(const std::string& id, Core::SteadyClock::time_point now);
    // Replaces all entries with a listing.
    void replaceAll(std::vector<Endpoint>, Core::SteadyClock::time_point now);

    void storeLost() { m_isStoreLost = true; }
    void storeRegained(Core::SteadyClock::time_point now);
    // Removes lapsed entries whose grace period is over.
    void expire(Core::SteadyClock::time_point now);

    // Called when a different endpoint answered at the registered address. The entry is ignored until it changes.
    void reject(const std::string& id);

    const std::map<std::string, Endpoint>& endpoints() const { return m_endpoints; }
    const Endpoint* find(const std::string& id) const;

private:
    bool isInGracePeriod(Core::SteadyClock::time_point now) const { return m_isStoreLost || now < m_graceUntil; }
    void erase(const std::string& id, const char* reason);

    RemovedCallback m_removed;
    std::map<std::string, Endpoint> m_endpoints;
    std::vector<std::string> m_lapsed;
    std::map<std::string, Endpoint> m_rejected;
    bool m_isStoreLost { false };
    Core::SteadyClock::time_point m_graceUntil {};
};

}
