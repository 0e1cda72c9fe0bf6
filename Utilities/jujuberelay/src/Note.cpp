#include "LibCore/Random.h"
#include "LibIntent/ApplyNote.h"
#include "OperatorClient.h"
#include <cstdio>
#include <cstdlib>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

DEFINE_string(state, "", "note check|diff: file with the state as printed by the state command, instead of a daemon");
DEFINE_string(note_identity, "", "note apply: identity of an earlier submission of the same note, to learn its outcome");

using nlohmann::json;

namespace Commands {

static void printErrors(const std::string& path, const json& errors)
{
    for (const json& error : errors) {
        Intent::NoteError noteError { std::atoi(memberText(error, "line").c_str()), memberText(error, "field"), memberText(error, "reason") };
        std::fprintf(stderr, "%s: %s\n", path.c_str(), noteError.text().c_str());
    }
}

static json errorsAsJson(const std::vector<Intent::NoteError>& errors)
{
    json list = json::array();
    for (const Intent::NoteError& error : errors)
        list.push_back({ { "line", error.line }, { "field", error.field }, { "reason", error.reason } });
    return { { "result", "invalid" }, { "errors", list } };
}

// Produces the reply that a daemon with the state in the --state file would send to a check.
static std::optional<json> checkOffline(const std::string& text, unsigned& status, int& exitCode)
{
    exitCode = InvalidInput;
    std::optional<std::string> stateText = readFile(FLAGS_state);
    if (!stateText)
        return std::nullopt;
    std::vector<Intent::NoteError> errors;
    std::optional<Intent::Note> stateNote = Intent::parseStateNote(*stateText, errors);
    if (!stateNote) {
        printErrors(FLAGS_state, errorsAsJson(errors)["errors"]);
        return std::nullopt;
    }
    exitCode = Success;
    Intent::FleetState state = Intent::stateFromNote(*stateNote);
    Intent::NoteLines lines;
    std::optional<Intent::Note> note = Intent::parseNote(text, errors, &lines);
    std::optional<Intent::FleetState> next = note ? Intent::applyNote(state, *note, errors) : std::nullopt;
    Intent::addLines(errors, lines);
    status = next ? 200 : 422;
    if (!next)
        return errorsAsJson(errors);
    return json { { "result", "valid" }, { "generation", state.generation }, { "changes", Intent::printNote(Intent::diff(state, *next)) } };
}

static int printMissing(const json& reply)
{
    std::printf("generation %s is accepted, but not yet in force everywhere\n", memberText(reply, "generation").c_str());
    std::vector<std::vector<std::string>> rows { { "HOST", "FAILURE DOMAIN", "STATE", "REASON" } };
    for (const json& missing : memberList(reply, "missing"))
        rows.push_back({ memberText(missing, "host"), memberText(missing, "failure_domain"), memberText(missing, "state"), memberText(missing, "reason") });
    printTable(rows);
    return Pending;
}

static int printConflict(const json& reply)
{
    std::fprintf(stderr, "jujuberelay: the fleet is at generation %s; nothing was changed\n", memberText(reply, "generation").c_str());
    if (reply.contains("difference") && reply["difference"].is_string())
        std::printf("%s", reply["difference"].get<std::string>().c_str());
    return Conflict;
}

static int exitCodeOf(unsigned status)
{
    switch (status) {
    case 200:
        return Success;
    case 202:
        return Pending;
    case 409:
        return Conflict;
    case 422:
        return InvalidInput;
    default:
        return Unreachable;
    }
}

static int printReply(const std::string& action, const std::string& path, unsigned status, const json& reply)
{
    if (status == 202)
        return printMissing(reply);
    if (status == 409)
        return printConflict(reply);
    if (status == 422)
        printErrors(path, memberList(reply, "errors"));
    else if (status == 200 && action == "diff")
        std::printf("%s", memberText(reply, "changes").c_str());
    else if (status == 200 && action == "check")
        std::printf("valid against generation %s\n", memberText(reply, "generation").c_str());
    else if (status == 200)
        std::printf("generation %s is in force everywhere%s\n", memberText(reply, "generation").c_str(), memberText(reply, "already_accepted") == "true" ? " (it was accepted already)" : "");
    else
        std::fprintf(stderr, "jujuberelay: unexpected reply with status %u: %s\n", status, reply.dump().c_str());
    return exitCodeOf(status);
}

int note(const Arguments& arguments)
{
    std::string action = arguments.size() == 3 ? arguments[1] : "";
    if (action != "check" && action != "diff" && action != "apply") {
        std::fputs("usage: jujuberelay note check|diff|apply FILE\n", stderr);
        return InvalidInput;
    }
    const std::string& path = arguments[2];
    int exitCode = InvalidInput;
    std::optional<bool> isJson = isJsonOutput(exitCode);
    std::optional<std::string> text = readFile(path);
    if (!isJson || !text)
        return InvalidInput;
    unsigned status = 0;
    std::optional<json> reply;
    if (action != "apply" && !FLAGS_state.empty()) {
        reply = checkOffline(*text, status, exitCode);
    } else {
        OperatorClient client;
        if (!client.initialise(exitCode))
            return exitCode;
        json body { { "note", *text } };
        std::string identity = FLAGS_note_identity.empty() ? Core::randomIdentifier() : FLAGS_note_identity;
        if (action == "apply")
            body["identity"] = identity;
        std::string encoded = body.dump(-1, ' ', false, json::error_handler_t::replace);
        reply = client.call("POST", action == "apply" ? "/operator/notes" : "/operator/check", encoded, status, exitCode);
        if (!reply && action == "apply" && exitCode == Unreachable)
            std::fprintf(stderr, "jujuberelay: to learn the outcome, repeat the command with --note_identity=%s\n", identity.c_str());
    }
    if (!reply)
        return exitCode;
    if (!*isJson)
        return printReply(action, path, status, *reply);
    std::printf("%s\n", reply->dump(2).c_str());
    return exitCodeOf(status);
}

}
