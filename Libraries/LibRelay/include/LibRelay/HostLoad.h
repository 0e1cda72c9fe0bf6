#pragma once

#include "LibCore/Deadline.h"
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Relay {

// What the host of this daemon can carry. 0: unknown, and not limited.
struct HostCapacity {
    // Of each direction of the link.
    double linkBytesPerSecond { 0 };
    // Cores.
    double processorShare { 0 };
    size_t descriptors { 0 };
    bool operator==(const HostCapacity&) const = default;
};

// What a daemon has observed of itself. Bytes and processor time are totals since its start.
struct HostSample {
    // Exchanged with callers: requests received, and responses sent.
    uint64_t callerBytesReceived { 0 };
    uint64_t callerBytesSent { 0 };
    uint64_t endpointBytesReceived { 0 };
    uint64_t endpointBytesSent { 0 };
    uint64_t storeBytesReceived { 0 };
    uint64_t storeBytesSent { 0 };
    std::chrono::nanoseconds processorTime { 0 };
    // How late the last timer fired.
    std::chrono::milliseconds timerLag { 0 };
    size_t activeRequests { 0 };
    // Connections on which a request is being received.
    size_t readingConnections { 0 };
    // All connections of callers, most of which may be idle. The server closes idle ones if descriptors are short.
    size_t callerConnections { 0 };
    // Time since the epoch, on which the hosts agree within a second.
    std::chrono::milliseconds wallTime { 0 };
    bool operator==(const HostSample&) const = default;
};

// Estimates what the requests that arrive would take of the host's link, processor and descriptors, and decides which of them are
// served. Has no clock and no network: all times are given by the caller.
class HostLoad {
public:
    using TimePoint = Core::SteadyClock::time_point;

    enum class Cause {
        None,
        LinkOut,
        LinkIn,
        // Connects to many endpoints time out.
        Connects,
        Processor,
        Descriptors,
    };

    HostLoad(HostCapacity, uint64_t seed);

    // Sets this daemon's rank among the announced daemons of its failure domain, and their number with this one. Only with at least
    // three of them a host may report not ready: the load balancer uses all hosts if too few are ready.
    void setRotation(size_t rank, size_t daemons, TimePoint now);

    // To be called about every 100 ms. The first sample is the base of the following ones.
    void record(const HostSample&, TimePoint now);

    // Whether a request is served. 0 is the most urgent priority; bytes is the size of the request as received.
    bool admit(int priority, size_t bytes);

    // Records that a connect to the endpoint timed out. Returns whether the cause is this host's own link, since connects to most
    // of the endpoints time out alike.
    bool recordConnectTimeout(const std::string& endpoint, const std::string& failureDomain, TimePoint now);
    // Records that a response of the endpoint has arrived.
    void recordReached(const std::string& endpoint, const std::string& failureDomain, TimePoint now);
    bool isOwnLinkSlow(TimePoint now) const;

    // False for a few seconds at a time while the host is asked for more than it can carry.
    bool isReady() const { return m_isReady; }

    // Whether the connection of the current request should be closed after its response, so that its caller opens the next one
    // at another host.
    bool shedsConnection();

    // Time after which a refused request may be sent again, spread at random.
    int64_t retryAfterMs();

    // The part of the bytes of arriving requests that is admitted, over all priorities.
    double admittedFraction() const { return m_fraction; }
    // Whether requests have been refused recently; with hysteresis, for the log.
    bool isLimiting() const { return m_isLimiting; }
    // What bounds the fraction.
    Cause cause() const { return m_cause; }
    // Utilisation of the link's directions, and of the processor, over the last second.
    double linkUtilisationOut() const { return utilisation(m_callerSent.perSecond + m_endpointSent.perSecond + m_storeSent.perSecond); }
    double linkUtilisationIn() const { return utilisation(m_callerReceived.perSecond + m_endpointReceived.perSecond + m_storeReceived.perSecond); }
    double processorUtilisation() const { return m_processorUtilisation; }
    // How long the bytes sent so far are estimated to occupy the link.
    std::chrono::milliseconds queueDelay() const;
    // Descriptors in use as a part of those that may be; 0 if not limited.
    double descriptorUtilisation() const { return m_descriptorUtilisation; }
    // Connections closed by shedsConnection(), and connect timeouts put down to the own link, since construction.
    uint64_t shedConnections() const { return m_shedConnections; }
    uint64_t ownConnectTimeouts() const { return m_ownConnectTimeouts; }
    // Requests that may be in progress at the same time; 0: not limited.
    size_t maxActiveRequests() const { return m_maxActiveRequests; }

private:
    static constexpr size_t priorityCount = 16;

    // Bytes of a kind.
    struct Flow {
        // Of the current interval between two samples.
        double pending { 0 };
        // Smoothed over about a second.
        double perSecond { 0 };
        // Smoothed over several seconds.
        double slowPerSecond { 0 };
        // Decaying sum over some seconds.
        double sum { 0 };
    };

    // A direction of the link.
    struct Direction {
        // Whether requests may be refused because of it.
        bool isBusy { false };
        // The value of m_observedSeconds when it was last well used.
        double usedAt { 0 };
    };

    struct Contact {
        std::string failureDomain;
        std::optional<TimePoint> timedOutAt;
        std::optional<TimePoint> reachedAt;
    };

    void advance(Flow&, double seconds) const;
    double utilisation(double bytesPerSecond) const { return m_capacity.linkBytesPerSecond > 0 ? bytesPerSecond / m_capacity.linkBytesPerSecond : 0; }
    void updateQueue(double sentBytes, double seconds);
    // Whether a direction of the link is busy enough to refuse requests, with hysteresis.
    void updateBusy(Direction&, double utilisation, bool hasQueue, double demand, double target) const;
    // The parts of the arriving requests that the link's directions carry.
    double outboundFraction();
    double inboundFraction();
    double outboundTarget() const;
    double inboundTarget() const;
    // Bytes sent and received a second if all requests were admitted, with their answers.
    double outboundDemand() const { return forwardedPerSecond() + answersPerSecond(answerBytesSent()); }
    double inboundDemand() const { return m_callerReceived.perSecond + answersPerSecond(answerBytesReceived()); }
    // Bytes sent to endpoints a second if all requests were admitted.
    double forwardedPerSecond() const;
    double answersPerSecond(double bytesPerRequest) const { return m_arrivals.slowPerSecond * bytesPerRequest; }
    // Mean bytes of an answer, as sent to the caller and as received from the endpoint.
    double answerBytesSent() const;
    double answerBytesReceived() const;
    bool knowsRatios() const;
    // Decaying number of admitted requests that were sent to endpoints.
    double forwardedRequests() const;
    double descriptorFraction() const;
    void updateOverloadFactor(const HostSample&, double processorSeconds, double seconds, TimePoint now);
    // Distributes the admitted bytes over the priorities, most urgent first.
    void distribute();
    void updateReadiness(TimePoint now);
    // The end of the current time slice if the host may leave the rotation in it now.
    std::optional<TimePoint> rotationSliceEnd(TimePoint now) const;
    // A random time from zero to the limit.
    std::chrono::milliseconds randomUpTo(std::chrono::milliseconds limit);

    HostCapacity m_capacity;
    size_t m_maxActiveRequests { 0 };
    size_t m_maxConnections { 0 };
    std::minstd_rand m_random;
    std::optional<HostSample> m_last;
    TimePoint m_lastAt {};
    double m_observedSeconds { 0 };

    Flow m_callerReceived;
    Flow m_callerSent;
    Flow m_endpointReceived;
    Flow m_endpointSent;
    Flow m_storeReceived;
    Flow m_storeSent;
    std::array<Flow, priorityCount> m_offeredByPriority;
    Flow m_offered;
    Flow m_admitted;
    // Numbers of requests, in place of bytes.
    Flow m_arrivals;
    Flow m_refusals;
    // Bytes that have been sent and are estimated to wait for the link.
    double m_queuedBytes { 0 };
    Direction m_outbound;
    Direction m_inbound;

    double m_processorUtilisation { 0 };
    double m_smoothedLagMs { 0 };
    double m_descriptorUtilisation { 0 };
    // Lowered step by step while the processor or connects show that too much is admitted, and raised again afterwards.
    double m_overloadFactor { 1 };
    Cause m_overloadCause { Cause::None };

    double m_fraction { 1 };
    Cause m_cause { Cause::None };
    std::array<double, priorityCount> m_fractions;
    // Admission is due for the next request of a priority once its credit reaches 1.
    std::array<double, priorityCount> m_credits;
    size_t m_activeRequests { 0 };
    size_t m_admittedSinceSample { 0 };

    std::unordered_map<std::string, Contact> m_contacts;
    // When an endpoint was last reached.
    std::optional<TimePoint> m_reachedAt;

    bool m_isLimiting { false };
    // When the fraction was last below 1.
    TimePoint m_limitedAt {};
    bool m_isReady { true };
    // When the current overload began, and how long it has to last until the host reports not ready.
    std::optional<TimePoint> m_overloadedSince;
    std::chrono::milliseconds m_overloadDelay { 0 };
    size_t m_rotationRank { 0 };
    size_t m_rotationDaemons { 1 };
    // Set after a change of the rank, until hosts that left the rotation by the earlier ranks are back.
    TimePoint m_rotationSettledAt {};
    TimePoint m_notReadySince {};
    TimePoint m_notReadyUntil {};
    // The part of the load that the host could carry if the rest went elsewhere, and connections that are still to be closed
    // before the host reports ready again.
    double m_carriedFraction { 1 };
    double m_connectionsToShed { 0 };
    bool m_isShedding { false };
    double m_sheddingCredit { 0 };
    uint64_t m_shedConnections { 0 };
    uint64_t m_ownConnectTimeouts { 0 };
};

std::string_view nameOf(HostLoad::Cause);

}
