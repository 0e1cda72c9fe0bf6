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
    // Requests the notes after a generation from peers. Fails with NotFound if the peer has discarded notes that old.
    std::function<Core::Task<std::optional<std::vector<AcceptedNote>>>(uint64_t after, Core::Deadline, Core::Reason&)> fetchNotes;
    // Requests a complete state from peers.
    std::function<Core::Task<std::optional<FleetState>>(Core::Deadline, Core::Reason&)> fetchState;
    // Sends a newly applied note to the connected peers.
    std::function<void(const AcceptedNote&)> push;
    // Called when a newer state has come into force.
    std::function<void(std::shared_ptr<const FleetState>)> stateChanged;
    // Whether this daemon watches the platform on behalf of its failure domain.
    std::function<bool()> holdsWatch;
    // Called when the platform has confirmed, in response to a request sent at this time, that the generation is the
    // newest.
    std::function<void(uint64_t generation, Core::SteadyClock::time_point requestSentAt)> platformConfirmed;
};

struct FollowerLimits {
    // Timeout of one watch call; bounds the age of confirmations.
    std::chrono::milliseconds watchTimeout { 1000 };
    // Maximum delay after a failure and between checks of holdsWatch. The actual delay is randomized.
    std::chrono::milliseconds retryDelay { 300 };
    // Timeout of one request to peers or of one read from the platform.
    std::chrono::milliseconds requestTimeout { 2000 };
    // Number of consecutive unsuccessful requests to peers before the notes are read from the platform.
    int maxPeerAttempts { 3 };
    // Number of applied notes retained for peers that lag behind.
    size_t maxRecentNotes { 512 };
    // Number of notes retained that arrived before their predecessors.
    size_t maxPendingNotes { 256 };
};

// Keeps the FleetState of a daemon up to date. Notes are applied in order of generation without gaps, and the
// generation never decreases. A note that cannot be parsed or fails validation is not applied: the daemon stays at its
// generation and therefore stops dispatching.
class Follower : public std::enable_shared_from_this<Follower> {
public:
    static std::shared_ptr<Follower> create(const boost::asio::any_io_executor&, NoteLog, FollowerHooks, FollowerLimits = {});

    // Fetches the initial state from a peer and newer notes from the platform. If no peer responds, all notes are read
    // from the platform. Fails if neither responds before the deadline.
    Core::Task<bool> start(Core::Deadline, Core::Reason&);

    // Watches the platform whenever holdsWatch returns true, until stop is called.
    Core::Task<void> run();
    void stop();

    // Null until start has succeeded. The state does not change while a caller holds the pointer. A caller that retains
    // the pointer for long forces each update to copy the state.
    std::shared_ptr<const FleetState> state() const { return m_state; }
    uint64_t generation() const { return m_state ? m_state->generation : 0; }

    // Processes notes that were received from a peer or the platform, or accepted by this daemon.
    void receive(std::vector<AcceptedNote>);

    // Records that a peer has this generation. Missing notes are fetched in the background.
    void generationObserved(uint64_t generation);

    // Returns the notes after a generation, for a peer that lags behind; no value if some of them have been discarded.
    std::optional<std::vector<AcceptedNote>> notesAfter(uint64_t generation) const;

    // Waits until the generation is in force. Returns false if the deadline passes first.
    Core::Task<bool> waitFor(uint64_t generation, Core::Deadline);

private:
    Follower(const boost::asio::any_io_executor&, NoteLog, FollowerHooks, FollowerLimits);

    void replaceState(FleetState);
    void applyPendingNotes();
    void publishState(std::shared_ptr<const FleetState>);
    Core::Task<bool> readFromPlatform(Core::Deadline, Core::Reason&);
    Core::Task<bool> fetchFromPeers(Core::Reason&);
    // Keeps the follower alive until the task completes.
    static Core::Task<void> fetchInBackground(std::shared_ptr<Follower>);
    Core::Task<void> fetchMissingNotes();
    Core::Task<void> watchOnce();
    Core::Task<void> waitBeforeRetry();

    boost::asio::any_io_executor m_executor;
    NoteLog m_log;
    FollowerHooks m_hooks;
    FollowerLimits m_limits;
    Core::Signal m_changed;
    std::shared_ptr<const FleetState> m_state;
    // Received notes that are not applied yet because predecessors are missing, by generation.
    std::map<uint64_t, AcceptedNote> m_pendingNotes;
    std::deque<AcceptedNote> m_recentNotes;
    // Highest generation that is known to exist.
    uint64_t m_targetGeneration { 0 };
    bool m_isFetching { false };
    bool m_isStopped { false };
    // Generation of the note that failed to parse or validate. Prevents repeated log lines and fetches.
    uint64_t m_rejectedGeneration { 0 };
    // Store revision up to which notes were read; no value if they must be read again before watching.
    std::optional<Platform::Version> m_revision;
    // Newest generation read from the platform.
    uint64_t m_platformGeneration { 0 };
};

}
