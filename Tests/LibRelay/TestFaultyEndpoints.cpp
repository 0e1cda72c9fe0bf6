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
