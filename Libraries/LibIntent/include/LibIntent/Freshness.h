#pragma once

#include "LibCore/Deadline.h"
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Intent {

struct FreshnessLimits {
    // Largest age of a confirmation with which a daemon is fresh.
    std::chrono::milliseconds fresh { 4000 };
    // Longest time that a daemon continues which hears neither the platform nor another failure domain.
    std::chrono::milliseconds isolated { 6000 };
    // Longest time that a daemon continues which hears other failure domains, none of which reaches the platform.
    std::chrono::milliseconds outage { 3'600'000 };
};

enum class FreshnessState {
    // Nothing has confirmed the state in force since the start.
    Unconfirmed,
    Fresh,
    // A newer generation than the one in force is known to exist.
    Behind,
    // Neither the platform nor a daemon of another failure domain is heard.
    Isolated,
    // Daemons of other failure domains are heard, and none of them reaches the platform.
    Outage,
};

// Decides whether a daemon may dispatch with the intent that it has in force.
//
// All times are those at which the question was sent whose answer is reported. The time of the answer's arrival would
// be wrong for a daemon that was paused while the answer lay in its receive buffer.
class Freshness {
public:
    Freshness(std::string ownFailureDomain, FreshnessLimits);

    // The state of this generation is in force.
    void adopted(uint64_t generation);

    // The platform said, in answer to a question sent at this time, that the generation is the newest.
    void platformConfirmed(uint64_t generation, Core::SteadyClock::time_point askedAt);

    // A peer said, in answer to a question sent at this time, that the platform had confirmed the generation `age` ago.
    void peerConfirmed(const std::string& failureDomain, uint64_t generation, std::chrono::milliseconds age, Core::SteadyClock::time_point askedAt);

    // A peer answered a question sent at this time but has no confirmation.
    void peerHeard(const std::string& failureDomain, Core::SteadyClock::time_point askedAt);

    // A generation was heard of without a confirmation.
    void generationHeard(uint64_t generation);

    bool mayDispatch(Core::SteadyClock::time_point now) const;
    FreshnessState state(Core::SteadyClock::time_point now) const;
    // The state and the ages that led to it, for refusals and logs.
    std::string reason(Core::SteadyClock::time_point now) const;

    // The latest confirmation, which this daemon passes on to its peers.
    std::optional<uint64_t> confirmedGeneration() const;
    std::optional<std::chrono::milliseconds> confirmationAge(Core::SteadyClock::time_point now) const;

private:
    struct Confirmation {
        uint64_t generation { 0 };
        Core::SteadyClock::time_point at;
    };

    void confirmed(Confirmation);
    std::optional<Confirmation> newestConfirmation() const;
    bool hearsOtherDomain(Core::SteadyClock::time_point now) const;

    std::string m_ownFailureDomain;
    FreshnessLimits m_limits;
    uint64_t m_generation { 0 };
    uint64_t m_newestHeard { 0 };
    // Of a generation that is in force or older.
    std::optional<Confirmation> m_confirmation;
    // Of a newer generation than the one in force; counts once that is adopted.
    std::optional<Confirmation> m_confirmationAhead;
    std::optional<Core::SteadyClock::time_point> m_otherDomainHeardAt;
};

}
