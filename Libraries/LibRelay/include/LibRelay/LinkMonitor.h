#pragma once

#include "LibHTTP/Client.h"
#include <map>
#include <vector>

namespace Relay {

// Tells from the time that connections to many addresses take to open whether this host's own link is full. Over a full link everything
// waits: connects, requests, calls to the store and answers to callers. Other hosts' links are not, so callers are better served there.
class LinkMonitor {
public:
    using TimePoint = Core::SteadyClock::time_point;
    using Attempt = HTTP::ConnectAttempt;

    // Attempts of this time are considered. Nothing is connected while all requests are refused, so a full link is tried again after it.
    static constexpr std::chrono::milliseconds window { 1'000 };
    // Fewer addresses may have a cause of their own.
    static constexpr size_t minAddresses = 4;
    // Default round trip from which a link counts as full. Between hosts of one region it takes some milliseconds on an idle link.
    static constexpr std::chrono::milliseconds defaultFullLinkDelay { 150 };
    // How the admitted part of the requests follows the link: what is left of it each time the link is found full, the shortest time
    // between two reductions, in which the queue has drained, the smallest part, which shows when the link has room again, and the rise
    // a second.
    static constexpr double reduction = 0.6;
    static constexpr std::chrono::milliseconds reductionInterval { 200 };
    static constexpr double minAdmittedShare = 0.05;
    static constexpr double admissionRise = 0.25;
    // While connects time out, their delay is measured with connects to other daemons that have this much time, one in each interval.
    static constexpr std::chrono::milliseconds testTimeout { 2'000 };
    static constexpr std::chrono::milliseconds testInterval { 200 };
    // How long a host with a full link asks the balancer for no new connections, first and after repetitions. The balancer acts after
    // two probes, one a second.
    static constexpr std::chrono::milliseconds minRest { 3'000 };
    static constexpr std::chrono::milliseconds maxRest { 12'000 };

    explicit LinkMonitor(std::chrono::milliseconds fullLinkDelay = defaultFullLinkDelay)
        : m_fullLinkDelay(fullLinkDelay)
    {
    }

    // Attempts are recorded in the order of their ends.
    void record(const Attempt&);

    // The time that a message and its answer take on this host's link; 0 while that is not known.
    std::chrono::milliseconds delay(TimePoint now) const;

    // Whether the delay should be measured with a longer time limit than that of a request's connects.
    bool needsTest(TimePoint now) const;

    // Whether what is sent now would wait in the link's queue for long.
    bool isFull(TimePoint now) const;

    // The part of the requests that the link carries, from 0 to 1. It falls while the link is full and rises with time.
    double admittedShare(TimePoint now) const;

    // Whether the host should get no new connections, so that the link does not fill up again at once.
    bool needsRest(TimePoint now) const { return now < m_restsUntil; }

private:
    struct Sample {
        Attempt::Outcome outcome { Attempt::Outcome::Established };
        TimePoint endedAt {};
        std::chrono::milliseconds elapsed { 0 };
    };

    // The latest attempt at each address within the window; empty if there are too few addresses.
    std::vector<Sample> recentSamples(TimePoint now) const;
    void startRest(TimePoint now);
    // The slowest attempt within the window that was answered; 0 if there is none.
    std::chrono::milliseconds slowestAnswer(TimePoint now) const;

    std::chrono::milliseconds m_fullLinkDelay;
    std::map<Core::Address, Sample> m_samples;
    // Whether the link was full at the latest attempt.
    bool m_isFull { false };
    // Admitted at the time of the latest reduction.
    double m_admittedShare { 1 };
    TimePoint m_reducedAt {};
    TimePoint m_restsUntil {};
    std::chrono::milliseconds m_rest { minRest };
};

}
