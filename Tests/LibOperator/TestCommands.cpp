#include "OperatorFixture.h"

#include "LibHTTP/Server.h"
#include <atomic>
#include <cstdio>
#include <fstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace {

struct CommandResult {
    int exitCode { -1 };
    // Standard output and standard error.
    std::string output;
};

// Serves the operator API on loopback and runs the operator command line against it.
struct Fixture : OperatorFixture {
    HTTP::Server server { context.get_executor(), [this](HTTP::Request request, HTTP::ResponseWriter& writer) { return api.handle(std::move(request), writer); } };
    std::string folder;
    std::string flags;

    Fixture()
    {
        char pattern[] = "/tmp/jujuberelay-test-XXXXXX";
        folder = mkdtemp(pattern);
        Core::Reason reason;
        Core::Address address = server.listen({ "127.0.0.1", 0 }, reason).value();
        flags = " --daemon=" + address.text() + " --operator_key_file=" + file("key", "secret\n");
    }
    ~Fixture()
    {
        for (const char* name : { "key", "note", "state" })
            unlink((folder + "/" + name).c_str());
        rmdir(folder.c_str());
    }

    std::string file(const std::string& name, const std::string& content) const
    {
        std::ofstream(folder + "/" + name) << content;
        return folder + "/" + name;
    }

    CommandResult command(const std::string& arguments)
    {
        CommandResult result;
        std::atomic<bool> isDone { false };
        std::thread thread([&] {
            FILE* pipe = popen((std::string(JUJUBERELAY_PROGRAM) + " " + arguments + " 2>&1").c_str(), "r");
            char buffer[4096];
            while (size_t size = fread(buffer, 1, sizeof(buffer), pipe))
                result.output.append(buffer, size);
            result.exitCode = WEXITSTATUS(pclose(pipe));
            isDone = true;
        });
        while (!isDone) {
            context.restart();
            context.run_for(std::chrono::milliseconds(5));
        }
        thread.join();
        return result;
    }
};

bool contains(const CommandResult& result, const std::string& part)
{
    return result.output.find(part) != std::string::npos;
}

}

// The exit code and output of each command must show whether the note was accepted, pending, rejected or in conflict.
Test(Commands, notesFromCheckToConflict)
{
    Fixture fixture;
    fixture.members = { memberWith("h1", Membership::MemberState::Alive, 1), memberWith("h2", Membership::MemberState::Suspect, 0) };
    std::string founding = fixture.file("note", initialNote);
    CommandResult check = fixture.command("note check " + founding + fixture.flags);
    cr_assert_eq(check.exitCode, 0, "%s", check.output.c_str());
    CommandResult diff = fixture.command("note diff " + founding + fixture.flags);
    cr_assert_eq(diff.exitCode, 0);
    cr_assert(contains(diff, "engine-1"));

    CommandResult pending = fixture.command("note apply " + founding + fixture.flags + " --note_identity=one");
    cr_assert_eq(pending.exitCode, 5, "%s", pending.output.c_str());
    cr_assert(contains(pending, "h2"));
    cr_assert_not(contains(pending, "h1"));
    fixture.members[1].generation = 1;
    CommandResult again = fixture.command("note apply " + founding + fixture.flags + " --note_identity=one");
    cr_assert_eq(again.exitCode, 0, "%s", again.output.c_str());
    cr_assert(contains(again, "accepted already"));

    CommandResult conflict = fixture.command("note apply " + founding + fixture.flags);
    cr_assert_eq(conflict.exitCode, 3);
    cr_assert(contains(conflict, "nothing was changed"));
    std::string wrong = fixture.file("note", noteText(1, "bea", "added:\n  budgets:\n    - {workspace: none, name: b}\n"));
    CommandResult invalid = fixture.command("note apply " + wrong + fixture.flags);
    cr_assert_eq(invalid.exitCode, 2);
    cr_assert(contains(invalid, "line 4: added.budgets.none/b.workspace: there is no workspace none"), "%s", invalid.output.c_str());
    cr_assert_eq(fixture.store.objects().size(), 1u);
}

