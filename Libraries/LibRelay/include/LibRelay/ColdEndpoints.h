#pragma once

#include "LibCore/Deadline.h"
#include "LibRelay/Configuration.h"
#include "LibRelay/Endpoint.h"
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Relay {

// What one second may bring to a cold endpoint from all daemons together: the service's coldPerSecond times `overage`, plus `extra`.
struct ColdAllowance {
    double overage { 1.5 };
    double extra { 5 };
    bool operator==(const ColdAllowance&) const = default;
};

// A change in what is known of an endpoint, for logs.
struct ColdNotice {
    enum class Kind {
        // The endpoint is cold; `detail` says from where this is known.
        Cold,
        // The cold time in the endpoint's entry cannot be read; `detail` says why.
        Unreadable,
    };
    Kind kind { Kind::Cold };
    std::string endpoint;
    std::string service;
    std::string detail;
};

// Which endpoints are cold, and how many requests a second all daemons together may send them. An endpoint is cold while its entry
// or an answer says so. A process that this daemon sees start, and one whose entry does not say, is taken to be cold for the cold time
// of its service. Only services with a cold limit are concerned.
class ColdEndpoints {
public:
    using TimePoint = Core::SteadyClock::time_point;

    explicit ColdEndpoints(ColdAllowance allowance = {})
        : m_allowance(allowance)
    {
    }

    // Adopts the cold limits of the services.
    void setServices(const std::map<std::string, Service>&);
    // Number of daemons, including this one.
    void setDaemons(size_t daemons) { m_daemons = daemons; }

    // Records an entry of the given store version. In the daemon's first listing an endpoint need not be new.
    void observe(const Endpoint&, uint64_t version, TimePoint now, bool isFirstListing);
    // Records that an answer of the endpoint names the rest of its cold time.
    void recordAnswer(const Endpoint&, std::chrono::milliseconds left, TimePoint now);
    // Called when the endpoint is no longer registered. Its process is remembered, as it may be registered again.
    void forget(const std::string& endpoint);

    bool isCold(const Endpoint&, TimePoint now) const;
    // Requests a second from all daemons together for which permits are to be had. The limit ends some time after the cold time, so
    // that the daemons' requests do not return all at once. Empty if there is none.
    std::optional<double> limitOf(const Endpoint&, TimePoint now) const;
    // This daemon sends the endpoint nothing before this time, so that what others send before they know that it is cold does not
    // add to the permits.
    TimePoint quietUntil(const Endpoint&, TimePoint now) const;
    // Whether endpoints with this number of requests in flight of this daemon are full, if all daemons send as much.
    bool isFull(int64_t slots, size_t inFlight) const;

    size_t countCold(TimePoint now) const;
    // What has changed since the last call, for services with a cold limit. Keeps everything until the services are known.
    std::vector<ColdNotice> takeNotices();

    // A permit for a cold endpoint is not used when this time has passed since it was asked for.
    static constexpr std::chrono::milliseconds maxPermitAge { 300 };
    // Part of the limit that the daemons without an issuer share. Their turns are spread at random, so that some seconds have
    // several times the mean.
    static constexpr double ownSharesFraction = 0.125;

private:
    struct Limit {
        double perSecond { 0 };
        std::chrono::milliseconds coldTime {};
    };

    struct Process {
        std::string service;
        // 0: unknown.
        int64_t startedAtMs { 0 };
        uint64_t version { 0 };
        // As in the entry; empty if it could not be read.
        std::optional<int64_t> coldLeftMs;
        // Until when the entry or an answer says that it is cold.
        TimePoint coldUntil {};
        // Set if it is taken to be cold for the service's cold time from then.
        std::optional<TimePoint> assumedSince;
        TimePoint quietUntil {};
        bool isRegistered { true };
        std::optional<TimePoint> removedAt;
    };

    void adoptNewProcess(const Endpoint&, Process&, TimePoint now, bool isSeenToStart);
    void adoptStatement(const Endpoint&, Process&, TimePoint now, bool isNewVersion);
    void noteUnreadable(const Endpoint&);
    void noteCold(const Endpoint&, std::string detail);
    const Process* find(const Endpoint&) const;
    const Limit* limitOfService(const std::string& service) const;
    TimePoint coldUntil(const Process&) const;
    void extendActive(const Process&);

    ColdAllowance m_allowance;
    size_t m_daemons { 1 };
    bool m_hasServices { false };
    std::map<std::string, Limit> m_limits;
    // By endpoint id.
    std::unordered_map<std::string, Process> m_processes;
    // No endpoint is cold or returns after this time. Spares each choice of an endpoint a search for it.
    TimePoint m_activeUntil {};
    std::vector<ColdNotice> m_notices;
};

}
