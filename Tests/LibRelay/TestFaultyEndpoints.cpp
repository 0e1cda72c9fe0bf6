#include "RawServer.h"
#include "RelayFixture.h"

// Endpoints that break the protocol or stop in the middle of it, behind a relay and over real sockets.

using namespace RelayTest;
using TestSupport::RawServer;
using TestSupport::readRawRequest;
using TestSupport::writeRaw;
using tcp = boost::asio::ip::tcp;

namespace {

// The relay and callers of Fixture, with endpoints that send raw bytes.
struct RawFixture : Fixture {
    std::vector<std::unique_ptr<RawServer>> servers;

    RawFixture()
        : Fixture(0)
    {
    }

    RawServer& addEndpoint(RawServer::Script script)
    {
        servers.push_back(std::make_unique<RawServer>(context, std::move(script)));
        directory.put(makeEndpoint("e" + std::to_string(servers.size()), servers.back()->address()));
        return *servers.back();
    }

    static Relay::Endpoint makeEndpoint(const std::string& id, const Core::Address& address)
    {
        Relay::Endpoint endpoint;
        endpoint.id = id;
        endpoint.service = "service";
        endpoint.address = address;
        return endpoint;
    }

    std::optional<HTTP::Response> callAs(const std::string& id, const std::string& target, const std::string& method = "POST")
    {
        return call({ method, target, { { "Id", id }, { "Key", "key" }, { "Timeout", "5000" } }, method == "POST" ? "body" : "" });
    }

    void pause(std::chrono::milliseconds duration)
    {
        TestSupport::runTask(context, [](Core::Deadline until) -> Core::Task<bool> {
            co_await Core::sleepUntil(until);
            co_return true;
        }(Core::Deadline::after(duration)));
    }
};

}

static bool isRequestOf(const std::string& request, const std::string& id)
{
    return request.find("\r\nId: " + id + "\r\n") != std::string::npos;
}

static std::string makeRefusal(unsigned status, const std::string& idLine)
{
    return "HTTP/1.1 " + std::to_string(status) + " Service Unavailable\r\nKeep-Alive: timeout=5\r\nNot-Run: 1\r\n" + idLine + "Retry-After: 1\r\nContent-Length: 4\r\n\r\nfull";
}

static const std::string ranAnswer = "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\nContent-Length: 3\r\n\r\nran";

// Statuses that tell a caller that its request has not run.
static bool promisesNotRun(const std::optional<HTTP::Response>& response)
{
    return response && (response->status == 400 || response->status == 408 || response->status == 421 || response->status == 429 || response->status == 503);
}

// Guards against an earlier refusal, sent once more on a kept connection, being taken for the answer to the next request: the
// caller would be told that a request did not run that ran, or it would run at a second endpoint.
Test(FaultyEndpoints, earlierRefusalIsNotTheNextAnswer)
{
    enum class Moment { WithTheRefusal,
        BeforeTheNextRequest,
        AfterTheNextRequest };
    for (Moment moment : { Moment::WithTheRefusal, Moment::BeforeTheNextRequest, Moment::AfterTheNextRequest }) {
        for (unsigned status : { 400U, 421U, 429U, 503U }) {
            for (const std::string& idLine : { std::string(), std::string("Id: r0\r\n") }) {
                for (const std::string& method : { std::string("POST"), std::string("HEAD") }) {
                    RawFixture fixture;
                    int runs = 0;
                    std::string copy = makeRefusal(status, idLine);
                    RawServer::Script script = [&runs, copy, status, moment, method](tcp::socket& socket) -> Core::Task<void> {
                        std::string refusal = makeRefusal(status, "Id: r0\r\n");
                        while (std::optional<std::string> request = co_await readRawRequest(socket)) {
                            if (isRequestOf(*request, "r1")) {
                                ++runs;
                                std::string answer = method == "HEAD" ? ranAnswer.substr(0, ranAnswer.size() - 3) : ranAnswer;
                                co_await writeRaw(socket, (moment == Moment::AfterTheNextRequest ? copy : "") + answer);
                                continue;
                            }
                            co_await writeRaw(socket, refusal + (moment == Moment::WithTheRefusal ? copy : ""));
                            if (moment != Moment::BeforeTheNextRequest)
                                continue;
                            co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(10)));
                            co_await writeRaw(socket, copy);
                        }
                    };
                    fixture.addEndpoint(script);
                    fixture.addEndpoint(script);
                    cr_assert_eq(fixture.callAs("r0", "/once/a")->status, 503);
                    fixture.pause(std::chrono::milliseconds(20));
                    std::optional<HTTP::Response> response = fixture.callAs("r1", "/once/a", method);
                    cr_assert_eq(runs, 1, "status %u, %s, moment %d: %d runs", status, method.c_str(), static_cast<int>(moment), runs);
                    cr_assert_not(promisesNotRun(response), "status %u, %s, moment %d", status, method.c_str(), static_cast<int>(moment));
                    if (method == "POST")
                        cr_assert_eq(response->body, "ran");
                }
            }
        }
    }
}

