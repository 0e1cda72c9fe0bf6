#include "ReferenceLedger.h"

using namespace Ledger;

int64_t ReferenceLedger::BudgetTotals::ungranted()
{
    int64_t remainder = toppedUp - spent - reserved;
    for (const std::pair<const Holder, int64_t>& item : granted)
        remainder -= item.second - returned[item.first] - billed[item.first];
    return remainder;
}

void ReferenceLedger::apply(const Entry& entry)
{
    if (const TopUp* value = std::get_if<TopUp>(&entry))
        return topUp(*value);
    if (!m_budgets.contains(budgetOf(entry)))
        return;
    if (const Grant* value = std::get_if<Grant>(&entry))
        grant(*value);
    if (const Return* value = std::get_if<Return>(&entry))
        returnTokens(*value);
    if (const Usage* value = std::get_if<Usage>(&entry))
        bill(*value);
    if (const Claim* value = std::get_if<Claim>(&entry))
        claim(*value);
    if (const Outcome* value = std::get_if<Outcome>(&entry))
        outcome(*value);
    if (const Void* value = std::get_if<Void>(&entry))
        voidClaim(*value);
    if (const CloseHolder* value = std::get_if<CloseHolder>(&entry))
        close(*value);
}

void ReferenceLedger::topUp(const TopUp& entry)
{
    BudgetTotals& totals = m_budgets[entry.budget];
    if (m_topUps.insert(entry.budget.text() + " " + entry.topUpId).second)
        totals.toppedUp += entry.tokens;
}

void ReferenceLedger::grant(const Grant& entry)
{
    BudgetTotals& totals = m_budgets[entry.budget];
    if (totals.closed.contains(entry.holder))
        return;
    int64_t requested = entry.cumulativeGranted - totals.granted[entry.holder];
    int64_t increase = requested < totals.ungranted() ? requested : totals.ungranted();
    if (increase > 0)
        totals.granted[entry.holder] += increase;
}

void ReferenceLedger::returnTokens(const Return& entry)
{
    BudgetTotals& totals = m_budgets[entry.budget];
    int64_t increase = entry.cumulativeReturned - totals.returned[entry.holder];
    if (increase > 0 && increase <= totals.outstanding(entry.holder))
        totals.returned[entry.holder] += increase;
}

void ReferenceLedger::bill(const Usage& entry)
{
    BudgetTotals& totals = m_budgets[entry.budget];
    if (m_attempts.contains(entry.attemptId))
        return;
    int64_t excess = entry.tokens - totals.outstanding(entry.holder);
    if (excess > 0 && excess > totals.ungranted())
        return;
    if (excess > 0)
        totals.granted[entry.holder] += excess;
    totals.billed[entry.holder] += entry.tokens;
    totals.spent += entry.tokens;
    m_attempts.insert(entry.attemptId);
    ++totals.attemptsOfRequest[entry.requestId];
}

void ReferenceLedger::claim(const Claim& entry)
{
    BudgetTotals& totals = m_budgets[entry.budget];
    if (m_calls.contains(entry.requestId) || m_voidedNonces.contains(entry.nonce) || entry.price > totals.ungranted())
        return;
    m_calls[entry.requestId] = { entry.budget, entry.nonce, entry.price, false };
    totals.reserved += entry.price;
}

void ReferenceLedger::outcome(const Outcome& entry)
{
    std::map<std::string, Call>::iterator call = m_calls.find(entry.requestId);
    if (call == m_calls.end() || call->second.hasOutcome || call->second.nonce != entry.nonce || call->second.budget != entry.budget)
        return;
    call->second.hasOutcome = true;
    BudgetTotals& totals = m_budgets[entry.budget];
    totals.reserved -= call->second.price;
    totals.spent += call->second.price;
    ++totals.attemptsOfRequest[entry.requestId];
}

void ReferenceLedger::voidClaim(const Void& entry)
{
    std::map<std::string, Call>::iterator call = m_calls.find(entry.requestId);
    bool isOwn = call != m_calls.end() && call->second.nonce == entry.nonce && call->second.budget == entry.budget;
    if (isOwn && call->second.hasOutcome)
        return;
    if (!m_voidedNonces.insert(entry.nonce).second || !isOwn)
        return;
    m_budgets[entry.budget].reserved -= call->second.price;
    m_calls.erase(call);
}

void ReferenceLedger::close(const CloseHolder& entry)
{
    BudgetTotals& totals = m_budgets[entry.budget];
    if (totals.closed.insert(entry.holder).second)
        totals.returned[entry.holder] += totals.outstanding(entry.holder);
}
