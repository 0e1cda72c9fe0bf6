#pragma once

#include "LibBudget/AccountSettings.h"
#include "LibBudget/AccountStatus.h"
#include "LibBudget/Hold.h"
#include "LibCore/Async.h"
#include "LibCore/Reason.h"
#include "LibLedger/Submitter.h"
#include <map>
#include <memory>
#include <vector>

namespace Budget {

// All accounts of one daemon. Must outlive the tasks it has started, that is, the run of the event loop.
//
// Each hold ends with settle or release. A request that may have run is settled with the tokens of its bill, before
// or after the bill is queued, and never released: otherwise the tokens could be spent a second time here.
class Accounts {
public:
    Accounts(const boost::asio::any_io_executor&, Ledger::Holder self, uint32_t shardCount, Ledger::Submit, AccountSettings);
    ~Accounts();
    Accounts(const Accounts&) = delete;
    Accounts& operator=(const Accounts&) = delete;

    // Sets tokens aside, and waits for a grant where there are too few. Fails with Refused "budget exhausted" only
    // when the ledger has said that nothing is left; otherwise with NotFound for a budget without top-up, Invalid,
    // or the reason why the ledger could not be asked in time.
    Core::Task<std::optional<Hold>> acquire(Ledger::BudgetId, Ledger::Tokens, Core::Deadline, Core::Reason&);
    // Ends the hold of a request that has used the tokens, which its bill names as well.
    void settle(const Hold&, Ledger::Tokens used);
    // Ends the hold of a request that provably did not run.
    void release(const Hold&);
    // Another daemon lacks tokens of the budget: returns what is not held, now and for some seconds.
    void recall(const Ledger::BudgetId&);

    // Returns idle grants and asks for more ahead of demand, until stop.
    Core::Task<void> run();
    void stop() { m_isStopped = true; }
    // Returns all unspent grants, for a graceful shutdown. Tokens of open holds stay with this holder.
    Core::Task<bool> returnAll(Core::Deadline, Core::Reason&);

    std::vector<AccountStatus> snapshot() const;

private:
    struct Account;
    using AccountPointer = std::shared_ptr<Account>;

    AccountPointer account(const Ledger::BudgetId&);
    Core::Deadline waitLimit(Core::Deadline) const;
    Core::Task<std::optional<Hold>> waitForGrant(AccountPointer, Ledger::Tokens, Core::Deadline, Core::Reason&);
    bool isHopeless(const Account&, Ledger::Tokens) const;
    void startGrant(const AccountPointer&);
    Core::Task<void> requestGrant(AccountPointer);
    void startReturn(const AccountPointer&);
    Core::Task<void> sendReturns(AccountPointer);
    Core::Task<std::optional<Ledger::EntryResult>> submitOne(Ledger::Entry, Core::Deadline, Core::Reason&);
    void holdEnded(const AccountPointer&);
    void maintain(const AccountPointer&);

    boost::asio::any_io_executor m_executor;
    Ledger::Holder m_self;
    uint32_t m_shardCount;
    Ledger::Submit m_submit;
    AccountSettings m_settings;
    std::map<Ledger::BudgetId, AccountPointer> m_accounts;
    bool m_isStopped { false };
    bool m_isReturningAll { false };
};

}