// Guards against reading earlier responses without limit, and against the limit ending in a refusal.
Test(FaultyEndpoints, manyEarlierRefusalsAreNoRefusal)
{
    RawFixture fixture;
    int runs = 0;
    RawServer::Script script = [&runs](tcp::socket& socket) -> Core::Task<void> {
        while (co_await readRawRequest(socket)) {
            ++runs;
            std::string copies;
            for (int i = 0; i < 10; ++i)
                copies += makeRefusal(503, i % 2 == 0 ? "Id: r0\r\n" : "");
            co_await writeRaw(socket, copies + ranAnswer);
        }
    };
    fixture.addEndpoint(script);
    fixture.addEndpoint(script);
    cr_assert_eq(fixture.callAs("r1", "/once/a")->status, 502);
    cr_assert_eq(runs, 1);
}

// Guards against the first part of an earlier refusal and the answer that follows it being read as one head, which has the status
// or the mark of the refusal and the request id of the answer.
Test(FaultyEndpoints, partOfAnEarlierRefusalIsNotJoinedToTheAnswer)
{
    for (const std::string& target : { std::string("/once/a"), std::string("/single/a") }) {
        for (const std::string& idLine : { std::string(), std::string("Id: r0\r\n") }) {
            std::string refusal = makeRefusal(503, idLine);
            std::string answer = ranAnswer;
            if (target == "/single/a")
                answer = "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\nContent-Length: 15\r\n\r\nid: 1\ndata: a\n\n";
            for (size_t length = 0; length <= refusal.size(); ++length) {
                RawFixture fixture;
                int runs = 0;
                RawServer::Script script = [&runs, &refusal, &answer, length](tcp::socket& socket) -> Core::Task<void> {
                    while (std::optional<std::string> request = co_await readRawRequest(socket)) {
                        bool isFirst = isRequestOf(*request, "r0");
                        if (!isFirst)
                            ++runs;
                        co_await writeRaw(socket, isFirst ? makeRefusal(503, "Id: r0\r\n") : refusal.substr(0, length) + answer);
                        if (!isFirst)
                            co_return;
                    }
                };
                fixture.addEndpoint(script);
                fixture.addEndpoint(script);
                cr_assert_eq(fixture.callAs("r0", target)->status, 503);
                std::optional<HTTP::Response> response = fixture.callAs("r1", target);
                cr_assert_eq(runs, 1, "%d runs after %zu bytes of %s", runs, length, refusal.c_str());
                cr_assert_not(promisesNotRun(response), "after %zu bytes of %s", length, refusal.c_str());
                if (response && response->status == 200)
                    cr_assert(answer.ends_with("\r\n\r\n" + response->body), "%s", response->body.c_str());
            }
        }
    }
}

// Guards against passing on a status that tells the caller that its request has not run, if the endpoint does not say so.
Test(FaultyEndpoints, statusWithoutTheMarkIsNoRefusal)
{
    for (unsigned status : { 408U, 421U, 429U, 503U }) {
        RawFixture fixture;
        int runs = 0;
        RawServer::Script script = [&runs, status](tcp::socket& socket) -> Core::Task<void> {
            while (co_await readRawRequest(socket)) {
                ++runs;
                co_await writeRaw(socket, "HTTP/1.1 " + std::to_string(status) + " Failed\r\nId: r1\r\nSeal: s\r\nContent-Length: 0\r\n\r\n");
            }
        };
        fixture.addEndpoint(script);
        fixture.addEndpoint(script);
        std::optional<HTTP::Response> response = fixture.callAs("r1", "/once/a");
        cr_assert_eq(response->status, 502, "status %u was passed on as %u", status, response->status);
        cr_assert(response->body.find("\"ran\":\"unknown\"") != std::string::npos);
        cr_assert_eq(runs, 1);
    }
}

