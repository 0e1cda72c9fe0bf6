#pragma once

#include "LibCore/Async.h"
#include "LibCore/Deadline.h"
#include "LibIntent/AcceptedNote.h"
#include "LibIntent/FleetState.h"
#include "LibIntent/NoteLog.h"
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace Intent {

struct FollowerHooks {
    // Asks peers for the notes above a generation. NotFound: the peer no longer keeps notes that old.
    std::function<Core::Task<std::optional<std::vector<AcceptedNote>>>(uint64_t after, Core::Deadline, Core::Reason&)> fetchNotes;
    // Asks peers for a whole state.
    std::function<Core::Task<std::optional<FleetState>>(Core::Deadline, Core::Reason&)> fetchState;
    // Sends a note that was adopted here to the linked peers.
    std::function<void(const AcceptedNote&)> push;
    // A newer state is in force.
    std::function<void(std::shared_ptr<const FleetState>)> stateChanged;
    // Whether this daemon watches the platform on behalf of its failure domain.
    std::function<bool()> holdsWatch;
    // The platform said, in answer to a question sent at this time, that the generation is the newest.
    std::function<void(uint64_t generation, Core::SteadyClock::time_point askedAt)> platformConfirmed;
};

struct FollowerLimits {
    // Longest time of one watch call; bounds the age of confirmations.
    std::chrono::milliseconds watchTime { 1000 };
    // Pause after a failure and between questions whether this daemon holds a watch.
    std::chrono::milliseconds pause { 300 };
    // Longest time of one question to peers or of one read from the platform.
    std::chrono::milliseconds askTime { 2000 };
    // Questions to peers without progress before the platform is read instead.
    int attemptsBeforePlatform { 3 };
    // Notes kept to answer peers that are behind.
    size_t keptNotes { 512 };
    // Notes kept that arrived before their predecessors.
    size_t keptEarlyNotes { 256 };
};

// Keeps a daemon's FleetState up to date. Adopts consecutive, higher generations only. A note that cannot be parsed or
// does not fit the state is not adopted: the daemon stays behind and thereby stops dispatching.
class Follower : public std::enable_shared_from_this<Follower> {
public:
    static std::shared_ptr<Follower> create(const boost::asio::any_io_executor&, NoteLog, FollowerHooks, FollowerLimits = {});

    // Obtains a first state from a peer, and from the platform what the peer lacks. Without a peer, all notes come
    // from the platform. Fails when the deadline passes before either has answered.
    Core::Task<bool> start(Core::Deadline, Core::Reason&);

    // Watches the platform while holdsWatch says so, until stop.
    Core::Task<void> run();
    void stop();

    // Null before start has succeeded. The state does not change while a caller holds the pointer; callers that keep it
    // for long make each adoption copy the state.
    std::shared_ptr<const FleetState> state() const { return m_state; }
    uint64_t generation() const { return m_state ? m_state->generation : 0; }

    // A note arrived from a peer or was accepted here.
    void receive(std::vector<AcceptedNote>);

    // A peer has this generation; the missing notes are fetched if it is higher.
    void generationHeard(uint64_t generation);

    // Notes above a generation, for a peer that is behind; no value if they are no longer all kept.
    std::optional<std::vector<AcceptedNote>> notesAfter(uint64_t generation) const;

    // Waits until the generation is in force here; false when the deadline passed first.
    Core::Task<bool> waitFor(uint64_t generation, Core::Deadline);

private:
    Follower(const boost::asio::any_io_executor&, NoteLog, FollowerHooks, FollowerLimits);

    void adoptState(FleetState);
    void adoptReceived();
    void announce(std::shared_ptr<const FleetState>);
    Core::Task<bool> readFromPlatform(Core::Deadline, Core::Reason&);
    Core::Task<bool> askPeers(Core::Reason&);
    // Keeps the follower alive until the task ends.
    static Core::Task<void> fetchInBackground(std::shared_ptr<Follower>);
    Core::Task<void> fetchMissing();
    Core::Task<void> watchOnce();
    Core::Task<void> pause();

    boost::asio::any_io_executor m_executor;
    NoteLog m_log;
    FollowerHooks m_hooks;
    FollowerLimits m_limits;
    Core::Signal m_changed;
    std::shared_ptr<const FleetState> m_state;
    // Notes whose predecessors are missing, by generation.
    std::map<uint64_t, AcceptedNote> m_early;
    std::deque<AcceptedNote> m_kept;
    // Highest generation that a peer was heard to have.
    uint64_t m_wanted { 0 };
    bool m_isFetching { false };
    bool m_isStopped { false };
    // Generation whose note could not be adopted; logged once.
    uint64_t m_rejected { 0 };
    // Revision up to which the platform's notes were read; no value before the first read.
    std::optional<Platform::Version> m_revision;
    // Newest generation seen on the platform.
    uint64_t m_platformGeneration { 0 };
};

}
