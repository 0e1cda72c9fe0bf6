#include "LibBudget/GrantAccount.h"

#include "LibCore/Saturating.h"
#include <algorithm>
#include <cmath>

namespace Budget {

using Ledger::Tokens;

// Time constant of the exponential decay.
static constexpr double demandWindowSeconds = 2;

bool GrantAccount::hold(Tokens tokens, Time now)
{
    if (tokens > available())
        return false;
    m_held += tokens;
    addDemand(tokens, now);
    return true;
}

void GrantAccount::settle(Tokens held, Tokens used, Time now)
{
    m_held -= held;
    m_settled = Core::saturatingAdd(m_settled, used);
    addDemand(Core::saturatingSubtract(used, held), now);
}

void GrantAccount::release(Tokens held, Time now)
{
    settle(held, 0, now);
}

void GrantAccount::applyGrantResult(const Ledger::EntryResult& result)
{
    if (result.code == Ledger::ResultCode::Rejected)
        m_isClosed = true;
    m_granted = std::max(m_granted, result.cumulativeGranted);
    m_ungranted = result.ungranted;
    m_activeHolders = result.activeHolders;
    bool isActive = Core::saturatingSubtract(m_granted, Core::saturatingAdd(m_returned, m_settled)) > 0;
    m_othersHoldGrants = result.activeHolders > (isActive ? 1u : 0u);
}

Tokens GrantAccount::markAvailableReturned()
{
    m_returned += std::max<Tokens>(0, available());
    return m_returned;
}

void GrantAccount::markScarceUntil(Time time)
{
    m_scarceUntil = std::max(m_scarceUntil, time);
}

static double decay(GrantAccount::Time from, GrantAccount::Time to)
{
    return std::exp(-std::chrono::duration<double>(to - from).count() / demandWindowSeconds);
}

double GrantAccount::tokensPerSecond(Time now) const
{
    return std::max(0.0, m_decayedDemand * decay(m_demandUpdatedAt, now) / demandWindowSeconds);
}

void GrantAccount::addDemand(Tokens tokens, Time now)
{
    m_decayedDemand = m_decayedDemand * decay(m_demandUpdatedAt, now) + static_cast<double>(tokens);
    m_demandUpdatedAt = now;
    m_lastUsed = now;
}

GrantPolicyInput GrantAccount::policyInput(const Ledger::BudgetId& budget, Tokens wanted, Time now) const
{
    Tokens usable = std::max<Tokens>(0, available());
    Tokens shortfall = std::max<Tokens>(0, Core::saturatingSubtract(wanted, usable));
    Tokens spare = std::max<Tokens>(0, Core::saturatingSubtract(usable, wanted));
    return { budget, shortfall, spare, tokensPerSecond(now), m_ungranted, m_activeHolders, isScarce(now) };
}

bool GrantAccount::needsPrefetch(const Ledger::BudgetId& budget, const GrantPolicy& policy, double minimumPrefetchSeconds, Time now) const
{
    Tokens size = policy(policyInput(budget, 0, now));
    // Small amounts do not justify a commit.
    return size > available() && static_cast<double>(size) >= minimumPrefetchSeconds * tokensPerSecond(now);
}

}