// Guards against a request being sent twice on one connection, as happens when an endpoint has taken over the address of the one that
// refused the request: a copy of the first refusal names the same request.
Test(FaultyEndpoints, repeatAtTheSameAddressUsesANewConnection)
{
    RawFixture fixture;
    int runs = 0;
    std::string refusal = makeRefusal(421, "Id: r1\r\n");
    RawServer::Script script = [&](tcp::socket& socket) -> Core::Task<void> {
        bool isNew = true;
        while (co_await readRawRequest(socket)) {
            if (fixture.directory.find("e1")) {
                fixture.directory.remove("e1", Core::SteadyClock::now());
                fixture.directory.put(RawFixture::makeEndpoint("e2", fixture.servers.front()->address()));
                co_await writeRaw(socket, refusal);
            } else {
                ++runs;
                co_await writeRaw(socket, isNew ? ranAnswer : refusal);
            }
            isNew = false;
        }
    };
    fixture.addEndpoint(script);
    std::optional<HTTP::Response> response = fixture.callAs("r1", "/once/a");
    cr_assert_eq(runs, 1);
    cr_assert_eq(response->status, 200, "status %u for a request that ran", response->status);
    cr_assert_eq(response->body, "ran");
}

namespace {

// Endpoints that answer the arrivals of one request, in this order; the last answer is repeated.
struct AnswerSequence {
    std::vector<std::string> answers;
    size_t arrivals { 0 };

    void addEndpoints(RawFixture& fixture, size_t count)
    {
        for (size_t i = 0; i < count; ++i) {
            fixture.addEndpoint([this](tcp::socket& socket) -> Core::Task<void> {
                if (co_await readRawRequest(socket))
                    co_await writeRaw(socket, answers.at(std::min(arrivals++, answers.size() - 1)));
            });
        }
    }
};

}

static const std::string streamHead = "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\nContent-Type: text/event-stream\r\n";

static std::string makeChunk(const std::string& bytes)
{
    std::ostringstream size;
    size << std::hex << bytes.size();
    return size.str() + "\r\n" + bytes + "\r\n";
}