// The commands must print the data of the API, and --output=json must print its response body.
Test(Commands, stateHistoryStatusAndAudit)
{
    Fixture fixture;
    fixture.members = { memberWith("h1", Membership::MemberState::Alive, 1) };
    fixture.command("note apply " + fixture.file("note", initialNote) + fixture.flags);
    CommandResult state = fixture.command("state" + fixture.flags);
    cr_assert_eq(state.exitCode, 0);
    cr_assert(Intent::stateFromNote(parsed(state.output)) == initialState());
    CommandResult history = fixture.command("history" + fixture.flags);
    cr_assert_eq(history.exitCode, 0);
    cr_assert(contains(history, "ada"));
    CommandResult status = fixture.command("status" + fixture.flags);
    cr_assert_eq(status.exitCode, 0);
    cr_assert(contains(status, "h1") && contains(status, "fresh"));
    cr_assert(contains(fixture.command("status --output=json" + fixture.flags), "\"members\""));
    cr_assert_eq(fixture.command("audit" + fixture.flags).exitCode, 0);
    fixture.auditText = R"({"violations": [{"budget": "orders/day", "overspent": 3}]})";
    CommandResult audit = fixture.command("audit" + fixture.flags);
    cr_assert_eq(audit.exitCode, 6);
    cr_assert(contains(audit, "orders/day"));
    fixture.members[0].generation = 0;
    cr_assert_eq(fixture.command("status" + fixture.flags).exitCode, 5);
}

// An offline check must not need a daemon and must report the same errors as a daemon.
Test(Commands, offlineCheck)
{
    Fixture fixture;
    std::string state = fixture.file("state", printNote(Intent::stateAsNote(initialState())));
    CommandResult valid = fixture.command("note check " + fixture.file("note", noteText(1, "bea", "withdrawn: {workspaces: [trials]}\n")) + " --state=" + state);
    cr_assert_eq(valid.exitCode, 0, "%s", valid.output.c_str());
    CommandResult invalid = fixture.command("note check " + fixture.file("note", noteText(1, "bea", "withdrawn:\n  workspaces: [orders]\n")) + " --state=" + state);
    cr_assert_eq(invalid.exitCode, 2);
    cr_assert(contains(invalid, "line 3: withdrawn.workspaces.orders: has the budget orders/day"), "%s", invalid.output.c_str());
}

// Invalid arguments, a wrong key and an unreachable daemon must fail with their own exit codes and messages.
Test(Commands, wrongArgumentsAndUnreachableDaemon)
{
    Fixture fixture;
    std::string note = fixture.file("note", initialNote);
    cr_assert_eq(fixture.command("note apply" + fixture.flags).exitCode, 2);
    cr_assert_eq(fixture.command("note apply " + note).exitCode, 2);
    cr_assert_eq(fixture.command("note apply /nonexistent" + fixture.flags).exitCode, 2);
    cr_assert_eq(fixture.command("state --output=xml" + fixture.flags).exitCode, 2);
    CommandResult unauthorized = fixture.command("state" + fixture.flags + " --operator_key_file=" + fixture.file("state", "wrong"));
    cr_assert_eq(unauthorized.exitCode, 2);
    cr_assert(contains(unauthorized, "unauthorized"));
    fixture.store.faults.isDown = true;
    CommandResult down = fixture.command("note apply " + note + fixture.flags);
    cr_assert_eq(down.exitCode, 4);
    cr_assert(contains(down, "platform_unavailable"));
    fixture.server.closeAll();
    CommandResult unreachable = fixture.command("note apply " + note + fixture.flags);
    cr_assert_eq(unreachable.exitCode, 4);
    cr_assert(contains(unreachable, "nothing was changed"), "%s", unreachable.output.c_str());
}
