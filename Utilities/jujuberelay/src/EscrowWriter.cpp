#include "EscrowReplay.h"

#include <algorithm>

// The network and shard writer part of the replay, which mirrors Ledger::ShardWriter.
namespace Measure {

using Ledger::Entry;
using Ledger::EntryResult;

void EscrowReplay::send(uint32_t daemon, std::vector<Entry> entries, const Reply& reply, const std::function<void()>& lost)
{
    // A commit is much shorter than the grant timeout, so a lost message is detected about when Accounts would detect it.
    if (isPartitioned(daemon)) {
        m_events.scheduleAfter(m_settings.account.grantTimeout, lost);
        return;
    }
    m_events.scheduleAfter(delay(daemon), [this, daemon, entries = std::move(entries), reply, lost] {
        std::shared_ptr<bool> isLost = std::make_shared<bool>(false);
        for (const Entry& entry : entries) {
            m_queue.push_back({ entry, daemon, [this, daemon, reply, lost, isLost](const EntryResult& result) {
                                   if (!isPartitioned(daemon)) {
                                       m_events.scheduleAfter(delay(daemon), [reply, result] { reply(result); });
                                       return;
                                   }
                                   if (!*isLost)
                                       m_events.scheduleAfter(m_settings.account.grantTimeout, lost);
                                   *isLost = true;
                               } });
        }
        scheduleCommit();
    });
}

void EscrowReplay::topUp(Tokens tokens)
{
    std::string identity = "top-up-" + std::to_string(m_events.now().time_since_epoch().count());
    m_queue.push_back({ Ledger::TopUp { m_budget, identity, tokens }, 0, [](const EntryResult&) {} });
    scheduleCommit();
}

void EscrowReplay::scheduleCommit()
{
    if (m_isCommitting || m_queue.empty())
        return;
    bool isUrgent = std::any_of(m_queue.begin(), m_queue.end(), [this](const Message& message) { return Ledger::isUrgent(message.entry, m_ledger.budgets()); });
    // An urgent entry brings forward a commit that was scheduled for bills only.
    if (m_pendingCommitNumber != 0 && (m_isUrgentScheduled || !isUrgent))
        return;
    m_isUrgentScheduled = isUrgent;
    Time start = m_events.now() + (isUrgent ? m_writer.groupCommitDelay : m_writer.deferredCommitDelay);
    uint64_t number = m_pendingCommitNumber = ++m_lastCommitNumber;
    m_events.scheduleAt(std::max(start, m_pacer.nextWrite().at()), [this, number] {
        if (number == m_pendingCommitNumber)
            commit();
    });
}

void EscrowReplay::commit()
{
    m_pendingCommitNumber = 0;
    m_isUrgentScheduled = false;
    m_isCommitting = true;
    m_pacer.recordWrite(m_events.now());
    std::stable_partition(m_queue.begin(), m_queue.end(), [](const Message& message) { return Ledger::addsTokens(message.entry); });
    std::vector<Message> batch = std::move(m_queue);
    m_queue.clear();
    m_events.scheduleAfter(m_settings.platformWrite, [this, batch = std::move(batch)] {
        m_isCommitting = false;
        for (const Message& message : batch) {
            EntryResult result = m_ledger.apply(message.entry);
            if (!m_ledger.invariantHolds())
                countViolation();
            message.reply(result);
            requestRecalls(message, result);
        }
        scheduleCommit();
    });
}

void EscrowReplay::requestRecalls(const Message& message, const EntryResult& result)
{
    const Ledger::Grant* grant = std::get_if<Ledger::Grant>(&message.entry);
    std::map<Ledger::BudgetId, Ledger::BudgetState>::const_iterator budget = m_ledger.budgets().find(m_budget);
    if (!grant || budget == m_ledger.budgets().end())
        return;
    for (const Ledger::Holder& holder : Ledger::holdersToRecall(budget->second, *grant, result)) {
        for (const std::unique_ptr<Daemon>& daemon : m_daemons) {
            if (daemon->holder != holder || isPartitioned(daemon->number))
                continue;
            m_events.scheduleAfter(delay(daemon->number), [this, &daemon] { recall(*daemon); });
        }
    }
}

}
