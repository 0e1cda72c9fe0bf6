#pragma once

#include "LibPeer/Network.h"
#include "LibWitness/RecordStore.h"

namespace Witness {

// Serves the record store to other daemons through the calls open, close, lookup and recordsOf, and the notice flushed.
class WitnessService {
public:
    // Registers the handlers. The service and the store must outlive the network's use of them.
    WitnessService(Peer::Network&, RecordStore&);

private:
    std::optional<std::string> handleOpen(const Peer::Identity&, const std::string& body, Core::Reason&);
    std::optional<std::string> handleClose(const std::string& body, Core::Reason&);
    std::optional<std::string> handleLookup(const Peer::Identity&, const std::string& body, Core::Reason&);
    std::optional<std::string> handleRecordsOf(const std::string& body, Core::Reason&);
    void handleFlushed(const Peer::Identity&, const std::string& body);

    RecordStore& m_store;
};

// Fetches the records owned by a holder from another daemon.
Core::Task<std::optional<std::vector<Record>>> fetchRecordsOf(
    Peer::Network&, Core::Address, Ledger::Holder, Core::Deadline, Core::Reason&);

}
