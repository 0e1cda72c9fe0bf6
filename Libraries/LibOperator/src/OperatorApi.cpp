#include "LibOperator/OperatorApi.h"

#include "LibCore/Hash.h"
#include "LibIntent/ApplyNote.h"
#include "OperatorJson.h"
#include <algorithm>
#include <charconv>

namespace Operator {

using Core::FailureKind;
using nlohmann::json;

static constexpr size_t maxHistoryNotes = 1000;
static constexpr size_t maxIdentityBytes = 64;

static HTTP::Response badRequestResponse(const std::string& step, const std::string& message)
{
    return errorResponse(400, "bad_request", { FailureKind::Invalid, step, "operator", message });
}

static HTTP::Response noStateResponse()
{
    return errorResponse(503, "stale_intent", { FailureKind::Unavailable, "read state", "daemon", "the daemon has no state yet" });
}

// Returns a string member of a JSON object, or nullopt if it is absent or not a string.
static std::optional<std::string> stringMember(const json& object, const char* name)
{
    if (!object.is_object() || !object.contains(name) || !object[name].is_string())
        return std::nullopt;
    return object[name].get<std::string>();
}

static std::optional<uint64_t> unsignedParameter(const std::string& target, const char* name, uint64_t defaultValue)
{
    std::optional<std::string> text = HTTP::queryParameter(target, name);
    if (!text)
        return defaultValue;
    uint64_t number = 0;
    std::from_chars_result parsed = std::from_chars(text->data(), text->data() + text->size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != text->data() + text->size() || text->empty())
        return std::nullopt;
    return number;
}

OperatorApi::OperatorApi(OperatorSettings settings, OperatorHooks hooks)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
{
}

Core::Task<void> OperatorApi::handle(HTTP::Request request, HTTP::ResponseWriter& writer)
{
    HTTP::Response response = co_await respond(request);
    Core::Reason reason;
    co_await writer.send(std::move(response), reason);
}

bool OperatorApi::isAuthorized(const HTTP::Request& request) const
{
    static constexpr std::string_view scheme = "Bearer ";
    std::optional<std::string> header = HTTP::findHeader(request.headers, "Authorization");
    if (m_settings.keySha256.empty() || !header || !header->starts_with(scheme))
        return false;
    return Core::constantTimeEqual(Core::sha256Hex(std::string_view(*header).substr(scheme.size())), m_settings.keySha256);
}

Core::Task<HTTP::Response> OperatorApi::respond(const HTTP::Request& request)
{
    if (!isAuthorized(request))
        co_return errorResponse(401, "unauthorized", { FailureKind::Refused, "authorize", "operator", "the operator key is missing or wrong" });
    std::string path = HTTP::pathOf(request.target);
    bool isPost = path == "/operator/notes" || path == "/operator/check";
    bool isGet = path == "/operator/state" || path == "/operator/history" || path == "/operator/status" || path == "/operator/audit";
    if (!isPost && !isGet)
        co_return errorResponse(404, "not_found", { FailureKind::NotFound, "find path", "operator", "unknown path " + path });
    if (request.method != (isPost ? "POST" : "GET"))
        co_return errorResponse(405, "bad_request", { FailureKind::Invalid, "check method", "operator", path + " only accepts " + (isPost ? "POST" : "GET") });
    if (path == "/operator/notes")
        co_return co_await postNote(request.body);
    if (path == "/operator/check")
        co_return postCheck(request.body);
    if (path == "/operator/state")
        co_return getState();
    if (path == "/operator/status")
        co_return getStatus();
    if (path == "/operator/history")
        co_return co_await getHistory(request.target);
    co_return co_await getAudit();
}

Core::Task<HTTP::Response> OperatorApi::postNote(std::string body)
{
    json object = json::parse(body, nullptr, false);
    std::optional<std::string> note = stringMember(object, "note");
    std::optional<std::string> identity = stringMember(object, "identity");
    if (!note || !identity || identity->empty() || identity->size() > maxIdentityBytes)
        co_return badRequestResponse("read submission", "expected a JSON object with the strings note and identity (1 to 64 bytes)");
    if (!m_hooks.state())
        co_return noStateResponse();
    Intent::AcceptResult result = co_await m_hooks.acceptNote({ *identity, *note });
    if (result.status != Intent::AcceptStatus::Accepted && result.status != Intent::AcceptStatus::AlreadyAccepted)
        co_return rejectedSubmissionResponse(result);
    co_return co_await waitUntilInForce(std::move(result), Core::Deadline::after(m_settings.inForceTimeout));
}

Core::Task<HTTP::Response> OperatorApi::waitUntilInForce(Intent::AcceptResult result, Core::Deadline deadline)
{
    std::vector<MissingDaemon> missingDaemons = missing(result.generation);
    while (!missingDaemons.empty() && !deadline.hasPassed()) {
        co_await Core::sleepUntil(std::min(deadline, Core::Deadline::after(m_settings.inForcePollInterval)));
        missingDaemons = missing(result.generation);
    }
    json body {
        { "result", missingDaemons.empty() ? "in_force" : "pending" },
        { "generation", result.generation },
        { "already_accepted", result.status == Intent::AcceptStatus::AlreadyAccepted },
        { "missing", json::array() },
    };
    for (const MissingDaemon& missingDaemon : missingDaemons)
        body["missing"].push_back(toJson(missingDaemon));
    co_return jsonResponse(missingDaemons.empty() ? 200 : 202, body);
}

std::vector<MissingDaemon> OperatorApi::missing(uint64_t generation) const
{
    std::shared_ptr<const Intent::FleetState> state = m_hooks.state();
    std::vector<MissingDaemon> missingDaemons;
    for (const Membership::Member& member : m_hooks.members()) {
        bool isExcluded = member.state == Membership::MemberState::Left || (state && state->withdrawnHosts.contains(member.host));
        if (isExcluded || member.generation >= generation)
            continue;
        std::string reason = "has generation " + std::to_string(member.generation) + " in force";
        if (member.state == Membership::MemberState::Suspect)
            reason = "is not heard of and may be paused or cut off; it last had generation " + std::to_string(member.generation) + " in force";
        else if (member.state == Membership::MemberState::Draining)
            reason = "is draining and has generation " + std::to_string(member.generation) + " in force";
        missingDaemons.push_back({ member, reason });
    }
    return missingDaemons;
}

HTTP::Response OperatorApi::postCheck(const std::string& body) const
{
    json object = json::parse(body, nullptr, false);
    std::optional<std::string> text = stringMember(object, "note");
    if (!text)
        return badRequestResponse("read note", "expected a JSON object with the string note");
    std::shared_ptr<const Intent::FleetState> state = m_hooks.state();
    if (!state)
        return noStateResponse();
    std::vector<Intent::NoteError> errors;
    Intent::NoteLines lines;
    std::optional<Intent::Note> note = Intent::parseNote(*text, errors, &lines);
    if (!note)
        return invalidNoteResponse(errors);
    if (note->fromGeneration < state->generation) {
        Intent::AcceptResult conflict;
        conflict.status = Intent::AcceptStatus::Conflict;
        conflict.generation = state->generation;
        conflict.difference = m_hooks.changesSince(note->fromGeneration);
        return rejectedSubmissionResponse(conflict);
    }
    std::optional<Intent::FleetState> next = Intent::applyNote(*state, *note, errors);
    if (!next) {
        Intent::addLines(errors, lines);
        return invalidNoteResponse(errors);
    }
    return jsonResponse(200, { { "result", "valid" }, { "generation", state->generation }, { "changes", printNote(Intent::diff(*state, *next)) } });
}

HTTP::Response OperatorApi::getState() const
{
    // FIXME: Send the state incrementally. Formatting 160,000 budgets with their keys and top-ups as YAML blocks the daemon
    // for about 10 s.
    std::shared_ptr<const Intent::FleetState> state = m_hooks.state();
    if (!state)
        return noStateResponse();
    return jsonResponse(200, { { "generation", state->generation }, { "note", printNote(Intent::stateAsNote(*state)) } });
}

HTTP::Response OperatorApi::getStatus() const
{
    std::shared_ptr<const Intent::FleetState> state = m_hooks.state();
    if (!state)
        return noStateResponse();
    json members = json::array();
    for (const Membership::Member& member : m_hooks.members())
        members.push_back(toJson(member));
    json missingDaemons = json::array();
    for (const MissingDaemon& missingDaemon : missing(state->generation))
        missingDaemons.push_back(toJson(missingDaemon));
    return jsonResponse(200, { { "generation", state->generation }, { "freshness", m_hooks.freshness() }, { "members", members }, { "missing", missingDaemons } });
}

Core::Task<HTTP::Response> OperatorApi::getHistory(std::string target)
{
    std::optional<uint64_t> after = unsignedParameter(target, "after", 0);
    std::optional<uint64_t> limit = unsignedParameter(target, "limit", maxHistoryNotes);
    if (!after || !limit || *limit == 0)
        co_return badRequestResponse("read query", "after and limit must be unsigned integers, and limit at least 1");
    Core::Reason reason;
    std::optional<std::vector<Intent::AcceptedNote>> notes = co_await m_hooks.history(*after, std::min<size_t>(*limit, maxHistoryNotes), reason);
    if (!notes)
        co_return errorResponse(503, "platform_unavailable", reason);
    json list = json::array();
    for (const Intent::AcceptedNote& note : *notes)
        list.push_back(toJson(note));
    co_return jsonResponse(200, { { "notes", list } });
}

Core::Task<HTTP::Response> OperatorApi::getAudit()
{
    Core::Reason reason;
    std::optional<std::string> audit = co_await m_hooks.audit(reason);
    if (!audit)
        co_return errorResponse(503, "platform_unavailable", reason);
    co_return HTTP::Response { 200, { { "Content-Type", "application/json" } }, std::move(*audit) };
}

}
