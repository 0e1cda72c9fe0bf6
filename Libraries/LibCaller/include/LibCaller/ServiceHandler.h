#pragma once

#include "LibCaller/Attempt.h"
#include "LibCaller/Hooks.h"
#include "LibEndpoint/ServiceClient.h"
#include "LibHTTP/ResponseWriter.h"

namespace Caller {

// Handles calls of plain services below /services/<service>/. Non-repeatable calls are claimed in the ledger before their
// dispatch and run at most once.
class ServiceHandler {
public:
    ServiceHandler(const boost::asio::any_io_executor&, const Hooks&, Endpoint::ServiceClient&);

    Core::Task<void> handle(const HTTP::Request&, const RequestIdentity&, HTTP::ResponseWriter&);

    // Number of outcomes and claim releases that have not been written to the ledger yet.
    size_t pendingOutcomes() const { return m_pendingOutcomes; }

private:
    struct Call;

    Core::Task<std::optional<HTTP::Response>> runRepeatable(Call&, Refusal&);
    Core::Task<std::optional<HTTP::Response>> runOnce(Call&, Refusal&);
    Core::Task<std::optional<HTTP::Response>> sendToEndpoint(Call&, bool& mayHaveRun, Refusal&);
    Core::Task<bool> claim(Call&, std::optional<HTTP::Response>& stored, Refusal&);
    Core::Task<bool> submitEntry(Ledger::Entry, Core::Deadline, Ledger::EntryResult&, Core::Reason&);
    Core::Task<void> submitWithRetries(Ledger::Entry);

    boost::asio::any_io_executor m_executor;
    const Hooks& m_hooks;
    Endpoint::ServiceClient& m_client;
    size_t m_pendingOutcomes { 0 };
};

}
