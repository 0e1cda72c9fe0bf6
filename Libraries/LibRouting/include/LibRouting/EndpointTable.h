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

// How a request ended, as far as the endpoint is concerned.
enum class RequestEnd {
    Success,
    Failure,
    // For example cancelled by the caller.
    Neutral,
};

// One request in flight at an endpoint.
struct RequestTicket {
    std::string endpoint;
    uint64_t number { 0 };
    Core::SteadyClock::time_point startedAt {};
    bool isProbe { false };
    bool operator==(const RequestTicket&) const = default;
};

// What this daemon knows of all endpoints: load reports, its own requests in flight, and health.
class EndpointTable {
public:
    using TimePoint = Core::SteadyClock::time_point;

    explicit EndpointTable(EjectionSettings);

    // Takes over the intended endpoints. One that is no longer among them gets no new requests; its requests in flight
    // are still counted until they end.
    void adopt(const std::map<std::string, Intent::Endpoint>&);

    // Number of daemons that send requests to the same endpoints, 1 at the start. With the same late reports they make the
    // same choices, so each own request since a report stands for one of every daemon, up to 8.
    void setSharingDaemons(int64_t);

    // A load report that was true at a time. Reports that are older than the last one are ignored.
    void recordReport(const std::string& endpoint, int64_t requests, TimePoint at);

    RequestTicket recordStart(const std::string& endpoint, TimePoint now);
    void recordEnd(const RequestTicket&, RequestEnd, TimePoint now);

    // The engines that serve the model.
    std::vector<Candidate> candidates(const std::string& model, TimePoint now) const;

    // The last report, plus own requests that started since, minus own ones that it counted and that have ended since,
    // both times the number of sharing daemons, up to 8; at least the own requests in flight.
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
        uint64_t key { 0 };
        bool isIntended { false };
        EndpointHealth health;
        int64_t reportedRequests { 0 };
        std::optional<TimePoint> reportedAt;
        // Own requests in flight by number, which is also the order of their starts.
        std::map<uint64_t, TimePoint> inFlight;
        // Own requests that ended after the last report's time.
        std::deque<EndedRequest> ended;
        // Own requests in flight that the last report cannot include.
        int64_t startedSinceReport { 0 };
        // Own requests that the last report includes and that have ended.
        int64_t endedSinceReport { 0 };
    };

    int64_t loadOf(const Entry&) const;
    bool mayEject(TimePoint now) const;

    EjectionSettings m_settings;
    int64_t m_unreportedFactor { 1 };
    std::map<std::string, Entry> m_entries;
    uint64_t m_lastNumber { 0 };
};

}
