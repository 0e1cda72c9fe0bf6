#pragma once

#include "LedgerGateway.h"
#include "LibCore/Async.h"
#include "LibIntent/FleetState.h"
#include <functional>
#include <memory>
#include <set>
#include <string>

// Submits the top-ups of accepted notes to the ledger. Each daemon submits those of the shards that it writes. The ledger
// applies each top-up once, so duplicate submissions by two daemons are harmless.
class TopUpTask {
public:
    using StateProvider = std::function<std::shared_ptr<const Intent::FleetState>()>;

    TopUpTask(const boost::asio::any_io_executor&, LedgerGateway&, uint32_t shardCount, StateProvider);

    // Wakes the task after the intended state has changed.
    void stateChanged() { m_changed.notifyAll(); }

    Core::Task<void> run();
    void stop();

    // Number of top-ups for shards of this writer that the ledger has not confirmed.
    size_t pending() const { return m_pending; }

private:
    Core::Task<void> submitMissing(std::shared_ptr<const Intent::FleetState>);

    LedgerGateway& m_gateway;
    uint32_t m_shardCount;
    StateProvider m_intendedState;
    Core::Signal m_changed;
    std::set<std::string> m_confirmed;
    size_t m_pending { 0 };
    bool m_isStopped { false };
};
