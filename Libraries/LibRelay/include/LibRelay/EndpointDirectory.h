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
    // The store was restored from an older copy; the next listing is of the restored store. It may list endpoints that have left since
    // the copy, which stay unused, and lack others, which have time to register again.
    void storeRestored(Core::SteadyClock::time_point now);
    // Removes lapsed entries whose grace period is over.
    void expire(Core::SteadyClock::time_point now);

    // Called when a different endpoint answered at the registered address. The entry is ignored until it changes.
    void reject(const std::string& id);

    // Called when the endpoint itself said that its process is leaving. The process stays leaving whatever the store lists; an
    // entry with a later start time is a new process. An entry without a start time is one only after it has been removed from the
    // store. Returns false if the process was known to be leaving.
    bool markLeaving(const Endpoint&, Core::SteadyClock::time_point now);

    // Whether the process that the entry describes is leaving, although the entry may have been removed or replaced since.
    bool isLeaving(const Endpoint&) const;

    const std::map<std::string, Endpoint>& endpoints() const { return m_endpoints; }
    const Endpoint* find(const std::string& id) const;
    // Number of processes that are remembered as leaving, registered or not.
    size_t leavingProcesses() const { return m_leaving.size(); }

private:
    // A process that said that it is leaving.
    struct LeavingProcess {
        int64_t startedAtMs { 0 };
        // While the endpoint is not registered: when this is forgotten.
        Core::SteadyClock::time_point keptUntil {};
    };

    // A process whose registration was removed.
    struct DepartedProcess {
        int64_t startedAtMs { 0 };
        Core::SteadyClock::time_point keptUntil {};
    };

    bool hasDeparted(const Endpoint&) const;
    bool isInGracePeriod(Core::SteadyClock::time_point now) const { return m_isStoreLost || now < m_graceUntil; }
    void erase(const std::string& id, const char* reason);
    // Forgets a leaving process without a start time, whose next registration is a new process.
    void forgetUnknownProcess(const std::string& id);
    bool isMarkedLeaving(const Endpoint&) const;

    RemovedCallback m_removed;
    std::map<std::string, Endpoint> m_endpoints;
    std::vector<std::string> m_lapsed;
    std::map<std::string, Endpoint> m_rejected;
    // By endpoint id.
    std::map<std::string, LeavingProcess> m_leaving;
    // By endpoint id. Only processes with a start time, which alone tells them from later ones.
    std::map<std::string, DepartedProcess> m_departed;
    bool m_isRestored { false };
    bool m_isStoreLost { false };
    Core::SteadyClock::time_point m_graceUntil {};
};

}
