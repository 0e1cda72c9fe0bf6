#include "RawServer.h"
#include "RelayFixture.h"

using namespace RelayTest;

namespace {

// A daemon that a cut-off host can pass requests on to.
struct Peer {
    Peer(Fixture& fixture, Fixture::Answer answer)
        : server(fixture.context.get_executor(), [this, answer = std::move(answer)](HTTP::Request request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
            arrivals.push_back(request);
            co_await answer(request, writer);
        })
    {
        Core::Reason reason;
        fixture.relayPeers.push_back(server.listen({ "127.0.0.1", 0 }, reason).value());
    }

    std::vector<HTTP::Request> arrivals;
    HTTP::Server server;
};

Core::Task<void> answerOk(const HTTP::Request& request, HTTP::ResponseWriter& writer)
{
    Core::Reason ignored;
    co_await writer.send({ 200, sealed(request), "answer to " + request.body }, ignored);
}

Core::Task<void> refuseAsCutOff(const HTTP::Request&, HTTP::ResponseWriter& writer)
{
    Core::Reason ignored;
    co_await writer.send({ 503, { { "Retry-After", "0.05" } }, R"({"error":{"code":"cut_off","ran":"not_run"}})" }, ignored);
}

Core::Task<void> breakOff(const HTTP::Request&, HTTP::ResponseWriter& writer)
{
    writer.abort();
    co_return;
}

}

// Guards against failing callers of a host that has lost the paths to all endpoints while its peers reach them.
Test(PeerRelay, cutOffHostPassesRequestsOn)
{
    Fixture fixture;
    fixture.isCutOff = [](const std::string& service) { return service == "service"; };
    Peer peer(fixture, answerOk);
    std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/once/a?b=c", { { "Tokens", "5" } }));
    cr_assert_eq(response->status, 200);
    cr_assert_eq(response->body, "answer to body");
    cr_assert(fixture.arrivals.empty());
    cr_assert_eq(peer.arrivals.at(0).target, "/once/a?b=c");
    cr_assert_eq(HTTP::findHeader(peer.arrivals.at(0).headers, "Key").value(), "key");
    cr_assert(HTTP::findHeader(peer.arrivals.at(0).headers, "Relayed").has_value());
    cr_assert_eq(fixture.relayOutcomes, std::vector<bool> { true });
    // The peer holds and bills the tokens.
    cr_assert(fixture.budgets.describe("w").find("spent=0 held=0") != std::string::npos);
}

// Guards against giving up after one peer that is cut off itself, and against sending more requests to it.
Test(PeerRelay, refusedRequestGoesToTheNextPeer)
{
    Fixture fixture;
    fixture.isCutOff = [](const std::string&) { return true; };
    Peer first(fixture, refuseAsCutOff);
    Peer second(fixture, answerOk);
    cr_assert_eq(fixture.call(fixture.makeRequest("/once/a"))->status, 200);
    cr_assert_eq(first.arrivals.size(), 1);
    cr_assert_eq(fixture.relayOutcomes, (std::vector<bool> { false, true }));
}

// Guards against a refusal that hides when the caller should return.
Test(PeerRelay, lastRefusalGoesToTheCaller)
{
    Fixture fixture;
    fixture.isCutOff = [](const std::string&) { return true; };
    Peer peer(fixture, [](const HTTP::Request&, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        Core::Reason ignored;
        co_await writer.send({ 503, { { "Retry-After", "1.500" } }, R"({"error":{"code":"overloaded","ran":"not_run"}})" }, ignored);
    });
    std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/once/a"));
    cr_assert_eq(response->status, 503);
    cr_assert_eq(HTTP::findHeader(response->headers, "Retry-After").value(), "1.500");
    // A peer without room takes other requests.
    cr_assert_eq(fixture.relayOutcomes, std::vector<bool> { true });
}

// Guards against running a request twice after the peer that it was passed on to has died.
Test(PeerRelay, requestThatMayHaveRunIsNotPassedOnAgain)
{
    Fixture fixture;
    fixture.isCutOff = [](const std::string&) { return true; };
    Peer first(fixture, breakOff);
    Peer second(fixture, answerOk);
    std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/once/a"));
    cr_assert_eq(response->status, 502);
    cr_assert(response->body.find("\"ran\":\"unknown\"") != std::string::npos);
    cr_assert(second.arrivals.empty());
}

