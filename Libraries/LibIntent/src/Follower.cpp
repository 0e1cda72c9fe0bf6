#include "LibIntent/Follower.h"

#include "LibCore/EventLog.h"
#include "LibCore/Random.h"
#include "LibIntent/ApplyNote.h"
#include <algorithm>

namespace Intent {

using Core::FailureKind;
using Core::SteadyClock;

static constexpr Core::Event noteRejected { 1301, Core::Severity::Error, "note_rejected" };
static constexpr Core::Event notesUnavailable { 1302, Core::Severity::Warning, "notes_unavailable" };

std::shared_ptr<Follower> Follower::create(const boost::asio::any_io_executor& executor, NoteLog log, FollowerHooks hooks, FollowerLimits limits)
{
    return std::shared_ptr<Follower>(new Follower(executor, std::move(log), std::move(hooks), limits));
}

Follower::Follower(const boost::asio::any_io_executor& executor, NoteLog log, FollowerHooks hooks, FollowerLimits limits)
    : m_executor(executor)
    , m_log(std::move(log))
    , m_hooks(std::move(hooks))
    , m_limits(limits)
    , m_changed(executor)
{
}

Core::Task<bool> Follower::start(Core::Deadline deadline, Core::Reason& reason)
{
    std::shared_ptr<Follower> self = shared_from_this();
    while (!m_isStopped) {
        Core::Deadline requestDeadline = std::min(deadline, Core::Deadline::after(m_limits.requestTimeout));
        std::optional<FleetState> fromPeer = co_await m_hooks.fetchState(requestDeadline, reason);
        if (fromPeer)
            replaceState(std::move(*fromPeer));
        requestDeadline = std::min(deadline, Core::Deadline::after(m_limits.requestTimeout));
        co_await readFromPlatform(requestDeadline, reason);
        if (m_state)
            co_return true;
        if (deadline.hasPassed())
            break;
        co_await waitBeforeRetry();
    }
    co_return false;
}

Core::Task<void> Follower::run()
{
    std::shared_ptr<Follower> self = shared_from_this();
    while (!m_isStopped) {
        if (m_hooks.holdsWatch()) {
            co_await watchOnce();
            continue;
        }
        m_revision.reset();
        co_await waitBeforeRetry();
    }
}

void Follower::stop()
{
    m_isStopped = true;
}

Core::Task<void> Follower::watchOnce()
{
    Core::Reason reason;
    if (!m_revision) {
        if (!co_await readFromPlatform(Core::Deadline::after(m_limits.requestTimeout), reason)) {
            Core::logEvent(notesUnavailable, reason.text());
            co_await waitBeforeRetry();
        }
        co_return;
    }
    SteadyClock::time_point requestSentAt = SteadyClock::now();
    std::optional<NoteBatch> read = co_await m_log.watch(*m_revision, Core::Deadline::after(m_limits.watchTimeout), reason);
    if (!read) {
        if (reason.kind == FailureKind::NotFound)
            m_revision.reset();
        Core::logEvent(notesUnavailable, reason.text());
        co_await waitBeforeRetry();
        co_return;
    }
    m_revision = std::max(*m_revision, read->revision);
    if (!read->notes.empty())
        m_platformGeneration = std::max(m_platformGeneration, read->notes.back().generation);
    receive(std::move(read->notes));
    m_hooks.platformConfirmed(m_platformGeneration, requestSentAt);
}

Core::Task<bool> Follower::readFromPlatform(Core::Deadline deadline, Core::Reason& reason)
{
    SteadyClock::time_point requestSentAt = SteadyClock::now();
    uint64_t after = generation();
    std::optional<NoteBatch> read = co_await m_log.readAfter(after, deadline, reason);
    if (!read)
        co_return false;
    if (!m_state)
        m_state = std::make_shared<FleetState>();
    m_revision = read->revision;
    m_platformGeneration = std::max(m_platformGeneration, read->notes.empty() ? after : read->notes.back().generation);
    receive(std::move(read->notes));
    m_hooks.platformConfirmed(m_platformGeneration, requestSentAt);
    co_return true;
}

void Follower::receive(std::vector<AcceptedNote> notes)
{
    for (AcceptedNote& note : notes) {
        if (note.generation <= generation())
            continue;
        m_targetGeneration = std::max(m_targetGeneration, note.generation);
        uint64_t key = note.generation;
        m_pendingNotes.try_emplace(key, std::move(note));
    }
    applyPendingNotes();
    while (m_pendingNotes.size() > m_limits.maxPendingNotes)
        m_pendingNotes.erase(std::prev(m_pendingNotes.end()));
    generationObserved(m_targetGeneration);
}

// Applies all pending notes that follow the state without a gap. The state is copied at most once, and not at all if
// there is no other owner, because copying 160,000 budgets blocks the daemon for more than 100 ms.
void Follower::applyPendingNotes()
{
    m_pendingNotes.erase(m_pendingNotes.begin(), m_pendingNotes.upper_bound(generation()));
    if (!m_state || m_pendingNotes.empty() || m_pendingNotes.begin()->first != generation() + 1)
        return;
    std::shared_ptr<FleetState> next = m_state.use_count() == 1 ? std::const_pointer_cast<FleetState>(m_state) : std::make_shared<FleetState>(*m_state);
    std::vector<AcceptedNote> applied;
    while (!m_pendingNotes.empty() && m_pendingNotes.begin()->first == next->generation + 1) {
        AcceptedNote accepted = m_pendingNotes.begin()->second;
        std::vector<NoteError> errors;
        std::optional<Note> note = parseNote(accepted.text, errors);
        if (note)
            checkNote(*next, *note, errors);
        if (!errors.empty()) {
            if (m_rejectedGeneration != accepted.generation)
                Core::logEvent(noteRejected, "generation " + std::to_string(accepted.generation) + ": " + errors.front().text());
            m_rejectedGeneration = accepted.generation;
            m_pendingNotes.erase(m_pendingNotes.begin());
            break;
        }
        applyNoteUnchecked(*next, *note);
        m_pendingNotes.erase(m_pendingNotes.begin());
        applied.push_back(std::move(accepted));
    }
    if (applied.empty())
        return;
    for (AcceptedNote& note : applied) {
        m_hooks.push(note);
        m_recentNotes.push_back(std::move(note));
    }
    while (m_recentNotes.size() > m_limits.maxRecentNotes)
        m_recentNotes.pop_front();
    publishState(next);
}

void Follower::replaceState(FleetState state)
{
    if (m_state && state.generation <= m_state->generation)
        return;
    // The retained notes no longer connect to the new state.
    m_recentNotes.clear();
    publishState(std::make_shared<FleetState>(std::move(state)));
    applyPendingNotes();
}

void Follower::publishState(std::shared_ptr<const FleetState> state)
{
    m_state = std::move(state);
    m_hooks.stateChanged(m_state);
    m_changed.notifyAll();
}

void Follower::generationObserved(uint64_t observed)
{
    m_targetGeneration = std::max(m_targetGeneration, observed);
    // Fetching a rejected note again cannot succeed and would cause load on the platform from all daemons at once.
    bool isNextNoteRejected = m_rejectedGeneration == generation() + 1;
    if (!m_state || m_targetGeneration <= generation() || isNextNoteRejected || m_isFetching || m_isStopped)
        return;
    m_isFetching = true;
    Core::spawn(m_executor, "fetch notes", fetchInBackground(shared_from_this()));
}

Core::Task<void> Follower::fetchInBackground(std::shared_ptr<Follower> self)
{
    co_await self->fetchMissingNotes();
}

Core::Task<void> Follower::fetchMissingNotes()
{
    Core::Reason reason;
    for (int attempt = 0; attempt < m_limits.maxPeerAttempts && generation() < m_targetGeneration && !m_isStopped;) {
        if (co_await fetchFromPeers(reason)) {
            attempt = 0;
            continue;
        }
        ++attempt;
        co_await waitBeforeRetry();
    }
    if (generation() < m_targetGeneration && !m_isStopped) {
        Core::logEvent(notesUnavailable, "no peer provided generation " + std::to_string(m_targetGeneration) + "; reading from the platform: " + reason.text());
        co_await readFromPlatform(Core::Deadline::after(m_limits.requestTimeout), reason);
    }
    // A generation that neither the peers nor the platform have is ignored until it is observed again.
    m_targetGeneration = generation();
    m_isFetching = false;
}

// Returns true if the generation has increased.
Core::Task<bool> Follower::fetchFromPeers(Core::Reason& reason)
{
    uint64_t before = generation();
    std::optional<std::vector<AcceptedNote>> notes = co_await m_hooks.fetchNotes(before, Core::Deadline::after(m_limits.requestTimeout), reason);
    if (notes) {
        receive(std::move(*notes));
    } else if (reason.kind == FailureKind::NotFound) {
        std::optional<FleetState> state = co_await m_hooks.fetchState(Core::Deadline::after(m_limits.requestTimeout), reason);
        if (state)
            replaceState(std::move(*state));
    }
    co_return generation() > before;
}

Core::Task<void> Follower::waitBeforeRetry()
{
    uint64_t half = static_cast<uint64_t>(m_limits.retryDelay.count()) / 2;
    co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(half + Core::randomBelow(half + 1))));
}

std::optional<std::vector<AcceptedNote>> Follower::notesAfter(uint64_t after) const
{
    if (after >= generation())
        return std::vector<AcceptedNote> {};
    if (m_recentNotes.empty() || m_recentNotes.front().generation > after + 1)
        return std::nullopt;
    return std::vector<AcceptedNote>(m_recentNotes.begin() + static_cast<ptrdiff_t>(after + 1 - m_recentNotes.front().generation), m_recentNotes.end());
}

Core::Task<bool> Follower::waitFor(uint64_t wanted, Core::Deadline deadline)
{
    std::shared_ptr<Follower> self = shared_from_this();
    while (generation() < wanted) {
        if (!co_await m_changed.wait(deadline))
            co_return generation() >= wanted;
    }
    co_return true;
}

}
