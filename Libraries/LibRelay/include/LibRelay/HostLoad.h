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
    // Exchanged with endpoints and the store.
    uint64_t endpointBytesReceived { 0 };
    uint64_t endpointBytesSent { 0 };
    std::chrono::nanoseconds processorTime { 0 };
    // How late the last timer fired.
    std::chrono::milliseconds timerLag { 0 };
    size_t activeRequests { 0 };
    size_t callerConnections { 0 };
    // Connections of callers, to endpoints and to the store.
    size_t connections { 0 };
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

    // To be called about every 100 ms. The first sample is the base of the following ones.
    void record(const HostSample&, TimePoint now);

    // Whether a request is served. 0 is the most urgent priority; bytes is the size of the request as received.
    bool admit(int priority, size_t bytes);

    // Records that a connect to the endpoint timed out. Returns whether the cause is this host's own link, since connects to most
    // of the endpoints time out alike.
    bool recordConnectTimeout(const std::string& endpoint, TimePoint now);
    // Records that a response of the endpoint has arrived.
    void recordReached(const std::string& endpoint, TimePoint now);
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
    double linkUtilisationOut() const { return utilisation(m_callerSent.perSecond + m_endpointSent.perSecond); }
    double linkUtilisationIn() const { return utilisation(m_callerReceived.perSecond + m_endpointReceived.perSecond); }
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
        // Decaying sum over some seconds.
        double sum { 0 };
    };

    struct Contact {
        std::optional<TimePoint> timedOutAt;
        std::optional<TimePoint> reachedAt;
    };

    static void advance(Flow&, double seconds);
    double utilisation(double bytesPerSecond) const { return m_capacity.linkBytesPerSecond > 0 ? bytesPerSecond / m_capacity.linkBytesPerSecond : 0; }
    void updateQueue(double sentBytes, double seconds);
    // The parts of the arriving requests that the link's directions carry.
    double outboundFraction() const;
    double inboundFraction() const;
    // Bytes received a second, with all answers, if all requests were admitted.
    double inboundDemand() const;
    double answersReceivedPerAdmittedByte() const;
    bool knowsRatios() const;
    // Bytes of admitted requests that were sent to endpoints, as a decaying sum.
    double forwardedSum() const;
    double descriptorFraction() const;
    void updateStrain(const HostSample&, double processorSeconds, double seconds, TimePoint now);
    // Distributes the admitted bytes over the priorities, most urgent first.
    void distribute();
    void updateReadiness(TimePoint now);
    // A random time from zero to the limit.
    std::chrono::milliseconds randomUpTo(std::chrono::milliseconds limit);

    HostCapacity m_capacity;
    size_t m_maxActiveRequests { 0 };
    size_t m_maxConnections { 0 };
    std::minstd_rand m_random;
    std::optional<HostSample> m_last;
    TimePoint m_lastAt {};

    Flow m_callerReceived;
    Flow m_callerSent;
    Flow m_endpointReceived;
    Flow m_endpointSent;
    std::array<Flow, priorityCount> m_offeredByPriority;
    Flow m_offered;
    Flow m_admitted;
    // Numbers of requests, in place of bytes.
    Flow m_arrivals;
    Flow m_refusals;
    // Bytes that have been sent and are estimated to wait for the link.
    double m_queuedBytes { 0 };

    double m_processorUtilisation { 0 };
    double m_smoothedLagMs { 0 };
    double m_descriptorUtilisation { 0 };
    // Lowered step by step while the processor or connects show that too much is admitted, and raised again afterwards.
    double m_strainFraction { 1 };
    Cause m_strainCause { Cause::None };

    double m_fraction { 1 };
    Cause m_cause { Cause::None };
    std::array<double, priorityCount> m_fractions;
    // Admission is due for the next request of a priority once its credit reaches 1.
    std::array<double, priorityCount> m_credits;
    size_t m_activeRequests { 0 };
    size_t m_admittedSinceSample { 0 };

    std::unordered_map<std::string, Contact> m_contacts;

    bool m_isLimiting { false };
    // When the fraction was last below 1.
    TimePoint m_limitedAt {};
    bool m_isReady { true };
    // When the current overload began, and how long it has to last until the host reports not ready.
    std::optional<TimePoint> m_overloadedSince;
    std::chrono::milliseconds m_patience { 0 };
    // When the current state of readiness was taken, and the earliest time at which it may change.
    TimePoint m_readinessSince {};
    TimePoint m_readinessUntil {};
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
