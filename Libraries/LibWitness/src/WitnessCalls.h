#pragma once

#include "LibMembership/Member.h"
#include "LibPeer/Network.h"
#include "Messages.h"

namespace Witness {

// Typed calls to the witness service of a member. Calls to this daemon itself use the local store directly.
class WitnessCalls {
public:
    WitnessCalls(Peer::Network&, RecordStore& local, Ledger::Holder self);

    Core::Task<std::optional<std::vector<RecordOpenResult>>> open(
        Membership::Member, std::vector<Record>, bool joinExisting, Core::Deadline, Core::Reason&);
    Core::Task<std::optional<CloseReply>> close(
        Membership::Member, std::string attemptId, Ledger::Usage, Core::Deadline, Core::Reason&);
    // Looks up the oldest attempt of a request and joins it until `joinUntil`. Does not join if `joinUntil` has passed.
    Core::Task<std::optional<LookupReply>> lookup(
        Membership::Member, std::string requestId, Core::Deadline joinUntil, Core::Deadline, Core::Reason&);
    void notifyFlushed(const Membership::Member&, const std::vector<std::string>& attemptIds);

private:
    bool isSelf(const Membership::Member& member) const { return member.host == m_self.host; }

    Peer::Network& m_network;
    RecordStore& m_local;
    Ledger::Holder m_self;
};

}