// Guards against repeating a request that an endpoint has run and answered with 503.
Test(PeerRelay, answerOfAnEndpointIsNoRefusal)
{
    Fixture fixture;
    fixture.isCutOff = [](const std::string&) { return true; };
    Peer first(fixture, [](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        Core::Reason ignored;
        co_await writer.send({ 503, sealed(request), "answer" }, ignored);
    });
    Peer second(fixture, answerOk);
    std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/again/a"));
    cr_assert_eq(response->status, 503);
    cr_assert_eq(response->body, "answer");
    cr_assert(second.arrivals.empty());
}

// Guards against requests that wander among hosts that are all cut off.
Test(PeerRelay, relayedRequestIsNotPassedOnAgain)
{
    Fixture fixture;
    fixture.isCutOff = [](const std::string&) { return true; };
    Peer peer(fixture, answerOk);
    std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/once/a", { { "Relayed", "1" } }));
    cr_assert_eq(response->status, 503);
    cr_assert(response->body.find("\"code\":\"cut_off\"") != std::string::npos);
    cr_assert(peer.arrivals.empty());
    cr_assert(fixture.arrivals.empty());
}

// Guards against holding a request of a host that is alone until its time is over.
Test(PeerRelay, requestIsRefusedWithoutPeers)
{
    Fixture fixture;
    fixture.isCutOff = [](const std::string&) { return true; };
    std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/once/a"));
    cr_assert_eq(response->status, 503);
    cr_assert(HTTP::findHeader(response->headers, "Retry-After").has_value());
}

// Guards against failing the request by which the host notices that it is cut off.
Test(PeerRelay, requestThatFindsNoEndpointIsPassedOn)
{
    Fixture fixture(0);
    for (int i = 0; i < 2; ++i) {
        boost::asio::ip::tcp::acceptor closed(fixture.context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
        Relay::Endpoint endpoint;
        endpoint.id = "closed" + std::to_string(i);
        endpoint.service = "service";
        endpoint.address = { "127.0.0.1", closed.local_endpoint().port() };
        fixture.directory.put(endpoint);
    }
    size_t failures = 0;
    fixture.client->onConnectAttempt([&failures](const HTTP::ConnectAttempt& attempt) { failures += attempt.outcome == HTTP::ConnectAttempt::Outcome::Refused ? 1 : 0; });
    fixture.isCutOff = [&failures](const std::string&) { return failures >= 2; };
    Peer peer(fixture, answerOk);
    cr_assert_eq(fixture.call(fixture.makeRequest("/once/a", { { "Tokens", "5" } }))->status, 200);
    cr_assert_eq(peer.arrivals.size(), 1);
    cr_assert(fixture.budgets.describe("w").find("spent=0 held=0") != std::string::npos);
}

static Fixture::Answer streamOf(std::vector<std::string> events, bool isWhole)
{
    return [events = std::move(events), isWhole](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        Core::Reason ignored;
        co_await writer.startStream(200, sealed(request), ignored);
        for (const std::string& event : events)
            co_await writer.writeChunk(event, ignored);
        if (isWhole)
            co_await writer.finishStream(ignored);
        else
            writer.abort();
    };
}

// Guards against altering a stream on its way through a peer.
Test(PeerRelay, streamIsPassedOn)
{
    Fixture fixture;
    fixture.isCutOff = [](const std::string&) { return true; };
    Peer peer(fixture, streamOf({ "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n" }, true));
    std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/stream/a"));
    cr_assert_eq(response->status, 200);
    cr_assert_eq(response->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Guards against a stream that breaks off at the peer and looks complete to the caller.
Test(PeerRelay, brokenStreamStaysBroken)
{
    Fixture fixture;
    fixture.isCutOff = [](const std::string&) { return true; };
    Peer peer(fixture, streamOf({ "id: 1\ndata: a\n\n" }, false));
    cr_assert(!fixture.call(fixture.makeRequest("/stream/a")));
}
