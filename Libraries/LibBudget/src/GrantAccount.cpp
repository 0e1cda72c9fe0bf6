#include "LibBudget/GrantAccount.h"

#include <algorithm>
#include <cmath>

namespace Budget {

using Ledger::Tokens;

// Time constant of the decaying sum.
static constexpr double demandWindowSeconds = 2;

bool GrantAccount::hold(Tokens tokens, Time now)
{
    if (tokens > available())
        return false;
    m_held += tokens;
    countDemand(tokens, now);
    return true;
}

void GrantAccount::settle(Tokens held, Tokens used, Time now)
{
    m_held -= held;
    m_settled += used;
    countDemand(used - held, now);
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
    bool isActive = m_granted - m_returned - m_settled > 0;
    m_othersHoldGrants = result.activeHolders > (isActive ? 1u : 0u);
}

Tokens GrantAccount::giveUpAvailable()
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
    return std::max(0.0, m_demand * decay(m_demandAt, now) / demandWindowSeconds);
}

void GrantAccount::countDemand(Tokens tokens, Time now)
{
    m_demand = m_demand * decay(m_demandAt, now) + static_cast<double>(tokens);
    m_demandAt = now;
    m_lastUsed = now;
}

GrantNeed GrantAccount::need(const Ledger::BudgetId& budget, Tokens wanted, Time now) const
{
    Tokens usable = std::max<Tokens>(0, available());
    Tokens missing = std::max<Tokens>(0, wanted - usable);
    Tokens spare = std::max<Tokens>(0, usable - wanted);
    return { budget, missing, spare, tokensPerSecond(now), m_ungranted, m_activeHolders, isScarce(now) };
}

bool GrantAccount::runsLow(const Ledger::BudgetId& budget, const GrantPolicy& policy, double prefetchSeconds, Time now) const
{
    Tokens size = policy(need(budget, 0, now));
    // Very small amounts are not worth a commit.
    return size > available() && static_cast<double>(size) >= prefetchSeconds * tokensPerSecond(now);
}

}
