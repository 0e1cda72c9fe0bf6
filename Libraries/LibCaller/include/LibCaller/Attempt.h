#pragma once

#include "LibCaller/Hooks.h"
#include "LibCaller/RequestIdentity.h"
#include "LibCore/Async.h"
#include <memory>
#include <optional>

namespace Caller {

// Accounting of one attempt to run a request: the hold on its budget, its record at the witness, and its bill. Every path
// through a handler must end with exactly one call of settle, releaseUnsent or leave.
class Attempt {
public:
    Attempt(const Hooks&, const RequestIdentity&);

    // Reserves tokens of the budget. Sets the refusal if the budget does not grant them before the deadline.
    Core::Task<bool> acquireHold(Ledger::Tokens, Refusal&);

    // Records the attempt at the given endpoint. May be called again for another endpoint as long as nothing was sent.
    // If an attempt of the same request is already recorded, joins that one instead; see isJoined.
    Core::Task<bool> open(const Route&, Refusal&);

    // Joins an earlier attempt of the same request, if there is one. Must be called before a refusal with
    // ExecutionStatus::NotRun, since an earlier attempt may have run.
    Core::Task<bool> joinExisting();

    // Whether this request joined an attempt that was recorded earlier, possibly by another daemon.
    bool isJoined() const { return m_isJoined; }
    const Witness::Record& record() const { return m_record; }

    // Stores the usage so that it survives the loss of this host. Must succeed before the end of the response is sent.
    Core::Task<bool> persistUsage(Ledger::Tokens used, Ledger::UsageKind, Core::Deadline, Core::Reason&);

    // Settles the hold and queues the bill. Must follow persistUsage, even if that failed.
    void settle(Ledger::Tokens used, Ledger::UsageKind);

    // Releases the hold and discards the record of an attempt that was definitely not sent.
    void releaseUnsent();

    // Leaves a joined attempt without billing it, since its owner or its witness does that.
    void leave();

private:
    Core::Deadline recordDeadline() const;
    Ledger::Usage makeUsage(Ledger::Tokens used, Ledger::UsageKind) const;
    void joinRecord(Witness::Record);

    const Hooks& m_hooks;
    RequestIdentity m_identity;
    // Unique for each dispatch, since each run is charged.
    std::string m_attemptId;
    std::optional<Hold> m_hold;
    Witness::Record m_record;
    bool m_isRecorded { false };
    bool m_isJoined { false };
};

}
