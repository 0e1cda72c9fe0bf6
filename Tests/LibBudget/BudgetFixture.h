#pragma once

#include "FakeObjectStore.h"
#include "LibBudget/Accounts.h"
#include "LibBudget/BillQueue.h"
#include "LibCore/EventLog.h"
#include "LibLedger/LedgerService.h"
#include "RunTask.h"

// A ledger on a fake store, and daemons with accounts and bill queues. The entries of all daemons are committed by one
// ledger service, as they are over peer links.
struct BudgetFixture {
    static constexpr uint32_t shardCount = 4;

    struct Daemon {
        Ledger::Holder holder;
        std::unique_ptr<Budget::Accounts> accounts;
        std::unique_ptr<Budget::BillQueue> bills;
        bool isPartitioned { false };
        // Number of submissions to the ledger.
        uint64_t submissions { 0 };
        std::vector<std::string> flushed;
        std::vector<Ledger::Usage> refusedBills;
    };

    FakeObjectStore store;
    std::vector<std::unique_ptr<Daemon>> daemons;
    boost::asio::io_context context;
    Ledger::BudgetId budget { "orders", "main" };
    Ledger::LedgerService service;

    explicit BudgetFixture(uint64_t seed)
        : store(seed)
        , service(context.get_executor(), store.client("writer"), shardCount, { "writer", 1 }, ledgerSettings())
    {
        Core::initialiseLog("test", Core::Severity::Error);
    }

    Ledger::WriterSettings ledgerSettings()
    {
        Ledger::WriterSettings settings;
        settings.groupCommitDelay = std::chrono::milliseconds(0);
        settings.deferredCommitDelay = std::chrono::milliseconds(0);
        settings.writesPerSecond = 0;
        settings.initialBackoff = std::chrono::milliseconds(1);
        settings.onRecallNeeded = [this](const Ledger::BudgetId& id, const std::vector<Ledger::Holder>& holders) {
            for (const std::unique_ptr<Daemon>& daemon : daemons) {
                if (std::find(holders.begin(), holders.end(), daemon->holder) != holders.end())
                    daemon->accounts->recall(id);
            }
        };
        return settings;
    }

    static Budget::AccountSettings accountSettings()
    {
        Budget::AccountSettings settings;
        settings.initialRetryDelay = std::chrono::milliseconds(2);
        settings.maximumRetryDelay = std::chrono::milliseconds(20);
        settings.maintenanceInterval = std::chrono::milliseconds(2);
        return settings;
    }

    Daemon& addDaemon(const std::string& host, Budget::AccountSettings settings = accountSettings())
    {
        daemons.push_back(std::make_unique<Daemon>());
        Daemon& daemon = *daemons.back();
        daemon.holder = { host, 1 };
        Ledger::Submit submit = [this, &daemon](uint32_t shard, std::vector<Ledger::Entry> entries, Core::Deadline deadline, Core::Reason& reason) -> Core::Task<std::optional<std::vector<Ledger::EntryResult>>> {
            ++daemon.submissions;
            if (daemon.isPartitioned) {
                reason = { Core::FailureKind::Unavailable, "submit", "writer", "partition" };
                co_return std::nullopt;
            }
            co_return co_await service.commit(shard, std::move(entries), deadline, reason);
        };
        daemon.accounts = std::make_unique<Budget::Accounts>(context.get_executor(), daemon.holder, shardCount, submit, settings);
        Budget::BillSettings billSettings;
        billSettings.flushInterval = std::chrono::milliseconds(5);
        billSettings.onFlushed = [&daemon](std::vector<std::string> ids) { daemon.flushed.insert(daemon.flushed.end(), ids.begin(), ids.end()); };
        billSettings.onRefused = [&daemon](const Ledger::Usage& bill) { daemon.refusedBills.push_back(bill); };
        daemon.bills = std::make_unique<Budget::BillQueue>(context.get_executor(), shardCount, submit, billSettings);
        return daemon;
    }

    void topUp(const std::string& id, Ledger::Tokens tokens)
    {
        Core::Reason reason;
        runTask(context, service.commit(Ledger::shardOf(budget, shardCount), { Ledger::TopUp { budget, id, tokens } }, seconds(20), reason)).value();
    }

    static Core::Deadline seconds(int count) { return Core::Deadline::after(std::chrono::seconds(count)); }

    std::optional<Budget::Hold> acquire(Daemon& daemon, Ledger::Tokens tokens, Core::Deadline deadline, Core::Reason& reason)
    {
        return runTask(context, daemon.accounts->acquire(budget, tokens, deadline, reason));
    }

    Ledger::BudgetAudit audit()
    {
        Core::Reason reason;
        return runTask(context, service.audit(Ledger::shardOf(budget, shardCount), seconds(20), reason)).value().budgets[budget];
    }

    static int64_t wallClockMs()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    Ledger::Usage bill(Daemon& daemon, const std::string& attempt, Ledger::Tokens tokens)
    {
        return { attempt, "request-" + attempt, budget, daemon.holder, tokens, Ledger::UsageKind::Complete, wallClockMs() };
    }
};
