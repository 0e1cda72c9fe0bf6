#include "NaiveLedger.h"

using namespace Ledger;

int64_t NaiveLedger::Line::left()
{
    int64_t rest = toppedUp - spent - reserved;
    for (const std::pair<const Holder, int64_t>& item : granted)
        rest -= item.second - returned[item.first] - billed[item.first];
    return rest;
}

void NaiveLedger::apply(const Entry& entry)
{
    if (const TopUp* value = std::get_if<TopUp>(&entry))
        return topUp(*value);
    if (!m_lines.contains(budgetOf(entry)))
        return;
    if (const Grant* value = std::get_if<Grant>(&entry))
        grant(*value);
    if (const Return* value = std::get_if<Return>(&entry))
        giveBack(*value);
    if (const Usage* value = std::get_if<Usage>(&entry))
        bill(*value);
    if (const Claim* value = std::get_if<Claim>(&entry))
        claim(*value);
    if (const Outcome* value = std::get_if<Outcome>(&entry))
        outcome(*value);
    if (const Void* value = std::get_if<Void>(&entry))
        free(*value);
    if (const CloseHolder* value = std::get_if<CloseHolder>(&entry))
        close(*value);
}

void NaiveLedger::topUp(const TopUp& entry)
{
    Line& line = m_lines[entry.budget];
    if (m_topUps.insert(entry.budget.text() + " " + entry.topUpId).second)
        line.toppedUp += entry.tokens;
}

void NaiveLedger::grant(const Grant& entry)
{
    Line& line = m_lines[entry.budget];
    if (line.closed.contains(entry.holder))
        return;
    int64_t wanted = entry.cumulativeGranted - line.granted[entry.holder];
    int64_t given = wanted < line.left() ? wanted : line.left();
    if (given > 0)
        line.granted[entry.holder] += given;
}

void NaiveLedger::giveBack(const Return& entry)
{
    Line& line = m_lines[entry.budget];
    int64_t more = entry.cumulativeReturned - line.returned[entry.holder];
    if (more > 0 && more <= line.outstanding(entry.holder))
        line.returned[entry.holder] += more;
}

void NaiveLedger::bill(const Usage& entry)
{
    Line& line = m_lines[entry.budget];
    if (m_attempts.contains(entry.attemptId))
        return;
    int64_t beyond = entry.tokens - line.outstanding(entry.holder);
    if (beyond > 0 && beyond > line.left())
        return;
    if (beyond > 0)
        line.granted[entry.holder] += beyond;
    line.billed[entry.holder] += entry.tokens;
    line.spent += entry.tokens;
    m_attempts.insert(entry.attemptId);
    ++line.attemptsOfRequest[entry.requestId];
}

void NaiveLedger::claim(const Claim& entry)
{
    Line& line = m_lines[entry.budget];
    if (m_calls.contains(entry.requestId) || m_freedNonces.contains(entry.nonce) || entry.price > line.left())
        return;
    m_calls[entry.requestId] = { entry.budget, entry.nonce, entry.price, false };
    line.reserved += entry.price;
}

void NaiveLedger::outcome(const Outcome& entry)
{
    std::map<std::string, Call>::iterator call = m_calls.find(entry.requestId);
    if (call == m_calls.end() || call->second.hasOutcome || call->second.nonce != entry.nonce || call->second.budget != entry.budget)
        return;
    call->second.hasOutcome = true;
    Line& line = m_lines[entry.budget];
    line.reserved -= call->second.price;
    line.spent += call->second.price;
    ++line.attemptsOfRequest[entry.requestId];
}

void NaiveLedger::free(const Void& entry)
{
    std::map<std::string, Call>::iterator call = m_calls.find(entry.requestId);
    bool isOwn = call != m_calls.end() && call->second.nonce == entry.nonce && call->second.budget == entry.budget;
    if (isOwn && call->second.hasOutcome)
        return;
    if (!m_freedNonces.insert(entry.nonce).second || !isOwn)
        return;
    m_lines[entry.budget].reserved -= call->second.price;
    m_calls.erase(call);
}

void NaiveLedger::close(const CloseHolder& entry)
{
    Line& line = m_lines[entry.budget];
    if (line.closed.insert(entry.holder).second)
        line.returned[entry.holder] += line.outstanding(entry.holder);
}
