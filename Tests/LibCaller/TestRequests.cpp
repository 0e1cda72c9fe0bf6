#include "LibCaller/ChatRequest.h"
#include "LibCaller/RequestIdentity.h"
#include "LibCore/Hash.h"

#include <criterion/criterion.h>
#include <random>

static Intent::FleetState makeState()
{
    Intent::FleetState state;
    state.workspaces["orders"] = { "orders", 3, 25, true };
    state.workspaces["orders2"] = { "orders2", 0, 25, true };
    state.keys[Core::sha256Hex("k1")] = { Core::sha256Hex("k1"), "orders", "default" };
    state.keys[Core::sha256Hex("k2")] = { Core::sha256Hex("k2"), "orders2", "default" };
    state.keys[Core::sha256Hex("k3")] = { Core::sha256Hex("k3"), "gone", "default" };
    state.models["quote"] = { "quote", 100, 4 };
    return state;
}

static HTTP::Request makeRequest(const char* key, const char* idempotencyKey, std::string body = "{}")
{
    HTTP::Request request { "POST", "/v1/chat/completions", {}, std::move(body) };
    request.headers.push_back({ "authorization", std::string("Bearer ") + key });
    request.headers.push_back({ "idempotency-key", idempotencyKey });
    return request;
}

// Guards against equal request ids of two workspaces, by which one would get the other's answer.
Test(RequestIdentity, requestIdsDifferBetweenWorkspaces)
{
    Intent::FleetState state = makeState();
    Caller::Refusal refusal;
    std::optional<Caller::RequestIdentity> one = Caller::authenticate(makeRequest("k1", "2x"), state, refusal);
    std::optional<Caller::RequestIdentity> other = Caller::authenticate(makeRequest("k2", "x"), state, refusal);
    cr_assert(one && other);
    cr_assert_neq(one->requestId, other->requestId);
    std::optional<Caller::RequestIdentity> again = Caller::authenticate(makeRequest("k1", "2x"), state, refusal);
    cr_assert_eq(one->requestId, again->requestId);
    std::optional<Caller::RequestIdentity> changed = Caller::authenticate(makeRequest("k1", "2x", "{ }"), state, refusal);
    cr_assert_eq(one->requestId, changed->requestId);
    cr_assert_neq(one->attemptIdPrefix(), changed->attemptIdPrefix());
}

// Guards against access without a valid key.
Test(RequestIdentity, unknownKeysAreRefused)
{
    Intent::FleetState state = makeState();
    Caller::Refusal refusal;
    cr_assert_not(Caller::authenticate(makeRequest("k9", "x"), state, refusal));
    cr_assert_eq(refusal.status, 401u);
    cr_assert_eq(refusal.ran, Caller::ExecutionStatus::NotRun);
    cr_assert_not(Caller::authenticate(makeRequest("k3", "x"), state, refusal));
    cr_assert_not(Caller::authenticate(HTTP::Request {}, state, refusal));
    HTTP::Request badTimeout = makeRequest("k1", "x");
    badTimeout.headers.push_back({ "X-Request-Timeout-Ms", "-5" });
    cr_assert_not(Caller::authenticate(badTimeout, state, refusal));
    cr_assert_eq(refusal.status, 400u);
}

// Guards against a hold that is smaller than the engine's token count.
Test(ChatRequest, tokenBoundCoversPromptAndOutput)
{
    Intent::FleetState state = makeState();
    Caller::Refusal refusal;
    std::optional<Caller::ChatRequest> request = Caller::parseChatRequest(
        R"({"model":"quote","messages":[{"role":"user","content":"12345"}],"max_tokens":7})", state, refusal);
    cr_assert(request, "%s", refusal.json().c_str());
    cr_assert_eq(request->tokenBound, 2 + 7);
    cr_assert(request->engineBody.find(R"("stream":true)") != std::string::npos);
    request = Caller::parseChatRequest(R"({"model":"quote","messages":[{"role":"user","content":""}]})", state, refusal);
    cr_assert_eq(request->tokenBound, 100);
}

// Guards against malformed bodies that are accepted, or refused without the name of the field.
Test(ChatRequest, refusalNamesTheInvalidField)
{
    Intent::FleetState state = makeState();
    const std::pair<const char*, const char*> cases[] = {
        { "", "body" },
        { "[]", "body" },
        { R"({"messages":[]})", "model" },
        { R"({"model":"quote","messages":[]})", "messages" },
        { R"({"model":"quote","messages":[{"content":"x"}]})", "messages" },
        { R"({"model":"quote","messages":[{"role":"user","content":5}]})", "messages" },
        { R"({"model":"quote","max_tokens":101,"messages":[{"role":"user","content":"x"}]})", "max_tokens" },
        { R"({"model":"quote","max_tokens":1.5,"messages":[{"role":"user","content":"x"}]})", "max_tokens" },
        { R"({"model":"quote","stream":"yes","messages":[{"role":"user","content":"x"}]})", "stream" },
        { R"({"model":"quote","n":2,"messages":[{"role":"user","content":"x"}]})", "n" },
    };
    for (const std::pair<const char*, const char*>& testCase : cases) {
        Caller::Refusal refusal;
        cr_assert_not(Caller::parseChatRequest(testCase.first, state, refusal), "accepted %s", testCase.first);
        cr_assert_eq(refusal.step, std::string("read field ") + testCase.second, "step '%s'", refusal.step.c_str());
    }
}

// Guards against exceptions on arbitrary bytes.
Test(ChatRequest, mutatedBodiesNeverThrow)
{
    Intent::FleetState state = makeState();
    std::mt19937_64 generator(11);
    const std::string valid = R"({"model":"quote","stream":false,"messages":[{"role":"user","content":"12345"}],"max_tokens":7,"tools":[{"a":1}]})";
    for (int round = 0; round < 5000; ++round) {
        std::string body = valid;
        for (size_t change = 0; change < 1 + generator() % 5; ++change)
            body[generator() % body.size()] = static_cast<char>(generator());
        Caller::Refusal refusal;
        if (!Caller::parseChatRequest(body, state, refusal))
            cr_assert_not(refusal.code.empty());
    }
}
