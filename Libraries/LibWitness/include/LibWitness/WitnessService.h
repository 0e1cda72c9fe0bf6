#pragma once

#include "LibPeer/Network.h"
#include "LibWitness/RecordStore.h"

namespace Witness {

// Serves the record store to other daemons: the calls open, close, lookup and recordsOf, and the notice flushed.
class WitnessService {
public:
    // Registers the handlers. Both must outlive the network's use of them.
    WitnessService(Peer::Network&, RecordStore&);

private:
    std::optional<std::string> open(const Peer::Identity&, const std::string& body, Core::Reason&);
    std::optional<std::string> close(const std::string& body, Core::Reason&);
    std::optional<std::string> lookup(const Peer::Identity&, const std::string& body, Core::Reason&);
    std::optional<std::string> recordsOf(const std::string& body, Core::Reason&);
    void flushed(const Peer::Identity&, const std::string& body);

    RecordStore& m_store;
};

// Asks another daemon for the records that it keeps of a holder.
Core::Task<std::optional<std::vector<Record>>> fetchRecordsOf(
    Peer::Network&, Core::Address, Ledger::Holder, Core::Deadline, Core::Reason&);

}
