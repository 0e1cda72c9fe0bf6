#pragma once

#include "LibCore/Deadline.h"
#include "LibIntent/FleetState.h"
#include "LibRouting/Candidate.h"
#include "LibRouting/EndpointHealth.h"
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Routing {

// Result of a request with regard to the health of its endpoint.
enum class RequestResult {
    Success,
    Failure,
    // Gives no information about the endpoint, for example after cancellation by the caller.
    Neutral,
};

// Identifies a request in flight at an endpoint.
struct RequestTicket {
    std::string endpoint;
    uint64_t number { 0 };
    Core::SteadyClock::time_point startedAt {};
    bool isProbe { false };
    bool operator==(const RequestTicket&) const = default;
};

// Tracks the load reports, this daemon's own requests in flight and the health of all endpoints.
class EndpointTable {
public:
    using TimePoint = Core::SteadyClock::time_point;

    explicit EndpointTable(EjectionSettings);

    // Replaces the configured endpoints. A removed endpoint receives no new requests, and its requests in flight are
    // counted until they end.
    void setEndpoints(const std::map<std::string, Intent::Endpoint>&);

    // Sets the number of daemons that share the endpoints (default 1). Daemons with the same outdated reports make similar
    // choices, so each own request since the last report is counted once per daemon, up to 8 times.
    void setDaemonCount(int64_t);

    // Records the number of requests at an endpoint as measured at the given time. Reports older than the last one are
    // ignored.
    void recordLoadReport(const std::string& endpoint, int64_t requests, TimePoint at);

    RequestTicket recordStart(const std::string& endpoint, TimePoint now);
    void recordEnd(const RequestTicket&, RequestResult, TimePoint now);

    // Returns the configured engines that serve the model.
    std::vector<Candidate> candidates(const std::string& model, TimePoint now) const;

    // Estimates the load: the last report, plus the own requests started since, minus the own requests that the report
    // includes and that have ended since. Both are multiplied by the number of daemons, up to 8. The result is at least
    // the number of own requests in flight.
    int64_t loadOf(const std::string& endpoint) const;
    int64_t inFlight(const std::string& endpoint) const;
    bool isEjected(const std::string& endpoint, TimePoint now) const;

private:
    struct EndedRequest {
        TimePoint startedAt;
        TimePoint endedAt;
    };

    struct Entry {
        Intent::Endpoint record;
        uint64_t nameHash { 0 };
        bool isConfigured { false };
        EndpointHealth health;
        int64_t reportedRequests { 0 };
        std::optional<TimePoint> reportedAt;
        // Start times of the own requests in flight. Numbers increase with the start time.
        std::map<uint64_t, TimePoint> inFlight;
        // Own requests that ended after the time of the last report.
        std::deque<EndedRequest> ended;
        // Own requests in flight that started after the time of the last report.
        int64_t startedSinceReport { 0 };
        // Own requests that the last report includes and that have ended since.
        int64_t endedSinceReport { 0 };
    };

    int64_t loadOf(const Entry&) const;
    bool mayEject(TimePoint now) const;

    EjectionSettings m_settings;
    int64_t m_ownRequestMultiplier { 1 };
    std::map<std::string, Entry> m_entries;
    uint64_t m_lastNumber { 0 };
};

}
