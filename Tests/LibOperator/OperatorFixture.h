#pragma once

#include "Examples.h"
#include "LibCore/Hash.h"
#include "LibIntent/NoteLog.h"
#include "LibOperator/OperatorApi.h"
#include "MemoryStore.h"
#include "RunTask.h"

inline Membership::Member memberWith(const std::string& host, Membership::MemberState state, uint64_t generation)
{
    Membership::Member member;
    member.host = host;
    member.incarnation = 7;
    member.state = state;
    member.generation = generation;
    return member;
}

// The operator API with hooks that use an in-memory platform instead of a daemon.
struct OperatorFixture {
    boost::asio::io_context context;
    MemoryStore store { context.get_executor() };
    Intent::NoteLog log { store.hooks() };
    std::shared_ptr<const Intent::FleetState> state { std::make_shared<const Intent::FleetState>() };
    std::vector<Membership::Member> members;
    std::string auditText { R"({"violations": []})" };
    int membersCallCount { 0 };
    std::function<void()> onMembersCall;
    Operator::OperatorApi api { { Core::sha256Hex("secret"), std::chrono::milliseconds(60), std::chrono::milliseconds(2) }, hooks() };

    Operator::OperatorHooks hooks()
    {
        Operator::OperatorHooks hooks;
        hooks.acceptNote = [this](Intent::Submission submission) { return accept(std::move(submission)); };
        hooks.state = [this] { return state; };
        hooks.changesSince = [](uint64_t) { return Intent::Note {}; };
        hooks.history = [this](uint64_t after, size_t limit, Core::Reason& reason) { return history(after, limit, reason); };
        hooks.members = [this] {
            ++membersCallCount;
            if (onMembersCall)
                onMembersCall();
            return members;
        };
        hooks.freshness = [] { return std::string("fresh"); };
        hooks.audit = [this](Core::Reason&) { return audit(); };
        return hooks;
    }

    Core::Task<Intent::AcceptResult> accept(Intent::Submission submission)
    {
        Intent::AcceptResult result = co_await log.accept(state, submission, Core::Deadline::after(std::chrono::milliseconds(200)));
        if (result.status == Intent::AcceptStatus::Accepted) {
            std::vector<Intent::NoteError> errors;
            state = std::make_shared<const Intent::FleetState>(Intent::applyNote(*state, parsed(result.note->text), errors).value());
        }
        co_return result;
    }

    Core::Task<std::optional<std::vector<Intent::AcceptedNote>>> history(uint64_t after, size_t limit, Core::Reason& reason)
    {
        std::optional<Intent::NoteBatch> read = co_await log.readAfter(after, Core::Deadline::after(std::chrono::seconds(1)), reason);
        if (!read)
            co_return std::nullopt;
        read->notes.resize(std::min(limit, read->notes.size()));
        co_return read->notes;
    }

    Core::Task<std::optional<std::string>> audit()
    {
        co_return auditText;
    }
};
