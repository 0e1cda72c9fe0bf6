#pragma once

#include "LibCore/Async.h"
#include "LibIntent/Follower.h"
#include "LibIntent/Freshness.h"
#include "LibIntent/NoteLog.h"
#include "LibMembership/Member.h"
#include "LibPeer/Network.h"
#include <functional>
#include <memory>
#include <vector>

// Replicates the intended state between daemons: serves notes and states to peers, fetches missing ones, pushes new notes,
// and reports confirmations to Intent::Freshness.
class IntentService {
public:
    struct Hooks {
        // Peers to fetch from and push to, in order of preference.
        std::function<std::vector<Membership::Member>()> peers;
        std::function<bool()> holdsWatch;
        std::function<void(std::shared_ptr<const Intent::FleetState>)> stateChanged;
    };

    IntentService(const boost::asio::any_io_executor&, Peer::Network&, Platform::ObjectStore, Intent::Freshness&, Hooks);

    // Registers the handlers of the calls "notesAfter" and "fleetState" and of the notice "note".
    void serve();

    // Obtains the initial state, retrying until the deadline.
    Core::Task<bool> start(Core::Deadline, Core::Reason&);
    Core::Task<void> run();
    void stop();

    std::shared_ptr<const Intent::FleetState> state() const { return m_follower->state(); }
    Intent::NoteLog& log() { return m_log; }
    Intent::Follower& follower() { return *m_follower; }
    const Intent::Follower& follower() const { return *m_follower; }

private:
    Intent::FollowerHooks followerHooks();
    Core::Task<std::optional<std::vector<Intent::AcceptedNote>>> fetchNotes(uint64_t after, Core::Deadline, Core::Reason&);
    Core::Task<std::optional<Intent::FleetState>> fetchState(Core::Deadline, Core::Reason&);
    Core::Task<std::optional<std::string>> callPeers(const char* type, std::string body, Core::Deadline, Core::Reason&);
    void pushNote(const Intent::AcceptedNote&);

    Peer::Network& m_network;
    Intent::Freshness& m_freshness;
    Hooks m_hooks;
    Intent::NoteLog m_log;
    std::shared_ptr<Intent::Follower> m_follower;
};
