#pragma once

#include "LibCore/Deadline.h"
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Intent {

struct FreshnessLimits {
    // Maximum age of the latest confirmation for the state to be Fresh.
    std::chrono::milliseconds fresh { 4000 };
    // Maximum age of the latest confirmation for dispatching while Isolated.
    std::chrono::milliseconds isolated { 6000 };
    // Maximum age of the latest confirmation for dispatching during an Outage.
    std::chrono::milliseconds outage { 3'600'000 };
};

enum class FreshnessState {
    // The state in force has not been confirmed since the daemon started.
    Unconfirmed,
    Fresh,
    // A newer generation than the one in force is known to exist, and the latest confirmation has expired.
    Behind,
    // Neither the platform nor a daemon of another failure domain responds.
    Isolated,
    // Daemons of other failure domains respond, but none of them reaches the platform.
    Outage,
};

// Decides whether a daemon may dispatch requests with the intent that it has in force.
//
// All times are the time at which a request was sent, not the time at which its response was received: a daemon that
// is suspended while the response is in its receive buffer would otherwise treat outdated information as current.
class Freshness {
public:
    Freshness(std::string ownFailureDomain, FreshnessLimits);

    // Called when the state of this generation has come into force.
    void adopted(uint64_t generation);

    // Called when the platform has confirmed that the generation is the newest.
    void platformConfirmed(uint64_t generation, Core::SteadyClock::time_point requestSentAt);

    // Called when a peer has reported that the platform confirmed the generation `age` before the request.
    void peerConfirmed(const std::string& failureDomain, uint64_t generation, std::chrono::milliseconds age, Core::SteadyClock::time_point requestSentAt);

    // Called when a peer has responded without a confirmation.
    void peerResponded(const std::string& failureDomain, Core::SteadyClock::time_point requestSentAt);

    // Called when a generation is known to exist without a confirmation.
    void generationObserved(uint64_t generation);

    bool mayDispatch(Core::SteadyClock::time_point now) const;
    FreshnessState state(Core::SteadyClock::time_point now) const;
    // Describes the state and the age of the latest confirmation, for error messages and logs.
    std::string reason(Core::SteadyClock::time_point now) const;

    // The latest confirmation, which this daemon reports to its peers.
    std::optional<uint64_t> confirmedGeneration() const;
    std::optional<std::chrono::milliseconds> confirmationAge(Core::SteadyClock::time_point now) const;

private:
    struct Confirmation {
        uint64_t generation { 0 };
        Core::SteadyClock::time_point at;
    };

    void recordConfirmation(Confirmation);
    std::optional<Confirmation> newestConfirmation() const;
    bool isOtherDomainReachable(Core::SteadyClock::time_point now) const;

    std::string m_ownFailureDomain;
    FreshnessLimits m_limits;
    uint64_t m_generation { 0 };
    uint64_t m_highestObservedGeneration { 0 };
    // Latest confirmation of the generation in force or an older one.
    std::optional<Confirmation> m_confirmation;
    // Latest confirmation of the highest generation above the one in force; takes effect once that is adopted.
    std::optional<Confirmation> m_pendingConfirmation;
    std::optional<Core::SteadyClock::time_point> m_otherDomainResponseAt;
};

}
