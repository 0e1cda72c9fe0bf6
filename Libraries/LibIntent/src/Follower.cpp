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
        Core::Deadline askDeadline = std::min(deadline, Core::Deadline::after(m_limits.askTime));
        std::optional<FleetState> fromPeer = co_await m_hooks.fetchState(askDeadline, reason);
        if (fromPeer)
            adoptState(std::move(*fromPeer));
        askDeadline = std::min(deadline, Core::Deadline::after(m_limits.askTime));
        co_await readFromPlatform(askDeadline, reason);
        if (m_state)
            co_return true;
        if (deadline.hasPassed())
            break;
        co_await pause();
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
        co_await pause();
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
        if (!co_await readFromPlatform(Core::Deadline::after(m_limits.askTime), reason)) {
            Core::logEvent(notesUnavailable, reason.text());
            co_await pause();
        }
        co_return;
    }
    SteadyClock::time_point askedAt = SteadyClock::now();
    std::optional<NotesRead> read = co_await m_log.watch(*m_revision, Core::Deadline::after(m_limits.watchTime), reason);
    if (!read) {
        if (reason.kind == FailureKind::NotFound)
            m_revision.reset();
        Core::logEvent(notesUnavailable, reason.text());
        co_await pause();
        co_return;
    }
    m_revision = std::max(*m_revision, read->revision);
    if (!read->notes.empty())
        m_platformGeneration = std::max(m_platformGeneration, read->notes.back().generation);
    receive(std::move(read->notes));
    m_hooks.platformConfirmed(m_platformGeneration, askedAt);
}

Core::Task<bool> Follower::readFromPlatform(Core::Deadline deadline, Core::Reason& reason)
{
    SteadyClock::time_point askedAt = SteadyClock::now();
    uint64_t after = generation();
    std::optional<NotesRead> read = co_await m_log.readAfter(after, deadline, reason);
    if (!read)
        co_return false;
    if (!m_state)
        m_state = std::make_shared<FleetState>();
    m_revision = read->revision;
    m_platformGeneration = std::max(m_platformGeneration, read->notes.empty() ? after : read->notes.back().generation);
    receive(std::move(read->notes));
    m_hooks.platformConfirmed(m_platformGeneration, askedAt);
    co_return true;
}

void Follower::receive(std::vector<AcceptedNote> notes)
{
    for (AcceptedNote& note : notes) {
        if (note.generation <= generation())
            continue;
        m_wanted = std::max(m_wanted, note.generation);
        uint64_t key = note.generation;
        m_early.try_emplace(key, std::move(note));
    }
    adoptReceived();
    while (m_early.size() > m_limits.keptEarlyNotes)
        m_early.erase(std::prev(m_early.end()));
    generationHeard(m_wanted);
}

// Folds all received notes that follow the state without a gap. The state is copied once for all of them, or not at all
// if nobody else holds it: a copy at 160,000 budgets blocks the daemon for more than 100 ms.
void Follower::adoptReceived()
{
    m_early.erase(m_early.begin(), m_early.upper_bound(generation()));
    if (!m_state || m_early.empty() || m_early.begin()->first != generation() + 1)
        return;
    std::shared_ptr<FleetState> next = m_state.use_count() == 1 ? std::const_pointer_cast<FleetState>(m_state) : std::make_shared<FleetState>(*m_state);
    std::vector<AcceptedNote> adopted;
    while (!m_early.empty() && m_early.begin()->first == next->generation + 1) {
        AcceptedNote accepted = m_early.begin()->second;
        std::vector<NoteError> errors;
        std::optional<Note> note = parseNote(accepted.text, errors);
        if (note)
            checkNote(*next, *note, errors);
        if (!errors.empty()) {
            if (m_rejected != accepted.generation)
                Core::logEvent(noteRejected, "generation " + std::to_string(accepted.generation) + ": " + errors.front().text());
            m_rejected = accepted.generation;
            m_early.erase(m_early.begin());
            break;
        }
        applyNoteUnchecked(*next, *note);
        m_early.erase(m_early.begin());
        adopted.push_back(std::move(accepted));
    }
    if (adopted.empty())
        return;
    for (AcceptedNote& note : adopted) {
        m_hooks.push(note);
        m_kept.push_back(std::move(note));
    }
    while (m_kept.size() > m_limits.keptNotes)
        m_kept.pop_front();
    announce(next);
}

void Follower::adoptState(FleetState state)
{
    if (m_state && state.generation <= m_state->generation)
        return;
    // The kept notes would have a gap before the new state.
    m_kept.clear();
    announce(std::make_shared<FleetState>(std::move(state)));
    adoptReceived();
}

void Follower::announce(std::shared_ptr<const FleetState> state)
{
    m_state = std::move(state);
    m_hooks.stateChanged(m_state);
    m_changed.notifyAll();
}

void Follower::generationHeard(uint64_t heard)
{
    m_wanted = std::max(m_wanted, heard);
    // Fetching a rejected note again would not help and would load the platform from all daemons at once.
    bool isBlocked = m_rejected == generation() + 1;
    if (!m_state || m_wanted <= generation() || isBlocked || m_isFetching || m_isStopped)
        return;
    m_isFetching = true;
    Core::spawn(m_executor, "fetch notes", fetchInBackground(shared_from_this()));
}

Core::Task<void> Follower::fetchInBackground(std::shared_ptr<Follower> self)
{
    co_await self->fetchMissing();
}

Core::Task<void> Follower::fetchMissing()
{
    Core::Reason reason;
    for (int attempt = 0; attempt < m_limits.attemptsBeforePlatform && generation() < m_wanted && !m_isStopped;) {
        if (co_await askPeers(reason)) {
            attempt = 0;
            continue;
        }
        ++attempt;
        co_await pause();
    }
    if (generation() < m_wanted && !m_isStopped) {
        Core::logEvent(notesUnavailable, "no peer has generation " + std::to_string(m_wanted) + "; reading the platform: " + reason.text());
        co_await readFromPlatform(Core::Deadline::after(m_limits.askTime), reason);
    }
    // A generation that neither the peers nor the platform have is forgotten until it is heard of again.
    m_wanted = generation();
    m_isFetching = false;
}

// Returns whether the state has advanced.
Core::Task<bool> Follower::askPeers(Core::Reason& reason)
{
    uint64_t before = generation();
    std::optional<std::vector<AcceptedNote>> notes = co_await m_hooks.fetchNotes(before, Core::Deadline::after(m_limits.askTime), reason);
    if (notes) {
        receive(std::move(*notes));
    } else if (reason.kind == FailureKind::NotFound) {
        std::optional<FleetState> state = co_await m_hooks.fetchState(Core::Deadline::after(m_limits.askTime), reason);
        if (state)
            adoptState(std::move(*state));
    }
    co_return generation() > before;
}

Core::Task<void> Follower::pause()
{
    uint64_t half = static_cast<uint64_t>(m_limits.pause.count()) / 2;
    co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(half + Core::randomBelow(half + 1))));
}

std::optional<std::vector<AcceptedNote>> Follower::notesAfter(uint64_t after) const
{
    if (after >= generation())
        return std::vector<AcceptedNote> {};
    if (m_kept.empty() || m_kept.front().generation > after + 1)
        return std::nullopt;
    return std::vector<AcceptedNote>(m_kept.begin() + static_cast<ptrdiff_t>(after + 1 - m_kept.front().generation), m_kept.end());
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
