#pragma once

#include "LibCaller/Hooks.h"
#include "LibCaller/RequestIdentity.h"
#include "LibCore/Async.h"
#include <memory>
#include <optional>

namespace Caller {

// The accounting of one dispatched attempt: its hold, its record at the witness and its bill. Every path through a
// handler ends with exactly one of finish, abandon or leaveToOwner.
class Attempt {
public:
    Attempt(const Hooks&, const RequestIdentity&);

    // Takes the hold; fills in the refusal when the budget cannot cover it in time.
    Core::Task<bool> hold(Ledger::Tokens, Refusal&);

    // Records the attempt at the given endpoint. May be called again for another endpoint while nothing was sent.
    // An earlier attempt of the same request is taken over instead: see isJoined.
    Core::Task<bool> open(const Route&, Refusal&);

    // Takes over an earlier attempt of the same request, if there is one. Asked before a refusal, which must not say
    // "not run" of a request that has run.
    Core::Task<bool> joinEarlier();

    // Whether this request joins an attempt that was recorded before, perhaps by another daemon.
    bool isJoined() const { return m_isJoined; }
    const Witness::Record& record() const { return m_record; }

    // Makes the usage outlive this host. Must succeed before the caller sees the end of the answer.
    Core::Task<bool> makeDurable(Ledger::Tokens used, Ledger::UsageKind, Core::Deadline, Core::Reason&);

    // Settles the hold and queues the bill. After makeDurable, or without it when the answer was broken off.
    void finish(Ledger::Tokens used, Ledger::UsageKind);

    // Releases everything: the attempt was provably never sent.
    void abandon();

    // Gives up a joined attempt without billing it; its owner or its witness does.
    void leaveToOwner();

private:
    Core::Deadline recordDeadline() const;
    Ledger::Usage usageOf(Ledger::Tokens used, Ledger::UsageKind) const;
    void adopt(Witness::Record);

    const Hooks& m_hooks;
    RequestIdentity m_identity;
    // Each dispatch has its own identity, since the tokens of each run are charged.
    std::string m_attemptId;
    std::optional<Hold> m_hold;
    Witness::Record m_record;
    bool m_isOpen { false };
    bool m_isJoined { false };
};

}
