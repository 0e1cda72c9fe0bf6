#include "LibIntent/Freshness.h"

#include <algorithm>

namespace Intent {

using Core::SteadyClock;
using std::chrono::milliseconds;

Freshness::Freshness(std::string ownFailureDomain, FreshnessLimits limits)
    : m_ownFailureDomain(std::move(ownFailureDomain))
    , m_limits(limits)
{
}

void Freshness::adopted(uint64_t generation)
{
    m_generation = std::max(m_generation, generation);
    m_newestHeard = std::max(m_newestHeard, generation);
    if (m_confirmationAhead && m_confirmationAhead->generation <= m_generation) {
        Confirmation ahead = *m_confirmationAhead;
        m_confirmationAhead.reset();
        confirmed(ahead);
    }
}

void Freshness::platformConfirmed(uint64_t generation, SteadyClock::time_point askedAt)
{
    confirmed({ generation, askedAt });
}

void Freshness::peerConfirmed(const std::string& failureDomain, uint64_t generation, milliseconds age, SteadyClock::time_point askedAt)
{
    peerHeard(failureDomain, askedAt);
    confirmed({ generation, askedAt - age });
}

void Freshness::peerHeard(const std::string& failureDomain, SteadyClock::time_point askedAt)
{
    if (failureDomain != m_ownFailureDomain && (!m_otherDomainHeardAt || *m_otherDomainHeardAt < askedAt))
        m_otherDomainHeardAt = askedAt;
}

void Freshness::generationHeard(uint64_t generation)
{
    m_newestHeard = std::max(m_newestHeard, generation);
}

// A confirmation of an older generation than the one in force is as good as one of the newest: it says that at that
// time nothing newer than the state in force had been accepted.
void Freshness::confirmed(Confirmation confirmation)
{
    m_newestHeard = std::max(m_newestHeard, confirmation.generation);
    if (confirmation.generation > m_generation) {
        bool isNewer = !m_confirmationAhead || confirmation.generation > m_confirmationAhead->generation
            || (confirmation.generation == m_confirmationAhead->generation && confirmation.at > m_confirmationAhead->at);
        if (isNewer)
            m_confirmationAhead = confirmation;
        return;
    }
    if (!m_confirmation || confirmation.at > m_confirmation->at)
        m_confirmation = confirmation;
}

bool Freshness::hearsOtherDomain(SteadyClock::time_point now) const
{
    return m_otherDomainHeardAt && now - *m_otherDomainHeardAt <= m_limits.isolated;
}

FreshnessState Freshness::state(SteadyClock::time_point now) const
{
    if (!m_confirmation)
        return FreshnessState::Unconfirmed;
    if (now - m_confirmation->at <= m_limits.fresh)
        return FreshnessState::Fresh;
    if (m_newestHeard > m_generation)
        return FreshnessState::Behind;
    return hearsOtherDomain(now) ? FreshnessState::Outage : FreshnessState::Isolated;
}

bool Freshness::mayDispatch(SteadyClock::time_point now) const
{
    switch (state(now)) {
    case FreshnessState::Fresh:
        return true;
    case FreshnessState::Unconfirmed:
    case FreshnessState::Behind:
        return false;
    case FreshnessState::Isolated:
        return now - m_confirmation->at <= m_limits.isolated;
    case FreshnessState::Outage:
        return now - m_confirmation->at <= m_limits.outage;
    }
    return false;
}

static std::string ageText(SteadyClock::time_point now, SteadyClock::time_point at)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(now - at).count()) + " ms ago";
}

std::string Freshness::reason(SteadyClock::time_point now) const
{
    if (!m_confirmation)
        return "no confirmation of the intent in force since the start";
    std::string confirmation = "generation " + std::to_string(m_generation) + " was last confirmed " + ageText(now, m_confirmation->at);
    switch (state(now)) {
    case FreshnessState::Unconfirmed:
    case FreshnessState::Fresh:
        return confirmation;
    case FreshnessState::Behind:
        return confirmation + ", and generation " + std::to_string(m_newestHeard) + " exists";
    case FreshnessState::Isolated:
        return confirmation + "; neither the platform nor another failure domain is heard";
    case FreshnessState::Outage:
        return confirmation + "; other failure domains are heard, but none reaches the platform";
    }
    return confirmation;
}

// A confirmation of a generation that is not adopted yet is passed on as well: peers that have adopted it can use it.
std::optional<Freshness::Confirmation> Freshness::newestConfirmation() const
{
    if (!m_confirmation || (m_confirmationAhead && m_confirmationAhead->at > m_confirmation->at))
        return m_confirmationAhead;
    return m_confirmation;
}

std::optional<uint64_t> Freshness::confirmedGeneration() const
{
    std::optional<Confirmation> newest = newestConfirmation();
    if (!newest)
        return std::nullopt;
    return newest->generation;
}

std::optional<milliseconds> Freshness::confirmationAge(SteadyClock::time_point now) const
{
    std::optional<Confirmation> newest = newestConfirmation();
    if (!newest)
        return std::nullopt;
    // Rounded up, so that the age never shrinks from peer to peer.
    return std::chrono::ceil<milliseconds>(now - newest->at);
}

}
