#include "IntentService.h"

#include "LibIntent/ApplyNote.h"
#include <charconv>

static const char* const notesAfterType = "notesAfter";
static const char* const fleetStateType = "fleetState";
static const char* const noteType = "note";

// Peers tried for notes or a state before falling back to the platform.
static constexpr size_t maxPeersTried = 3;
static constexpr std::chrono::milliseconds peerTimeout(800);

IntentService::IntentService(const boost::asio::any_io_executor& executor, Peer::Network& network, Platform::ObjectStore store,
    Intent::Freshness& freshness, Hooks hooks)
    : m_network(network)
    , m_freshness(freshness)
    , m_hooks(std::move(hooks))
    , m_log(store)
    , m_follower(Intent::Follower::create(executor, Intent::NoteLog(store), followerHooks()))
{
}

Intent::FollowerHooks IntentService::followerHooks()
{
    Intent::FollowerHooks hooks;
    hooks.fetchNotes = [this](uint64_t after, Core::Deadline deadline, Core::Reason& reason) { return fetchNotes(after, deadline, reason); };
    hooks.fetchState = [this](Core::Deadline deadline, Core::Reason& reason) { return fetchState(deadline, reason); };
    hooks.push = [this](const Intent::AcceptedNote& note) { pushNote(note); };
    hooks.stateChanged = [this](std::shared_ptr<const Intent::FleetState> state) {
        m_freshness.adopted(state->generation);
        m_hooks.stateChanged(std::move(state));
    };
    hooks.holdsWatch = m_hooks.holdsWatch;
    hooks.platformConfirmed = [this](uint64_t generation, Core::SteadyClock::time_point askedAt) {
        m_freshness.platformConfirmed(generation, askedAt);
    };
    return hooks;
}

// A state is encoded as its generation and the note that creates it from an empty state, separated by a newline.
static std::string encodeState(const Intent::FleetState& state)
{
    return std::to_string(state.generation) + "\n" + Intent::printNote(Intent::stateAsNote(state));
}

static std::optional<uint64_t> parseInteger(const std::string& body, size_t& end)
{
    uint64_t number = 0;
    std::from_chars_result parsed = std::from_chars(body.data(), body.data() + body.size(), number);
    if (parsed.ec != std::errc())
        return std::nullopt;
    end = static_cast<size_t>(parsed.ptr - body.data());
    return number;
}

static std::optional<Intent::FleetState> decodeState(const std::string& body)
{
    size_t end = 0;
    std::optional<uint64_t> generation = parseInteger(body, end);
    if (!generation || end >= body.size())
        return std::nullopt;
    std::vector<Intent::NoteError> errors;
    std::optional<Intent::Note> note = Intent::parseNote(std::string_view(body).substr(end + 1), errors);
    if (!note)
        return std::nullopt;
    Intent::FleetState state = Intent::stateFromNote(*note);
    state.generation = *generation;
    return state;
}

void IntentService::serve()
{
    m_network.onCall(notesAfterType, [this](Peer::Identity from, std::string body, Core::Reason& reason) -> Core::Task<std::optional<std::string>> {
        size_t end = 0;
        std::optional<uint64_t> after = parseInteger(body, end);
        std::optional<std::vector<Intent::AcceptedNote>> notes;
        if (after)
            notes = m_follower->notesAfter(*after);
        if (!notes) {
            reason = { Core::FailureKind::NotFound, "read notes", from.host, "invalid request, or the requested notes are no longer retained" };
            co_return std::nullopt;
        }
        co_return Intent::encodeNotes(*notes);
    });
    m_network.onCall(fleetStateType, [this](Peer::Identity from, std::string, Core::Reason& reason) -> Core::Task<std::optional<std::string>> {
        if (!state()) {
            reason = { Core::FailureKind::NotFound, "read state", from.host, "the daemon has no state yet" };
            co_return std::nullopt;
        }
        co_return encodeState(*state());
    });
    m_network.onNotice(noteType, [this](const Peer::Identity&, std::string body) {
        Core::Reason ignored;
        std::optional<std::vector<Intent::AcceptedNote>> notes = Intent::decodeNotes(body, ignored);
        if (notes)
            m_follower->receive(std::move(*notes));
    });
}

Core::Task<bool> IntentService::start(Core::Deadline deadline, Core::Reason& reason)
{
    co_return co_await m_follower->start(deadline, reason);
}

Core::Task<void> IntentService::run()
{
    co_await m_follower->run();
}

void IntentService::stop()
{
    m_follower->stop();
}

Core::Task<std::optional<std::string>> IntentService::callPeers(const char* type, std::string body, Core::Deadline deadline, Core::Reason& reason)
{
    reason = { Core::FailureKind::Unavailable, type, "peers", "no known peers" };
    std::vector<Membership::Member> peers = m_hooks.peers();
    if (peers.size() > maxPeersTried)
        peers.resize(maxPeersTried);
    for (const Membership::Member& peer : peers) {
        Core::Deadline peerDeadline = std::min(deadline, Core::Deadline::after(peerTimeout));
        std::optional<std::string> reply = co_await m_network.call(peer.peerAddress, type, body, peerDeadline, reason);
        if (reply)
            co_return reply;
    }
    co_return std::nullopt;
}

Core::Task<std::optional<std::vector<Intent::AcceptedNote>>> IntentService::fetchNotes(uint64_t after, Core::Deadline deadline, Core::Reason& reason)
{
    std::optional<std::string> reply = co_await callPeers(notesAfterType, std::to_string(after), deadline, reason);
    if (!reply)
        co_return std::nullopt;
    co_return Intent::decodeNotes(*reply, reason);
}

Core::Task<std::optional<Intent::FleetState>> IntentService::fetchState(Core::Deadline deadline, Core::Reason& reason)
{
    std::optional<std::string> reply = co_await callPeers(fleetStateType, "", deadline, reason);
    if (!reply)
        co_return std::nullopt;
    std::optional<Intent::FleetState> state = decodeState(*reply);
    if (!state)
        reason = { Core::FailureKind::Invalid, fleetStateType, "peer", "malformed state" };
    co_return state;
}

void IntentService::pushNote(const Intent::AcceptedNote& note)
{
    std::string body = Intent::encodeNotes({ note });
    for (const Membership::Member& peer : m_hooks.peers())
        m_network.notify(peer.peerAddress, noteType, body);
}
