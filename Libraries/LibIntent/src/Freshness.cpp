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
    m_highestObservedGeneration = std::max(m_highestObservedGeneration, generation);
    if (m_pendingConfirmation && m_pendingConfirmation->generation <= m_generation) {
        Confirmation pending = *m_pendingConfirmation;
        m_pendingConfirmation.reset();
        recordConfirmation(pending);
    }
}

void Freshness::platformConfirmed(uint64_t generation, SteadyClock::time_point requestSentAt)
{
    recordConfirmation({ generation, requestSentAt });
}

void Freshness::peerConfirmed(const std::string& failureDomain, uint64_t generation, milliseconds age, SteadyClock::time_point requestSentAt)
{
    peerResponded(failureDomain, requestSentAt);
    recordConfirmation({ generation, requestSentAt - age });
}

void Freshness::peerResponded(const std::string& failureDomain, SteadyClock::time_point requestSentAt)
{
    if (failureDomain != m_ownFailureDomain && (!m_otherDomainResponseAt || *m_otherDomainResponseAt < requestSentAt))
        m_otherDomainResponseAt = requestSentAt;
}

void Freshness::generationObserved(uint64_t generation)
{
    m_highestObservedGeneration = std::max(m_highestObservedGeneration, generation);
}

// A confirmation of an older generation than the one in force is valid as well: it proves that nothing newer than the
// state in force had been accepted at that time.
void Freshness::recordConfirmation(Confirmation confirmation)
{
    m_highestObservedGeneration = std::max(m_highestObservedGeneration, confirmation.generation);
    if (confirmation.generation > m_generation) {
        bool isNewer = !m_pendingConfirmation || confirmation.generation > m_pendingConfirmation->generation
            || (confirmation.generation == m_pendingConfirmation->generation && confirmation.at > m_pendingConfirmation->at);
        if (isNewer)
            m_pendingConfirmation = confirmation;
        return;
    }
    if (!m_confirmation || confirmation.at > m_confirmation->at)
        m_confirmation = confirmation;
}

bool Freshness::isOtherDomainReachable(SteadyClock::time_point now) const
{
    return m_otherDomainResponseAt && now - *m_otherDomainResponseAt <= m_limits.isolated;
}

FreshnessState Freshness::state(SteadyClock::time_point now) const
{
    if (!m_confirmation)
        return FreshnessState::Unconfirmed;
    if (now - m_confirmation->at <= m_limits.fresh)
        return FreshnessState::Fresh;
    if (m_highestObservedGeneration > m_generation)
        return FreshnessState::Behind;
    return isOtherDomainReachable(now) ? FreshnessState::Outage : FreshnessState::Isolated;
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
        return "the intent in force has not been confirmed since the daemon started";
    std::string confirmation = "generation " + std::to_string(m_generation) + " was last confirmed " + ageText(now, m_confirmation->at);
    switch (state(now)) {
    case FreshnessState::Unconfirmed:
    case FreshnessState::Fresh:
        return confirmation;
    case FreshnessState::Behind:
        return confirmation + ", and generation " + std::to_string(m_highestObservedGeneration) + " exists";
    case FreshnessState::Isolated:
        return confirmation + "; neither the platform nor another failure domain is heard";
    case FreshnessState::Outage:
        return confirmation + "; other failure domains are heard, but none reaches the platform";
    }
    return confirmation;
}

// Also considers a confirmation of a generation that is not adopted yet, because peers may already have adopted it.
std::optional<Freshness::Confirmation> Freshness::newestConfirmation() const
{
    if (!m_confirmation || (m_pendingConfirmation && m_pendingConfirmation->at > m_confirmation->at))
        return m_pendingConfirmation;
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
    // Rounded up so that the age does not decrease as the confirmation is relayed between peers.
    return std::chrono::ceil<milliseconds>(now - newest->at);
}

}
