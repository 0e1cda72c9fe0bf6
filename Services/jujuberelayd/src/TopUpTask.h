#pragma once

#include "LedgerGateway.h"
#include "LibCore/Async.h"
#include "LibIntent/FleetState.h"
#include <functional>
#include <memory>
#include <set>
#include <string>

// Brings the top-ups of accepted notes into the ledger. Each daemon submits those of the shards that it writes; the
// ledger applies a top-up once, so that two daemons that submit the same one do no harm.
class TopUpTask {
public:
    using State = std::function<std::shared_ptr<const Intent::FleetState>()>;

    TopUpTask(const boost::asio::any_io_executor&, LedgerGateway&, uint32_t shardCount, State);

    // Wakes the task when the state has changed.
    void stateChanged() { m_changed.notifyAll(); }

    Core::Task<void> run();
    void stop();

    // Top-ups of the shards written here that the ledger has not confirmed.
    size_t pending() const { return m_pending; }

private:
    Core::Task<void> submitMissing(std::shared_ptr<const Intent::FleetState>);

    LedgerGateway& m_gateway;
    uint32_t m_shardCount;
    State m_state;
    Core::Signal m_changed;
    std::set<std::string> m_confirmed;
    size_t m_pending { 0 };
    bool m_isStopped { false };
};
