#pragma once

#include "FakeObjectStore.h"
#include "LibCore/EventLog.h"
#include "LibLedger/ShardWriter.h"
#include "RunTask.h"

// An event loop, a fake store, and shard writers without commit delays.
struct LedgerFixture {
    boost::asio::io_context context;
    FakeObjectStore store;
    int64_t nowMs { 1'700'000'000'000 };
    Ledger::BudgetId budget { "orders", "main" };

    explicit LedgerFixture(uint64_t seed)
        : store(seed)
    {
        Core::initialiseLog("test", Core::Severity::Error);
    }

    Ledger::WriterSettings settings()
    {
        Ledger::WriterSettings settings;
        settings.groupCommitDelay = std::chrono::milliseconds(0);
        settings.deferredCommitDelay = std::chrono::milliseconds(0);
        settings.writesPerSecond = 0;
        settings.initialBackoff = std::chrono::milliseconds(1);
        settings.wallClockMs = [this] { return nowMs; };
        return settings;
    }

    std::shared_ptr<Ledger::ShardWriter> writer(const std::string& host)
    {
        return std::make_shared<Ledger::ShardWriter>(context.get_executor(), store.client(host), 0, Ledger::Holder { host, 1 }, settings());
    }

    std::optional<std::vector<Ledger::EntryResult>> submit(const std::shared_ptr<Ledger::ShardWriter>& writer, std::vector<Ledger::Entry> entries, Core::Reason& reason)
    {
        return runTask(context, writer->submit(std::move(entries), Core::Deadline::after(std::chrono::seconds(30)), reason));
    }

    std::optional<Ledger::LedgerAudit> audit(const std::shared_ptr<Ledger::ShardWriter>& writer, Core::Reason& reason)
    {
        return runTask(context, writer->audit(Core::Deadline::after(std::chrono::seconds(30)), reason));
    }

    Ledger::Usage usage(const std::string& attempt, const std::string& host, Ledger::Tokens tokens)
    {
        return { attempt, "request-" + attempt, budget, { host, 1 }, tokens, Ledger::UsageKind::Complete, nowMs };
    }
};
