#include "LibRelay/StreamSilence.h"
#include "RelayFixture.h"

using namespace Relay;
using namespace RelayTest;

static Core::Task<void> sleepFor(int64_t milliseconds)
{
    co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(milliseconds)));
}

static SilenceEvidence withStatus(int64_t queued, std::optional<std::map<std::string, uint64_t>> eventsByRun)
{
    SilenceEvidence evidence;
    evidence.status = EngineStatus { queued, 1, std::move(eventsByRun) };
    return evidence;
}

// Guards against moving a stream on silence alone, and on any evidence that a sound engine also shows.
Test(StreamSilence, silenceAloneIsNoLoss)
{
    cr_assert_not(findStreamLoss({}, "r", 3));
    // All streams are silent, or the registration has lapsed, but the engine was not asked or answered.
    cr_assert_not(findStreamLoss({ false, true, 0, std::nullopt }, "r", 3));
    // One status request may be lost on the way.
    cr_assert_not(findStreamLoss({ true, false, 1, std::nullopt }, "r", 3));
    // An engine that lists no runs, one that queues the request or has preempted it, and one that has made no further event.
    cr_assert_not(findStreamLoss(withStatus(0, std::nullopt), "r", 3));
    cr_assert_not(findStreamLoss(withStatus(1, std::map<std::string, uint64_t> {}), "r", 3));
    cr_assert_not(findStreamLoss(withStatus(0, std::map<std::string, uint64_t> { { "r", 3 } }), "r", 3));
}

// Guards against waiting for a dead engine until the deadline.
Test(StreamSilence, evidenceOfLossMovesTheStream)
{
    cr_assert(findStreamLoss({ true, false, 2, std::nullopt }, "r", 3));
    cr_assert(findStreamLoss({ true, true, 1, std::nullopt }, "r", 3));
    cr_assert(findStreamLoss({ false, false, 1, std::nullopt }, "r", 3));
    cr_assert(findStreamLoss(withStatus(0, std::map<std::string, uint64_t> { { "other", 9 } }), "r", 3));
    cr_assert(findStreamLoss(withStatus(0, std::map<std::string, uint64_t> { { "r", 9 } }), "r", 3));
}

// Sends two events with a pause of several silence limits before each.
static Core::Task<void> sendSlowly(const HTTP::Request& request, HTTP::ResponseWriter& writer)
{
    Core::Reason reason;
    co_await sleepFor(500);
    co_await writer.startStream(200, sealed(request), reason);
    co_await writer.writeChunk("id: 1\ndata: a\n\n", reason);
    co_await sleepFor(500);
    co_await writer.writeChunk("id: 2\ndata: b\n\n", reason);
    co_await writer.finishStream(reason);
}

// Guards against cutting a slow but sound stream. On a loaded fleet both endpoints were cut in turn, and the caller's answer was
// broken off.
Test(StreamSilence, slowStreamIsNotCut)
{
    Fixture fixture;
    fixture.status = "0 r1 0";
    fixture.answer = [&fixture](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        fixture.status = "1";
        co_await sendSlowly(request, writer);
    };
    std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/stream/a"));
    cr_assert(response);
    cr_assert_eq(response->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    cr_assert_eq(fixture.arrivals.size(), 1);
    cr_assert_gt(fixture.statusRequests, 0);
}

// Guards against cutting the stream where no other endpoint could take it: on its last attempt, or without another endpoint.
Test(StreamSilence, streamThatCannotMoveIsNotCut)
{
    Fixture fixture(1);
    fixture.status = std::nullopt;
    fixture.answer = sendSlowly;
    std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/stream/a"));
    cr_assert(response);
    cr_assert_eq(response->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Serves the first request with one event and then nothing, and later ones with the second event.
static Fixture::Answer stallFirst(Fixture& fixture)
{
    return [&fixture](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        Core::Reason reason;
        bool isFirst = fixture.arrivals.size() == 1;
        co_await writer.startStream(200, sealed(request), reason);
        co_await writer.writeChunk(isFirst ? "id: 1\ndata: a\n\n" : "id: 2\ndata: b\n\n", reason);
        if (isFirst)
            co_await sleepFor(5'000);
        co_await writer.finishStream(reason);
    };
}

// Guards against a stream that waits until its deadline for an engine that has stopped or has lost the run.
Test(StreamSilence, stalledStreamMovesToAnotherEndpoint)
{
    for (const std::optional<std::string>& status : { std::optional<std::string>(), std::optional<std::string>("0 other 4") }) {
        Fixture fixture;
        fixture.status = status;
        fixture.answer = stallFirst(fixture);
        std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/stream/a", { { "Timeout", "3000" } }));
        cr_assert(response);
        cr_assert_eq(response->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        cr_assert_eq(fixture.arrivals.size(), 2);
    }
}

// Guards against a stalled stream that never ends because single bytes keep arriving: bytes that complete no event are silence,
// and the deadline holds in any case.
Test(StreamSilence, trickledBytesDoNotKeepAStreamAlive)
{
    Fixture fixture;
    fixture.status = "0 other 1";
    fixture.answer = [&fixture](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        Core::Reason reason;
        bool isFirst = fixture.arrivals.size() == 1;
        co_await writer.startStream(200, sealed(request), reason);
        co_await writer.writeChunk(isFirst ? "id: 1\ndata: " : "id: 1\ndata: a\n\n", reason);
        for (int i = 0; isFirst && i < 100 && co_await writer.writeChunk("x", reason); ++i)
            co_await sleepFor(20);
        co_await writer.finishStream(reason);
    };
    Core::SteadyClock::time_point startedAt = Core::SteadyClock::now();
    std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/stream/a"));
    cr_assert(response);
    cr_assert_eq(response->body, "id: 1\ndata: a\n\n");
    cr_assert_lt(Core::SteadyClock::now() - startedAt, std::chrono::milliseconds(1'500));

    fixture.arrivals.clear();
    fixture.status = "0 r1 0";
    startedAt = Core::SteadyClock::now();
    response = fixture.call(fixture.makeRequest("/stream/a", { { "Timeout", "700" } }));
    // If the process stands still around the deadline (seen by stopping it for 0.6 s), the connection closes without the 504.
    cr_assert(!response || response->status == 504);
    cr_assert_eq(fixture.arrivals.size(), 1);
    cr_assert_lt(Core::SteadyClock::now() - startedAt, std::chrono::milliseconds(1'500));
}

// Guards against an event that never ends reaching the caller as a complete stream, or holding the request until its deadline.
Test(StreamSilence, eventWithoutEndBreaksTheAttempt)
{
    Fixture fixture;
    fixture.answer = [&fixture](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        Core::Reason reason;
        bool isFirst = fixture.arrivals.size() == 1;
        co_await writer.startStream(200, sealed(request), reason);
        std::string block(16 * 1024, 'x');
        while (isFirst && co_await writer.writeChunk(block, reason)) { }
        if (!isFirst)
            co_await writer.writeChunk("id: 1\ndata: a\n\n", reason);
        co_await writer.finishStream(reason);
    };
    Core::SteadyClock::time_point startedAt = Core::SteadyClock::now();
    std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/stream/a"));
    cr_assert(response);
    cr_assert_eq(response->body, "id: 1\ndata: a\n\n");
    cr_assert_lt(Core::SteadyClock::now() - startedAt, std::chrono::seconds(5));
}
