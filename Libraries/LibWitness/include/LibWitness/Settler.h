#pragma once

#include "LibLedger/Submitter.h"
#include "LibWitness/RecordStore.h"
#include <chrono>
#include <functional>
#include <map>
#include <set>

namespace Witness {

// Liveness of the process that owns a record, as far as this daemon knows.
enum class OwnerState {
    Alive,
    // No longer heard from, or left the fleet. The process may be paused or partitioned, and may return.
    Unreachable,
    // The process has ended: a newer incarnation has bound its address, or an operator has withdrawn its host.
    ConfirmedDead,
};

struct SettlerSettings {
    std::chrono::milliseconds interval { 1000 };
    std::chrono::milliseconds cancelTimeout { 2000 };
    std::chrono::milliseconds submitTimeout { 5000 };
    // When an endpoint does not know a stream, it is asked again after this time: the dispatch may still be in flight.
    std::chrono::milliseconds notFoundRecheckDelay { 2000 };
    // Delay after the first failure of an endpoint or shard. It doubles with each further failure.
    std::chrono::milliseconds initialRetryDelay { 1000 };
    std::chrono::milliseconds maxRetryDelay { 60000 };
    // Closed records of an owner that is alive are submitted after this time, since its flushed notice may be lost.
    std::chrono::milliseconds closedSubmitDelay { 600000 };
};

// Cancels and bills the attempts of owners that have failed. Every step is idempotent and may race with the owner:
//
// - A stream is cancelled only when no process can forward any more of its output: for the owner and each joiner, either
//   the deadline has passed or the process is confirmed dead. Being suspected is not enough. Cancelling is idempotent;
//   the engine returns the same count to later callers.
// - The ledger applies one usage per attempt. If both the witness and a resumed owner submit one, the second is a
//   duplicate, so the request is billed once.
// - The store keeps the first usage of an attempt. If the owner closes the attempt during the cancellation, the owner's
//   count is kept. If it closes the attempt later, the count from the cancellation is kept.
class Settler {
public:
    struct Hooks {
        std::function<OwnerState(const Ledger::Holder&)> ownerState;
        // Cancels a stream and returns its token count; see EngineClient::cancel. Fails with NotFound for unknown streams.
        std::function<Core::Task<std::optional<Ledger::Tokens>>(std::string endpoint, std::string streamId, Core::Deadline, Core::Reason&)> cancelStream;
        std::function<uint32_t(const Ledger::BudgetId&)> shardOf;
        Ledger::Submit submit;
        // Wall-clock time in milliseconds since the Unix epoch.
        std::function<int64_t()> now;
    };

    Settler(RecordStore&, Hooks, SettlerSettings = {});

    // Cancels the open attempts that are due, then submits the usages that are due to the ledger.
    Core::Task<void> runOnce();

    // Repeats runOnce until stopped.
    Core::Task<void> run();
    void stop() { m_isStopped = true; }

    // Submits all closed records regardless of their owner, before a graceful shutdown. Returns whether none is left.
    Core::Task<bool> submitAll();

private:
    // Retry state of an endpoint or shard after a failure.
    struct Backoff {
        Core::Deadline nextTry { Core::Deadline(Core::SteadyClock::time_point::min()) };
        std::chrono::milliseconds delay { 0 };
    };

    bool cannotForward(const Ledger::Holder&, Core::Deadline) const;
    bool mayCancel(const StoredRecord&) const;
    bool isDueForSubmission(const StoredRecord&) const;
    std::vector<std::string> attemptsToCancel() const;
    std::map<uint32_t, std::vector<Ledger::Entry>> usagesToSubmit(bool all) const;
    Core::Task<void> settle(std::string attemptId);
    Core::Task<void> submitShard(uint32_t shard, std::vector<Ledger::Entry>);
    bool markDurableFlushed(const std::vector<Ledger::Entry>&, const std::vector<Ledger::EntryResult>&);
    void closeSettled(const Record&, Ledger::Tokens);
    void scheduleRetry(Backoff&) const;

    RecordStore& m_store;
    Hooks m_hooks;
    SettlerSettings m_settings;
    std::map<std::string, Backoff> m_endpointBackoffs;
    std::map<uint32_t, Backoff> m_shardBackoffs;
    // Attempts whose stream was unknown to the endpoint, with the time of the second check.
    std::map<std::string, Core::Deadline> m_notFoundRechecks;
    bool m_isStopped { false };
};

}