static std::string makeResponse(const std::string& head, const std::string& body)
{
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

static std::shared_ptr<const Relay::Configuration> makeConfigurationWithAttempts(int attempts)
{
    Relay::Workspace workspace;
    workspace.name = "w";
    workspace.keys = { "key" };
    Relay::Service service;
    service.name = "service";
    std::vector<Relay::Route> routes { makeRoute("/stream/", true, false, true, attempts) };
    return std::make_shared<const Relay::Configuration>(1, routes, std::vector { service }, std::vector { workspace }, true, Relay::CallerLimits {});
}

// Sends the request and returns all bytes that the relay sends until it closes the connection.
static Core::Task<std::string> exchangeRaw(const Core::Address& relay, std::string request)
{
    tcp::socket socket(co_await boost::asio::this_coro::executor);
    co_await socket.async_connect({ boost::asio::ip::make_address(relay.ip), relay.port }, TestSupport::rawTuple);
    co_await writeRaw(socket, std::move(request));
    std::string received;
    std::array<char, 4096> bytes {};
    for (;;) {
        auto [error, size] = co_await socket.async_read_some(boost::asio::buffer(bytes), TestSupport::rawTuple);
        received.append(bytes.data(), size);
        if (error)
            co_return received;
    }
}

static std::string requestTo(const std::string& target)
{
    return "POST " + target + " HTTP/1.1\r\nHost: test\r\nConnection: close\r\nId: r1\r\nKey: key\r\nTimeout: 5000\r\nContent-Length: 4\r\n\r\nbody";
}

// Answers of an endpoint that was to resume a stream after event 2 and does not. A piece of each that must not reach the caller
// contains "failed".
static std::vector<std::pair<std::string, std::string>> makeFailedResumptions()
{
    std::string sealed = "Id: r1\r\nSeal: other\r\n";
    std::string event = "id: 3\ndata: failed\n\n";
    std::string ok = "HTTP/1.1 200 OK\r\n" + sealed;
    std::string stream = ok + "Content-Type: text/event-stream\r\n";
    return {
        { "500", makeResponse("HTTP/1.1 500 failed\r\n" + sealed, event) },
        { "500 without a seal", makeResponse("HTTP/1.1 500 failed\r\nId: r1\r\n", event) },
        { "500 in chunks", "HTTP/1.1 500 failed\r\n" + sealed + "Transfer-Encoding: chunked\r\n\r\n" + makeChunk(event) + "0\r\n\r\n" },
        { "503, not run", makeResponse("HTTP/1.1 503 failed\r\nNot-Run: 1\r\n" + sealed, event) },
        { "503", makeResponse("HTTP/1.1 503 failed\r\n" + sealed, event) },
        { "404", makeResponse("HTTP/1.1 404 failed\r\n" + sealed, event) },
        { "302", makeResponse("HTTP/1.1 302 failed\r\n" + sealed, event) },
        { "JSON", makeResponse(ok + "Content-Type: application/json\r\n", "{\"error\":\"failed\"}") },
        { "JSON with a blank line", makeResponse(ok + "Content-Type: application/json\r\n", "{\"error\":\"failed\"}\n\n") },
        { "event in another content type", makeResponse(ok + "Content-Type: text/plain\r\n", event) },
        { "no seal", makeResponse("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream\r\n", event) },
        { "broken head", stream + "Content-Le" },
        { "broken body", stream + "Content-Length: 100\r\n\r\nid: 3\ndata: failed" },
        { "error event without an id", makeResponse(stream, "event: error\ndata: failed\n\n") },
        { "error event", makeResponse(stream, "id: 3\nevent: error\ndata: failed\n\n") },
        { "error event in CRLF", makeResponse(stream, "event:error\r\nid:3\r\ndata: failed\r\n\r\n") },
        { "event 1", makeResponse(stream, "id: 1\ndata: failed\n\n") },
        { "event 2", makeResponse(stream, "id: 2\ndata: failed\n\n") },
        { "event 4", makeResponse(stream, "id: 4\ndata: failed\n\n") },
        { "empty", makeResponse(stream, "") },
        { "empty in chunks", stream + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" },
        { "empty until the connection ends", stream + "\r\n" },
        { "204", "HTTP/1.1 204 failed\r\n" + sealed + "\r\n" },
    };
}

// The ways in which the first endpoint of a stream frames it, up to its middle.
static std::vector<std::string> makeBrokenStreams()
{
    std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
    return { streamHead + "Transfer-Encoding: chunked\r\n\r\n" + makeChunk(events), streamHead + "Content-Length: 500\r\n\r\n" + events,
        streamHead + "Trailer: Status\r\nTransfer-Encoding: chunked\r\n\r\n" + makeChunk(events) + "0\r\nStatus: failed\r\n\r\n", streamHead + "\r\n" + events };
}

// Guards against the error of the endpoint that was to resume a stream reaching the caller as a part of the stream, and against the
// stream ending as if it were complete.
Test(FaultyEndpoints, failedResumptionBreaksTheStream)
{
    for (const std::string& broken : makeBrokenStreams()) {
        for (const auto& [name, failure] : makeFailedResumptions()) {
            RawFixture fixture;
            fixture.configuration = makeConfigurationWithAttempts(2);
            AnswerSequence sequence { { broken, failure } };
            sequence.addEndpoints(fixture, 2);
            std::string received = TestSupport::runTask(fixture.context, exchangeRaw(fixture.address, requestTo("/stream/a")));
            size_t end = received.find("\r\n\r\n");
            cr_assert_neq(end, std::string::npos);
            cr_assert(received.starts_with("HTTP/1.1 200 OK\r\n"), "%s: %s", name.c_str(), received.c_str());
            cr_assert(received.find("\r\nSeal: s\r\n") < end);
            cr_assert_eq(received.substr(end + 4), makeChunk("id: 1\ndata: a\n\n") + makeChunk("id: 2\ndata: b\n\n"), "%s: %s", name.c_str(), received.c_str());
            cr_assert_eq(sequence.arrivals, 2, "%s: %zu arrivals", name.c_str(), sequence.arrivals);
        }
    }
}

// Guards against giving up a stream, or losing an event of it, while a third endpoint can resume it.
Test(FaultyEndpoints, thirdEndpointResumesTheStream)
{
    for (const std::string& broken : makeBrokenStreams()) {
        for (const auto& [name, failure] : makeFailedResumptions()) {
            RawFixture fixture;
            fixture.configuration = makeConfigurationWithAttempts(3);
            AnswerSequence sequence { { broken, failure, makeResponse(streamHead, "id: 3\ndata: c\n\nid: 4\ndata: d\n\n") } };
            sequence.addEndpoints(fixture, 3);
            std::optional<HTTP::Response> response = fixture.callAs("r1", "/stream/a");
            cr_assert(response, "%s: the stream broke off", name.c_str());
            cr_assert_eq(response->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n", "%s: %s", name.c_str(), response->body.c_str());
            cr_assert_eq(sequence.arrivals, 3);
        }
    }
}

// Guards against forwarding a stream without its endpoint's seal as a success.
Test(FaultyEndpoints, streamWithoutASealIsNoSuccess)
{
    RawFixture fixture;
    AnswerSequence sequence { { makeResponse("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream\r\n", "id: 1\ndata: a\n\n") } };
    sequence.addEndpoints(fixture, 1);
    cr_assert_eq(fixture.callAs("r1", "/single/a")->status, 502);
}

// Guards against an answer that stops at any byte of its head or body, with a close or a reset, on a new or a kept connection,
// reaching the caller as a success, and against repeating a request that may have run.
Test(FaultyEndpoints, answerThatStopsAtAnyByteIsNoSuccess)
{
    std::string event = "id: 1\ndata: a\n\n";
    std::string head = "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\nKeep-Alive: timeout=5\r\n";
    const std::vector<std::pair<std::string, std::string>> cases { { "/once/a", makeResponse(head, "body") }, { "/again/a", makeResponse(head, "body") },
        { "/again/a", "HTTP/1.1 100 Continue\r\n\r\n" + makeResponse(head, "body") },
        { "/single/a", makeResponse(head, event) }, { "/stream/a", makeResponse(head, event) },
        { "/single/a", head + "Transfer-Encoding: chunked\r\n\r\n" + makeChunk(event) + "0\r\n\r\n" } };
    for (const std::pair<std::string, std::string>& targetAndAnswer : cases) {
        const std::string& target = targetAndAnswer.first;
        const std::string& answer = targetAndAnswer.second;
        for (bool isKept : { false, true }) {
            for (bool isReset : { false, true }) {
                for (size_t length = 0; length < answer.size(); ++length) {
                    RawFixture fixture;
                    int arrivals = 0;
                    fixture.addEndpoint([&, bytes = answer.substr(0, length)](tcp::socket& socket) -> Core::Task<void> {
                        std::optional<std::string> request = co_await readRawRequest(socket);
                        if (request && isRequestOf(*request, "r0")) {
                            co_await writeRaw(socket, "HTTP/1.1 200 OK\r\nId: r0\r\nSeal: s\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n");
                            request = co_await readRawRequest(socket);
                        }
                        if (!request)
                            co_return;
                        ++arrivals;
                        co_await writeRaw(socket, arrivals == 1 ? bytes : answer);
                        if (isReset)
                            TestSupport::resetConnection(socket);
                    });
                    if (isKept)
                        cr_assert_eq(fixture.callAs("r0", "/once/a")->status, 200);
                    std::string received = TestSupport::runTask(fixture.context, exchangeRaw(fixture.address, requestTo(target)));
                    bool isRepeatable = target == "/again/a" || target == "/stream/a";
                    // Nothing may have arrived of an answer that is followed by a reset.
                    bool mayRepeat = isRepeatable && isKept && (length == 0 || isReset);
                    std::string where = target + (isKept ? ", kept" : ", new") + (isReset ? ", reset" : ", closed") + ", after " + std::to_string(length) + " bytes: " + received;
                    if (arrivals == 2 && mayRepeat) {
                        cr_assert(received.starts_with("HTTP/1.1 200 OK\r\n") && received.find(target == "/again/a" ? "body" : event) != std::string::npos, "%s", where.c_str());
                        continue;
                    }
                    cr_assert_eq(arrivals, 1, "%d arrivals at %s", arrivals, where.c_str());
                    cr_assert_not(isRepeatable && isKept && length == 0 && !isReset, "no repeat at %s", where.c_str());
                    // Events that arrived are forwarded at once, and the end of the stream is missing.
                    bool isBrokenStream = received.starts_with("HTTP/1.1 200 OK\r\n") && received.ends_with("\r\n\r\n" + makeChunk(event)) && answer.substr(0, length).find(event) != std::string::npos;
                    cr_assert(received.starts_with("HTTP/1.1 502 ") || isBrokenStream, "%s", where.c_str());
                }
            }
        }
    }
}

// Guards against answers without a length or chunks, which end with their connection, being refused, cut or used for another answer.
Test(FaultyEndpoints, answersThatEndWithTheirConnectionAreWhole)
{
    for (const std::string& target : { std::string("/once/a"), std::string("/single/a") }) {
        RawFixture fixture;
        std::string body = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
        RawServer& server = fixture.addEndpoint([&body](tcp::socket& socket) -> Core::Task<void> {
            if (!co_await readRawRequest(socket))
                co_return;
            // The connection stays open for a while, although the answer says that it can be kept.
            co_await writeRaw(socket, streamHead + "Keep-Alive: timeout=5\r\nConnection: keep-alive\r\n\r\n" + body.substr(0, 20));
            co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(30)));
            co_await writeRaw(socket, body.substr(20));
        });
        for (int i = 1; i <= 2; ++i) {
            std::string received = TestSupport::runTask(fixture.context, exchangeRaw(fixture.address, requestTo(target)));
            size_t end = received.find("\r\n\r\n");
            cr_assert(received.starts_with("HTTP/1.1 200 OK\r\n"), "%s", received.c_str());
            if (target == "/once/a") {
                cr_assert_lt(received.find("\r\nContent-Length: " + std::to_string(body.size()) + "\r\n"), end);
                cr_assert_eq(received.substr(end + 4), body);
            } else {
                cr_assert_lt(received.find("\r\nTransfer-Encoding: chunked\r\n"), end);
                cr_assert_eq(received.substr(end + 4), makeChunk(body.substr(0, 15)) + makeChunk(body.substr(15)) + "0\r\n\r\n", "%s", received.c_str());
            }
            cr_assert_eq(server.connections, i);
        }
    }
}

// Guards against such an answer appearing complete if its connection is reset, or if its stream ends within an event, and against a
// stream like this not being resumed.
Test(FaultyEndpoints, answersBrokenOffWithTheirConnectionAreNotWhole)
{
    const std::vector<std::pair<std::string, bool>> ends { { "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", true }, { "id: 1\ndata: a\n\nid: 2\ndata: b", false },
        { "id: 1\ndata: a\n\nid: 2\ndata: b\n", false }, { "id: 1\ndata: a\n\ni", false }, { "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r", false } };
    for (const std::string& target : { std::string("/once/a"), std::string("/single/a"), std::string("/stream/a") }) {
        for (const std::pair<std::string, bool>& bodyAndEnd : ends) {
            const std::string& body = bodyAndEnd.first;
            bool isReset = bodyAndEnd.second;
            if (target == "/once/a" && !isReset)
                continue;
            RawFixture fixture;
            int arrivals = 0;
            RawServer::Script script = [&](tcp::socket& socket) -> Core::Task<void> {
                std::optional<std::string> request = co_await readRawRequest(socket);
                ++arrivals;
                size_t lastEvent = request->find("\r\nLast-Event: ");
                bool isResumption = lastEvent != std::string::npos;
                co_await writeRaw(socket, streamHead + "\r\n" + (isResumption ? request->at(lastEvent + 14) == '1' ? "id: 2\ndata: b\n\nid: 3\ndata: c\n\n" : "id: 3\ndata: c\n\n" : body));
                if (!isReset || isResumption)
                    co_return;
                // The bytes have to be read before the reset discards them.
                co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(50)));
                TestSupport::resetConnection(socket);
            };
            fixture.addEndpoint(script);
            fixture.addEndpoint(script);
            std::optional<HTTP::Response> response = fixture.callAs("r1", target);
            cr_assert_eq(arrivals, target == "/stream/a" ? 2 : 1);
            if (target == "/once/a")
                cr_assert_eq(response->status, 502);
            else if (target == "/single/a")
                cr_assert_not(response, "complete: %s", response->body.c_str());
            else
                cr_assert_eq(response->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", "%s", response->body.c_str());
        }
    }
}

