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

// Budget accounts of one daemon. Must outlive the tasks it starts, that is, the run of the event loop.
//
// Each hold ends with settle or release. A request that may have run is settled with the tokens of its bill, before or
// after the bill is queued, and never released. Otherwise its tokens could be spent twice.
class Accounts {
public:
    Accounts(const boost::asio::any_io_executor&, Ledger::Holder self, uint32_t shardCount, Ledger::Submit, AccountSettings);
    ~Accounts();
    Accounts(const Accounts&) = delete;
    Accounts& operator=(const Accounts&) = delete;

    // Reserves tokens, and waits for a grant if too few are available. Fails with Refused "budget exhausted" only if
    // the ledger has reported the budget as exhausted. Other failures are NotFound for a budget without a top-up,
    // Invalid, or the reason why the ledger did not answer in time.
    Core::Task<std::optional<Hold>> acquire(Ledger::BudgetId, Ledger::Tokens, Core::Deadline, Core::Reason&);
    // Ends the hold of a request that has used the given number of tokens, which its bill also contains.
    void settle(const Hold&, Ledger::Tokens used);
    // Ends the hold of a request that provably did not run.
    void release(const Hold&);
    // Returns all tokens of the budget that are not held, because another daemon needs them. Tokens that become
    // available within `scarcityDuration` are returned as well.
    void recall(const Ledger::BudgetId&);

    // Returns idle grants and prefetches further ones until stop is called.
    Core::Task<void> run();
    void stop() { m_isStopped = true; }
    // Returns all unspent grants, for a graceful shutdown. Held tokens are not returned until their holds end.
    Core::Task<bool> returnAll(Core::Deadline, Core::Reason&);

    std::vector<AccountStatus> snapshot() const;

private:
    struct Account;
    using AccountPointer = std::shared_ptr<Account>;

    AccountPointer account(const Ledger::BudgetId&);
    Core::Deadline waitDeadline(Core::Deadline) const;
    Core::Task<std::optional<Hold>> waitForGrant(AccountPointer, Ledger::Tokens, Core::Deadline, Core::Reason&);
    bool isKnownExhausted(const Account&, Ledger::Tokens) const;
    void startGrantRequest(const AccountPointer&);
    Core::Task<void> requestGrant(AccountPointer);
    void startReturn(const AccountPointer&);
    Core::Task<void> sendReturns(AccountPointer);
    Core::Task<std::optional<Ledger::EntryResult>> submitOne(Ledger::Entry, Core::Deadline, Core::Reason&);
    void onHoldEnded(const AccountPointer&);
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
