#include "OperatorFixture.h"

#include <nlohmann/json.hpp>

using namespace Operator;
using nlohmann::json;

namespace {

class RecordingWriter : public HTTP::ResponseWriter {
public:
    HTTP::Response response;

    Core::Task<bool> send(HTTP::Response sent, Core::Reason&) override
    {
        response = std::move(sent);
        co_return true;
    }
    Core::Task<bool> startStream(unsigned, HTTP::Headers, Core::Reason&) override { co_return false; }
    Core::Task<bool> writeChunk(std::string_view, Core::Reason&) override { co_return false; }
    Core::Task<bool> finishStream(Core::Reason&) override { co_return false; }
    void abort() override { }
    bool hasStarted() const override { return false; }
};

struct Fixture : OperatorFixture {
    static Core::Task<bool> run(OperatorApi& api, HTTP::Request request, HTTP::ResponseWriter& writer)
    {
        co_await api.handle(std::move(request), writer);
        co_return true;
    }

    json call(const std::string& method, const std::string& target, const json& body, unsigned expectedStatus, const std::string& key = "secret")
    {
        RecordingWriter writer;
        HTTP::Request request { method, target, { { "authorization", "Bearer " + key } }, body.is_null() ? "" : body.dump() };
        runTask(context, run(api, std::move(request), writer));
        cr_assert_eq(writer.response.status, expectedStatus, "%s", writer.response.body.c_str());
        return json::parse(writer.response.body);
    }

    json submit(const std::string& identity, const std::string& note, unsigned expectedStatus)
    {
        return call("POST", "/operator/notes", { { "identity", identity }, { "note", note } }, expectedStatus);
    }
};

}

// All paths must require the key, and if no key is configured all requests must be rejected.
Test(OperatorApi, allPathsRequireKey)
{
    Fixture fixture;
    for (const char* path : { "/operator/notes", "/operator/check", "/operator/state", "/operator/history", "/operator/status", "/operator/audit", "/operator/none" })
        fixture.call("GET", path, nullptr, 401, "wrong");
    fixture.api = OperatorApi({ "", std::chrono::milliseconds(1), std::chrono::milliseconds(1) }, fixture.hooks());
    fixture.call("GET", "/operator/state", nullptr, 401, "");
    cr_assert_eq(fixture.store.counters.lists, 0);
}

// "in_force" must not be reported while a daemon still has an older generation.
Test(OperatorApi, waitsForAllDaemons)
{
    Fixture fixture;
    fixture.members = { memberWith("h1", Membership::MemberState::Alive, 0), memberWith("h2", Membership::MemberState::Alive, 0) };
    fixture.onMembersCall = [&] {
        if (fixture.membersCallCount == 2)
            fixture.members[0].generation = 1;
        if (fixture.membersCallCount == 4)
            fixture.members[1].generation = 1;
    };
    json reply = fixture.submit("one", initialNote, 200);
    cr_assert_eq(reply["result"], "in_force");
    cr_assert_eq(reply["generation"], 1);
    cr_assert_eq(fixture.membersCallCount, 4);
    cr_assert_eq(fixture.submit("one", initialNote, 200)["already_accepted"], true);
}

// An unresponsive daemon must not block the request forever and must be listed as missing. Daemons that have left or were
// withdrawn must not be listed.
Test(OperatorApi, listsMissingDaemons)
{
    Fixture fixture;
    fixture.members = { memberWith("current", Membership::MemberState::Alive, 1), memberWith("behind", Membership::MemberState::Alive, 0),
        memberWith("silent", Membership::MemberState::Suspect, 0), memberWith("draining", Membership::MemberState::Draining, 0),
        memberWith("left", Membership::MemberState::Left, 0), memberWith("destroyed", Membership::MemberState::Suspect, 0) };
    json reply = fixture.submit("one", initialNote + "withdrawn: {hosts: [destroyed]}\n", 202);
    cr_assert_eq(reply["result"], "pending");
    cr_assert_eq(reply["missing"].size(), 3u);
    cr_assert_eq(reply["missing"][0]["host"], "behind");
    cr_assert_eq(reply["missing"][1]["host"], "silent");
    cr_assert_neq(reply["missing"][1]["reason"].get<std::string>().find("paused or cut off"), std::string::npos);
    cr_assert_eq(reply["missing"][2]["host"], "draining");
    cr_assert_eq(fixture.call("GET", "/operator/status", nullptr, 200)["missing"].size(), 3u);
}

// The status and body of an error must show whether anything was changed.
Test(OperatorApi, errorsAreSpecific)
{
    Fixture fixture;
    fixture.submit("one", initialNote, 200);
    json conflict = fixture.submit("two", noteText(0, "bea", "added: {workspaces: [{name: x}]}\n"), 409);
    cr_assert_eq(conflict["generation"], 1);
    cr_assert_eq(parsed(conflict["difference"]).added.workspaces.size(), 2u);
    json invalid = fixture.submit("three", noteText(1, "bea", "added:\n  workspaces:\n    - {name: orders}\n"), 422);
    cr_assert_eq(invalid["errors"][0]["line"], 4);
    fixture.call("POST", "/operator/notes", { { "note", "x" } }, 400);
    fixture.call("POST", "/operator/notes", nullptr, 400);
    fixture.call("GET", "/operator/notes", nullptr, 405);
    fixture.call("GET", "/operator/none", nullptr, 404);
    fixture.call("GET", "/operator/history?limit=x", nullptr, 400);
    fixture.store.faults.isDown = true;
    cr_assert_eq(fixture.submit("four", noteText(1, "bea", "added: {workspaces: [{name: x}]}\n"), 503)["error"]["code"], "platform_unavailable");
    fixture.call("GET", "/operator/history", nullptr, 503);
    cr_assert_eq(fixture.store.objects().size(), 1u);
}

// A check must not write, and the state and history must contain the accepted note.
Test(OperatorApi, checkStateAndHistory)
{
    Fixture fixture;
    json valid = fixture.call("POST", "/operator/check", { { "note", initialNote } }, 200);
    cr_assert_eq(parsed(valid["changes"]).added.endpoints.size(), 2u);
    cr_assert(fixture.store.objects().empty());
    fixture.submit("one", initialNote, 200);
    fixture.call("POST", "/operator/check", { { "note", initialNote } }, 409);
    fixture.call("POST", "/operator/check", { { "note", "x" } }, 422);
    json state = fixture.call("GET", "/operator/state", nullptr, 200);
    cr_assert(Intent::stateFromNote(parsed(state["note"])) == initialState());
    json history = fixture.call("GET", "/operator/history?after=0&limit=5", nullptr, 200);
    cr_assert_eq(history["notes"].at(0)["text"], initialNote);
    cr_assert_eq(history["notes"].at(0)["identity"], "one");
    fixture.call("GET", "/operator/audit", nullptr, 200);
    fixture.state = nullptr;
    fixture.call("GET", "/operator/state", nullptr, 503);
    fixture.submit("two", initialNote, 503);
}