// Guards against waiting past the deadline for the end of a connection, and against taking the deadline for this end.
Test(FaultyEndpoints, silenceBeforeTheEndOfTheConnectionEndsAtTheDeadline)
{
    for (const std::string& target : { std::string("/once/a"), std::string("/single/a") }) {
        RawFixture fixture;
        fixture.addEndpoint([](tcp::socket& socket) -> Core::Task<void> {
            co_await readRawRequest(socket);
            co_await writeRaw(socket, streamHead + "\r\nid: 1\ndata: a\n\n");
            // Ends when the relay closes the connection.
            co_await readRawRequest(socket);
        });
        Core::SteadyClock::time_point startedAt = Core::SteadyClock::now();
        std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest(target, { { "Timeout", "200" } }));
        Core::SteadyClock::duration duration = Core::SteadyClock::now() - startedAt;
        if (target == "/once/a")
            cr_assert_eq(response->status, 504);
        else
            cr_assert_not(response);
        cr_assert_geq(duration, std::chrono::milliseconds(190));
        cr_assert_lt(duration, std::chrono::milliseconds(700));
    }
}

// Guards against buffering a body without an end until the deadline.
Test(FaultyEndpoints, bodyWithoutAnEndIsCutOff)
{
    for (const std::string& target : { std::string("/once/a"), std::string("/single/a") }) {
        RawFixture fixture;
        fixture.addEndpoint([](tcp::socket& socket) -> Core::Task<void> {
            co_await readRawRequest(socket);
            co_await writeRaw(socket, streamHead + "\r\n");
            while (co_await writeRaw(socket, std::string(16 * 1024, 'x'))) { }
        });
        Core::SteadyClock::time_point startedAt = Core::SteadyClock::now();
        cr_assert_eq(fixture.callAs("r1", target)->status, 502);
        cr_assert_lt(Core::SteadyClock::now() - startedAt, std::chrono::seconds(3));
    }
}

