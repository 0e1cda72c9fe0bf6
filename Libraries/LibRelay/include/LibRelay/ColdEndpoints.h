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

// What is known of one endpoint at a time.
struct ColdState {
    bool isCold { false };
    // Requests a second from all daemons together for which permits are to be had. The limit ends some time after the cold time, so
    // that the daemons' requests do not return all at once. Empty if there is none.
    std::optional<double> limit;
    // This daemon sends the endpoint nothing before this time, so that what others send before they know that it is cold does not
    // add to the permits.
    Core::SteadyClock::time_point quietUntil {};
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

    // Records an entry of the given store version that is in use.
    void observe(const Endpoint&, uint64_t version, TimePoint now);
    // Records that an answer of the endpoint names the rest of its cold time.
    void recordAnswer(const Endpoint&, std::chrono::milliseconds left, TimePoint now);
    // Called when the endpoint is no longer registered. Its process is remembered, as it may be registered again.
    void forget(const std::string& endpoint);

    // Costs a comparison while no endpoint is cold, and else a lookup.
    ColdState stateOf(const Endpoint& endpoint, TimePoint now) const { return now >= m_activeUntil ? ColdState {} : findState(endpoint, now); }
    bool isCold(const Endpoint& endpoint, TimePoint now) const { return stateOf(endpoint, now).isCold; }
    std::optional<double> limitOf(const Endpoint& endpoint, TimePoint now) const { return stateOf(endpoint, now).limit; }
    TimePoint quietUntil(const Endpoint& endpoint, TimePoint now) const { return stateOf(endpoint, now).quietUntil; }

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
        // Of the service; null if it has none.
        const Limit* limit { nullptr };
        // 0: unknown.
        int64_t startedAtMs { 0 };
        uint64_t version { 0 };
        // As in the latest entry, and when that was recorded; empty if it could not be read.
        std::optional<int64_t> coldLeftMs;
        TimePoint statedAt {};
        // Until when the entry says that it is cold.
        TimePoint statedUntil {};
        // Until when answers say that it is cold. Entries do not change it, as they may be older.
        TimePoint answeredUntil {};
        // Set when it was first taken to be cold for the service's cold time. The time does not start again.
        std::optional<TimePoint> assumedSince;
        bool isAssumed { false };
        // Whether an answer has named a time that cannot be right, and since when the endpoint is cold for that.
        std::optional<TimePoint> badAnswerSince;
        bool hasUnreadableNotice { false };
        TimePoint quietUntil {};
        bool isRegistered { true };
        std::optional<TimePoint> removedAt;
    };

    ColdState findState(const Endpoint&, TimePoint now) const;
    void adoptNewProcess(const Endpoint&, Process&, TimePoint now, bool isRestart);
    void adoptStatement(const Endpoint&, Process&, TimePoint now, bool isNewVersion);
    void assumeCold(Process&, TimePoint since);
    void noteUnreadable(const std::string& endpoint, Process&, std::string reason);
    void noteCold(const Endpoint&, std::string detail);
    const Limit* limitOfService(const std::string& service) const;
    static bool isReadable(std::optional<int64_t> coldLeftMs, const Limit*);
    // When the cold time ends by the entry, and by entry and answers.
    static TimePoint entryColdUntil(const Process&);
    static TimePoint coldUntil(const Process&);
    void extendActive(const Process&);

    ColdAllowance m_allowance;
    bool m_hasServices { false };
    std::map<std::string, Limit> m_limits;
    // By endpoint id.
    std::unordered_map<std::string, Process> m_processes;
    // No endpoint is cold or returns after this time. Spares each choice of an endpoint a search for it.
    TimePoint m_activeUntil {};
    std::vector<ColdNotice> m_notices;
};

}
