#pragma once

#include "LibCore/Address.h"
#include "LibCore/Deadline.h"
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Relay {

// A daemon's announcement.
struct PeerInfo {
    Core::Address address;
    std::string failureDomain;
    // Relative weight of the host in the distribution of jobs.
    double capacity { 1 };
    // Where the daemon takes requests of callers; empty for one of a release that does not announce it.
    std::optional<Core::Address> callerAddress {};
    bool operator==(const PeerInfo&) const = default;
};

// Assigns jobs to daemons by rendezvous hashing weighted by capacity, skipping suspected daemons. Daemons with different peer
// lists may disagree on an assignment, so every job must tolerate two assignees at a time.
class PeerTable {
public:
    // Daemons of a failure domain that share one watcher. Sending a configuration of 100 KB to the other seven over a link of
    // 10 Mbit/s takes 0.6 s.
    static constexpr size_t daemonsPerWatcher = 8;

    explicit PeerTable(PeerInfo self);

    void setPeers(std::vector<PeerInfo>);
    // Number of daemons, including this one.
    size_t size() const { return m_daemons.size(); }

    // The daemon to which the job is assigned; empty if it is this one.
    std::optional<Core::Address> assigneeOf(uint64_t job) const;
    // The same, but regardless of suspicions: daemons with the same peer list agree on it.
    std::optional<Core::Address> ownerOf(uint64_t job) const;
    // The daemon in the same failure domain through which this one watches the store; empty if it watches the store directly.
    // Each watcher serves only a few daemons, which limits how often one host has to send a change.
    std::optional<Core::Address> watcher() const;

    // A random daemon other than this one, suspect or not; empty if there is none.
    std::optional<Core::Address> randomPeer() const;

    // A daemon other than this one that takes requests of callers and is neither suspect nor excluded by that address, drawn at random by
    // capacity. Daemons are suspected here by that address too.
    std::optional<Core::Address> randomRelay(const std::set<Core::Address>& excluded) const;

    // Whether the daemon has not answered recently.
    bool isSuspect(const Core::Address&) const;
    // Marks a daemon that did not answer. It is skipped for a time that doubles with each consecutive failure.
    void suspect(const Core::Address&);
    void clearSuspicion(const Core::Address&);
    // Clears all suspicions after this daemon itself was partitioned, which had made all its peers appear to fail.
    void clearSuspicions() { m_suspicions.clear(); }

private:
    struct Suspicion {
        Core::Deadline until;
        int failures { 0 };
    };

    // Null if no daemon is eligible.
    const PeerInfo* choose(uint64_t job, const std::function<bool(const PeerInfo&)>& isEligible) const;
    // The address of a daemon other than this one.
    std::optional<Core::Address> addressOf(const PeerInfo*) const;

    PeerInfo m_self;
    std::vector<PeerInfo> m_daemons;
    std::map<Core::Address, Suspicion> m_suspicions;
};

}
