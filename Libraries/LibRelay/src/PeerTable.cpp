#include "LibRelay/PeerTable.h"

#include "LibCore/Hash.h"
#include "LibCore/Random.h"
#include <algorithm>
#include <cmath>
#include <limits>

namespace Relay {

// How long a daemon is skipped after its first failure. A process restart takes about this long.
static constexpr std::chrono::milliseconds initialSuspicionTime(3'000);
// Maximum number of times that the suspicion time is doubled. It has to grow because a host that is permanently gone stays
// announced.
static constexpr int maxDoublings = 3;

// Job numbers from here on are watcher assignments; all other jobs have smaller numbers.
static constexpr uint64_t firstWatcherJob = 1'000;
static constexpr double minCapacity = 1e-9;

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

std::optional<Core::Address> PeerTable::randomPeer() const
{
    uint64_t job = Core::randomBelow(std::numeric_limits<uint64_t>::max());
    return addressOf(choose(job, [this](const PeerInfo& daemon) { return daemon.address != m_self.address; }));
}

std::optional<Core::Address> PeerTable::randomRelay(const std::set<Core::Address>& excluded) const
{
    const PeerInfo* relay = choose(Core::randomBelow(std::numeric_limits<uint64_t>::max()), [this, &excluded](const PeerInfo& daemon) {
        return daemon.address != m_self.address && daemon.callerAddress && !excluded.contains(*daemon.callerAddress) && !isSuspect(*daemon.callerAddress);
    });
    return relay ? relay->callerAddress : std::nullopt;
}

bool PeerTable::isSuspect(const Core::Address& daemon) const
{
    auto suspicion = m_suspicions.find(daemon);
    return suspicion != m_suspicions.end() && !suspicion->second.until.hasPassed();
}

// Weighted rendezvous hashing: each daemon has the highest score for a share of the jobs proportional to its capacity.
static double scoreOf(const PeerInfo& daemon, uint64_t job)
{
    static constexpr double hashRange = 18'446'744'073'709'551'616.0;
    double uniform = (static_cast<double>(Core::hash64(daemon.address.text(), job)) + 1) / hashRange;
    return std::max(daemon.capacity, minCapacity) / -std::log(std::min(uniform, 1 - minCapacity));
}

const PeerInfo* PeerTable::choose(uint64_t job, const std::function<bool(const PeerInfo&)>& isEligible) const
{
    const PeerInfo* best = nullptr;
    double bestScore = 0;
    for (const PeerInfo& daemon : m_daemons) {
        if (!isEligible(daemon))
            continue;
        double score = scoreOf(daemon, job);
        if (best && score <= bestScore)
            continue;
        best = &daemon;
        bestScore = score;
    }
    return best;
}

std::optional<Core::Address> PeerTable::addressOf(const PeerInfo* daemon) const
{
    if (!daemon || daemon->address == m_self.address)
        return std::nullopt;
    return daemon->address;
}

std::optional<Core::Address> PeerTable::assigneeOf(uint64_t job) const
{
    return addressOf(choose(job, [this](const PeerInfo& daemon) { return !isSuspect(daemon.address); }));
}

std::optional<Core::Address> PeerTable::ownerOf(uint64_t job) const
{
    return addressOf(choose(job, [](const PeerInfo&) { return true; }));
}

std::optional<Core::Address> PeerTable::watcher() const
{
    size_t local = 0;
    for (const PeerInfo& daemon : m_daemons)
        local += daemon.failureDomain == m_self.failureDomain ? 1 : 0;
    size_t groups = (local + daemonsPerWatcher - 1) / daemonsPerWatcher;
    size_t ownGroup = Core::hash64(m_self.address.text()) % std::max<size_t>(groups, 1);
    std::optional<Core::Address> watcher;
    for (size_t group = 0; group < groups; ++group) {
        const PeerInfo* assignee = choose(firstWatcherJob + group, [this](const PeerInfo& daemon) { return daemon.failureDomain == m_self.failureDomain && !isSuspect(daemon.address); });
        // A watcher of any group watches the store directly, since only direct watchers may serve others.
        if (!assignee || assignee->address == m_self.address)
            return std::nullopt;
        if (group == ownGroup)
            watcher = assignee->address;
    }
    return watcher;
}

void PeerTable::suspect(const Core::Address& daemon)
{
    Suspicion& suspicion = m_suspicions.try_emplace(daemon, Suspicion { Core::Deadline::never(), 0 }).first->second;
    suspicion.until = Core::Deadline::after(initialSuspicionTime * (1 << std::min(suspicion.failures, maxDoublings)));
    ++suspicion.failures;
}

void PeerTable::clearSuspicion(const Core::Address& daemon)
{
    m_suspicions.erase(daemon);
}

}
