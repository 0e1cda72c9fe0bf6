#include "OperatorJson.h"

namespace Operator {

using nlohmann::json;

HTTP::Response jsonResponse(unsigned status, const json& body)
{
    return { status, { { "Content-Type", "application/json" } }, body.dump(-1, ' ', false, json::error_handler_t::replace) };
}

HTTP::Response errorResponse(unsigned status, const std::string& code, const Core::Reason& reason)
{
    json error { { "code", code }, { "step", reason.step }, { "peer", reason.peer }, { "message", reason.message } };
    return jsonResponse(status, { { "error", error } });
}

HTTP::Response invalidNoteResponse(const std::vector<Intent::NoteError>& errors)
{
    json list = json::array();
    for (const Intent::NoteError& error : errors)
        list.push_back({ { "line", error.line }, { "field", error.field }, { "reason", error.reason } });
    return jsonResponse(422, { { "result", "invalid" }, { "errors", list } });
}

HTTP::Response rejectedSubmissionResponse(const Intent::AcceptResult& result)
{
    if (result.status == Intent::AcceptStatus::Invalid)
        return invalidNoteResponse(result.errors);
    if (result.status == Intent::AcceptStatus::Conflict) {
        json body { { "result", "conflict" }, { "generation", result.generation }, { "difference", nullptr } };
        if (result.difference)
            body["difference"] = printNote(*result.difference);
        return jsonResponse(409, body);
    }
    bool isUnknown = result.reason.kind == Core::FailureKind::OutcomeUnknown;
    return errorResponse(503, isUnknown ? "outcome_unknown" : "platform_unavailable", result.reason);
}

const char* toString(Membership::MemberState state)
{
    switch (state) {
    case Membership::MemberState::Alive:
        return "alive";
    case Membership::MemberState::Draining:
        return "draining";
    case Membership::MemberState::Suspect:
        return "suspect";
    case Membership::MemberState::Left:
        return "left";
    }
    return "unknown";
}

json toJson(const Membership::Member& member)
{
    return {
        { "host", member.host },
        { "incarnation", member.incarnation },
        { "failure_domain", member.failureDomain },
        { "region", member.region },
        { "state", toString(member.state) },
        { "generation", member.generation },
    };
}

json toJson(const MissingDaemon& missing)
{
    json body = toJson(missing.member);
    body["reason"] = missing.reason;
    return body;
}

json toJson(const Intent::AcceptedNote& note)
{
    return {
        { "generation", note.generation },
        { "identity", note.identity },
        { "author", note.author },
        { "accepted_at_unix_ms", note.acceptedAtUnixMs },
        { "text", note.text },
    };
}

}