// Guards against a caller receiving an event twice after its stream was resumed, because the blank line before the event ended differently
// from other lines.
Test(FaultyEndpoints, resumedStreamWithMixedLineEndsRepeatsNothing)
{
    std::string head = streamHead + "Transfer-Encoding: chunked\r\n\r\n";
    RawFixture fixture;
    int arrivals = 0;
    RawServer::Script script = [&](tcp::socket& socket) -> Core::Task<void> {
        std::optional<std::string> request = co_await readRawRequest(socket);
        ++arrivals;
        size_t lastEvent = request->find("\r\nLast-Event: ");
        int first = lastEvent == std::string::npos ? 1 : std::stoi(request->substr(lastEvent + 14)) + 1;
        std::string body;
        for (int i = first; i <= 2; ++i)
            body += "id: " + std::to_string(i) + "\ndata: a\n" + (i % 2 == 1 ? "\r\n" : "\n");
        // The first answer breaks off.
        co_await writeRaw(socket, head + (arrivals == 1 ? makeChunk(body + "id: 3\nda") : makeChunk(body + "id: 3\ndata: a\n\n") + "0\r\n\r\n"));
    };
    fixture.addEndpoint(script);
    fixture.addEndpoint(script);
    std::optional<HTTP::Response> response = fixture.callAs("r1", "/stream/a");
    cr_assert(response, "the stream broke off");
    cr_assert_eq(response->body, "id: 1\ndata: a\n\r\nid: 2\ndata: a\n\nid: 3\ndata: a\n\n", "%s", response->body.c_str());
}

