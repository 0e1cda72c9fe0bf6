#include "LibRelay/PeerTable.h"

#include "LibCore/Hash.h"
#include <algorithm>

namespace Relay {

// Time for which a daemon is passed over after its first failure: a restarted process is back within about that time.
static constexpr std::chrono::milliseconds shortestSuspicion(3'000);
// Doublings of that time; a host that is gone for good keeps its announcement.
static constexpr int mostDoublings = 3;

PeerTable::PeerTable(PeerInfo self)
    : m_self(std::move(self))
    , m_daemons({ m_self })
{
}

void PeerTable::setPeers(std::vector<PeerInfo> peers)
{
    m_daemons = std::move(peers);
    m_daemons.push_back(m_self);
}

std::optional<Core::Address> PeerTable::choose(uint64_t job, bool isLocal) const
{
    const PeerInfo* best = nullptr;
    uint64_t bestScore = 0;
    for (const PeerInfo& daemon : m_daemons) {
        if (isLocal && daemon.failureDomain != m_self.failureDomain)
            continue;
        auto suspicion = m_suspicions.find(daemon.address);
        if (suspicion != m_suspicions.end() && !suspicion->second.until.hasPassed())
            continue;
        uint64_t score = Core::hash64(daemon.address.text(), job);
        if (best && score <= bestScore)
            continue;
        best = &daemon;
        bestScore = score;
    }
    if (!best || best->address == m_self.address)
        return std::nullopt;
    return best->address;
}

std::optional<Core::Address> PeerTable::holderOf(uint64_t job) const
{
    return choose(job, false);
}

std::optional<Core::Address> PeerTable::localHolderOf(uint64_t job) const
{
    return choose(job, true);
}

void PeerTable::suspect(const Core::Address& daemon)
{
    Suspicion& suspicion = m_suspicions.try_emplace(daemon, Suspicion { Core::Deadline::never(), 0 }).first->second;
    suspicion.until = Core::Deadline::after(shortestSuspicion * (1 << std::min(suspicion.failures, mostDoublings)));
    ++suspicion.failures;
}

void PeerTable::trust(const Core::Address& daemon)
{
    m_suspicions.erase(daemon);
}

}
