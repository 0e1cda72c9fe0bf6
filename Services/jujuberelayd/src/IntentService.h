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

// Connects the daemon's copy of the intended state with its peers: serves notes and states to them, fetches what is
// missing, passes new notes on, and keeps the freshness rule informed.
class IntentService {
public:
    struct Hooks {
        // Peers to fetch from and to push to, in the order in which they are tried.
        std::function<std::vector<Membership::Member>()> peers;
        std::function<bool()> holdsWatch;
        std::function<void(std::shared_ptr<const Intent::FleetState>)> stateChanged;
    };

    IntentService(const boost::asio::any_io_executor&, Peer::Network&, Platform::ObjectStore, Intent::Freshness&, Hooks);

    // Registers the calls "notesAfter" and "fleetState" and the notice "note".
    void serve();

    // Obtains a first state; tries until the deadline.
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
    Core::Task<std::optional<std::string>> askPeers(const char* type, std::string body, Core::Deadline, Core::Reason&);
    void push(const Intent::AcceptedNote&);

    Peer::Network& m_network;
    Intent::Freshness& m_freshness;
    Hooks m_hooks;
    Intent::NoteLog m_log;
    std::shared_ptr<Intent::Follower> m_follower;
};