// Guards against a stream that lacks its first events reaching the caller as if it were whole, and against another endpoint not being
// asked for it.
Test(FaultyEndpoints, streamThatLacksItsFirstEventsIsNoSuccess)
{
    std::string whole = makeResponse(streamHead, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    for (const std::string& begin : { std::string("id: 2\ndata: b\n\n"), std::string("id: 0\ndata: b\n\n"), std::string("id: 18446744073709551615\ndata: b\n\n") }) {
        for (const std::string& target : { std::string("/single/a"), std::string("/stream/a") }) {
            RawFixture fixture;
            AnswerSequence sequence { { makeResponse(streamHead, begin), whole } };
            sequence.addEndpoints(fixture, 2);
            std::optional<HTTP::Response> response = fixture.callAs("r1", target);
            cr_assert(response, "the stream broke off");
            cr_assert_eq(response->status, target == "/single/a" ? 502 : 200, "status %u, %s", response->status, response->body.c_str());
            if (target == "/stream/a")
                cr_assert_eq(response->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "%s", response->body.c_str());
        }
    }
}

// Guards against a stream without a length appearing complete when its engine's process is killed between two events: the system then ends
// the connection as if the engine had. Also guards against breaking off such a stream of an engine that runs on.
Test(FaultyEndpoints, streamThatEndsTogetherWithItsEngineIsNotWhole)
{
    for (bool isKilled : { true, false }) {
        RawFixture fixture;
        Relay::Workspace workspace;
        workspace.name = "w";
        workspace.keys = { "key" };
        Relay::Service service;
        service.name = "service";
        service.engine = Relay::EngineTraits {};
        std::vector<Relay::Route> routes { makeRoute("/stream/", true, false, true, 2) };
        fixture.configuration = std::make_shared<const Relay::Configuration>(1, routes, std::vector { service }, std::vector { workspace }, true, Relay::CallerLimits {});
        int streams = 0;
        for (size_t i = 0; i < 2; ++i) {
            fixture.addEndpoint([&fixture, &streams, isKilled, i](tcp::socket& socket) -> Core::Task<void> {
                std::optional<std::string> request = co_await readRawRequest(socket);
                if (!request || request->starts_with("GET")) {
                    co_await writeRaw(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n0");
                    co_return;
                }
                bool isResumption = request->find("\r\nLast-Event: 2\r\n") != std::string::npos;
                bool isEnding = ++streams == 1 && isKilled;
                co_await writeRaw(socket, streamHead + "\r\n" + (isResumption ? "" : "id: 1\ndata: a\n\nid: 2\ndata: b\n\n") + (isEnding ? "" : "id: 3\ndata: c\n\n"));
                if (isEnding)
                    fixture.servers.at(i)->acceptor.close();
            });
        }
        std::optional<HTTP::Response> response = fixture.callAs("r1", "/stream/a");
        cr_assert(response, "the stream broke off");
        cr_assert_eq(response->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", "%s", response->body.c_str());
        cr_assert_eq(streams, isKilled ? 2 : 1);
    }
}

// Heads of a faulty endpoint that are no answer, although the parser of HTTP accepts them. Each is followed by other fields and a body.
static std::vector<std::string> makeInvalidHeads()
{
    return { "HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1 999 OK\r\n", "HTTP/1.1 101 OK\r\n\r\nHTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nOdd: a\r\n b: c\r\n",
        "HTTP/1.1 200 OK\r\nO dd: a\r\n", "HTTP/1.1 200 OK\r\nO\x01"
                                          "dd: a\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n", "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n", "HTTP/1.1 503 Full\r\nContent-Encoding: gzip\r\nNot-Run: 1\r\n", "HTTP/1.1 000 Full\r\nNot-Run: 1\r\n" };
}

// Guards against an answer that is none reaching a caller, being taken for a refusal, or being repeated where it may have run, on all
// kinds of routes.
Test(FaultyEndpoints, invalidHeadIsNoAnswer)
{
    std::string accepted;
    for (const std::string& head : makeInvalidHeads()) {
        for (const std::string& target : { std::string("/once/a"), std::string("/again/a"), std::string("/single/a"), std::string("/stream/a") }) {
            RawFixture fixture;
            bool isStream = target == "/single/a" || target == "/stream/a";
            std::string rest = std::string("Id: r1\r\nSeal: s\r\nKeep-Alive: timeout=5\r\n") + (isStream ? "Content-Type: text/event-stream\r\n" : "");
            std::string body = isStream ? "id: 1\ndata: a\n\n" : "body";
            AnswerSequence sequence { { makeResponse(head + rest, body) } };
            sequence.addEndpoints(fixture, 2);
            std::optional<HTTP::Response> response = fixture.callAs("r1", target);
            size_t arrivals = target == "/again/a" || target == "/stream/a" ? 2 : 1;
            if (!response || response->status != 502 || sequence.arrivals != arrivals)
                accepted += head + target + ": " + (response ? std::to_string(response->status) + " " + response->body : "no answer") + ", " + std::to_string(sequence.arrivals) + " arrivals\n";
        }
    }
    cr_assert(accepted.empty(), "%s", accepted.c_str());
}

// Guards against a whole answer or a stream of an endpoint that has not received the whole request appearing complete.
Test(FaultyEndpoints, answerThatEndsBeforeTheUploadIsNoSuccess)
{
    std::string accepted;
    for (const std::string& target : { std::string("/once/a"), std::string("/again/a"), std::string("/single/a"), std::string("/stream/a") }) {
        for (bool isReset : { false, true }) {
            RawFixture fixture;
            RawServer::Script script = [&](tcp::socket& socket) -> Core::Task<void> {
                std::array<char, 4096> bytes {};
                co_await socket.async_read_some(boost::asio::buffer(bytes), TestSupport::rawTuple);
                co_await writeRaw(socket, (target == "/single/a" || target == "/stream/a" ? streamHead + "\r\n" : "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n\r\n") + "id: 1\ndata: a\n\n");
                boost::system::error_code ignored;
                socket.shutdown(tcp::socket::shutdown_send, ignored);
                co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(20)));
                if (isReset)
                    TestSupport::resetConnection(socket);
            };
            for (int i = 0; i < 2; ++i)
                fixture.addEndpoint(script).acceptor.set_option(boost::asio::socket_base::receive_buffer_size(4'096));
            HTTP::Request request { "POST", target, { { "Id", "r1" }, { "Key", "key" }, { "Timeout", "2000" } }, std::string(200'000, 'x') };
            std::optional<HTTP::Response> response = fixture.call(std::move(request));
            if (response && response->status / 100 == 2)
                accepted += target + (isReset ? ", reset" : "") + ": " + std::to_string(response->status) + " " + response->body + "\n";
        }
    }
    cr_assert(accepted.empty(), "%s", accepted.c_str());
}

// Guards against taking an answer that is none for the proof that an engine runs.
Test(FaultyEndpoints, invalidStatusAnswerIsNoEvidence)
{
    for (const std::string& head : makeInvalidHeads()) {
        RawFixture fixture;
        fixture.addEndpoint([head](tcp::socket& socket) -> Core::Task<void> {
            if (co_await readRawRequest(socket))
                co_await writeRaw(socket, makeResponse(head, "0"));
        });
        Relay::CrashCheck check(fixture.context.get_executor(), fixture.client, fixture.selector, makeCodec(), std::chrono::milliseconds(500));
        Relay::EngineState state = TestSupport::runTask(fixture.context, check.check(*fixture.directory.find("e1")));
        cr_assert(state == Relay::EngineState::Unknown, "%s", head.c_str());
    }
}
