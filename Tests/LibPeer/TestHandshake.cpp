// Boost's headers come before Criterion's, whose macro Test they would expand.
#include "RawPeer.h"
#include <boost/asio/write.hpp>

#include "Fixture.h"
#include "Handshake.h"
#include <random>

using namespace Peer;

static Hello helloOf(uint64_t version)
{
    return { version, { "raw", 1, "elsewhere" }, "0123456789abcdef0123456789abcdef", "" };
}

// Opens a link as the given peer does; the result is the acceptor's hello.
static Core::Task<std::optional<Hello>> shakeHands(RawPeer& peer, Core::Address address, std::string key)
{
    co_await peer.connect(address);
    Hello hello = helloOf(protocolVersion);
    co_await peer.sendFrame(hello);
    std::optional<Hello> answer = co_await peer.receiveFrame<Hello>();
    if (answer)
        co_await peer.sendFrame(Proof { proofOf(key, Role::Opener, hello, *answer) });
    co_return answer;
}

// Guards against a daemon with another key, at either end.
Test(Handshake, wrongKey, .timeout = 60)
{
    Fixture fixture("another secret");
    Core::Reason reason;
    cr_assert_not(fixture.call("echo", "", Core::Deadline::after(20s), reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Unavailable);
    cr_assert_eq(fixture.first.counters().linksRefused, 1u);
    fixture.run([](Fixture& fixture) -> Core::Task<void> {
        RawPeer peer(fixture.context.get_executor());
        cr_assert(co_await shakeHands(peer, fixture.address, "wrong"));
        co_await peer.sendFrame(Call { 1, "echo", "body", 1000 });
        cr_assert(co_await peer.receiveFrame<Refusal>());
        cr_assert_not(co_await peer.receive());
    }(fixture));
    cr_assert_eq(fixture.second.counters().linksRefused, 1u);
}

// Guards against the test peer's handshake being refused for another reason than the one under test.
Test(Handshake, rawPeerWithRightKeyIsServed, .timeout = 60)
{
    Fixture fixture;
    fixture.run([](Fixture& fixture) -> Core::Task<void> {
        RawPeer peer(fixture.context.get_executor());
        std::optional<Hello> hello = co_await shakeHands(peer, fixture.address, "secret");
        cr_assert(hello);
        cr_assert_eq(hello->identity.host, "second");
        co_await peer.sendFrame(Call { 9, "echo", "body", 1000 });
        std::optional<Answer> answer = co_await peer.receiveFrame<Answer>();
        cr_assert(answer);
        cr_assert_eq(answer->id, 9u);
        cr_assert_eq(answer->body, "body");
    }(fixture));
    cr_assert_eq(fixture.second.counters().linksRefused, 0u);
}

// Guards against an acceptor's proof that is reflected to it as the opener's.
Test(Handshake, reflectedProofIsRefused, .timeout = 60)
{
    Fixture fixture;
    fixture.run([](Fixture& fixture) -> Core::Task<void> {
        RawPeer peer(fixture.context.get_executor());
        co_await peer.connect(fixture.address);
        co_await peer.sendFrame(helloOf(protocolVersion));
        std::optional<Hello> answer = co_await peer.receiveFrame<Hello>();
        cr_assert(answer);
        co_await peer.sendFrame(Proof { answer->proof });
        cr_assert(co_await peer.receiveFrame<Refusal>());
    }(fixture));
    cr_assert_eq(fixture.second.counters().linksRefused, 1u);
}

// Guards against a peer of an unknown protocol version, as acceptor.
Test(Handshake, wrongVersionOfOpener, .timeout = 60)
{
    Fixture fixture;
    fixture.run([](Fixture& fixture) -> Core::Task<void> {
        RawPeer peer(fixture.context.get_executor());
        co_await peer.connect(fixture.address);
        co_await peer.sendFrame(helloOf(protocolVersion + 1));
        std::optional<Refusal> refusal = co_await peer.receiveFrame<Refusal>();
        cr_assert(refusal && refusal->message.find("version 2") != std::string::npos);
        cr_assert_not(co_await peer.receive());
    }(fixture));
    cr_assert_eq(fixture.second.counters().linksRefused, 1u);
}

// Guards against an acceptor of an unknown version that is sent calls, and against a call that waits for it in vain.
Test(Handshake, wrongVersionOfAcceptor, .timeout = 60)
{
    Fixture fixture;
    RawPeer::tcp::acceptor acceptor(fixture.context, RawPeer::endpointOf({ "127.0.0.1", 0 }));
    fixture.address.port = acceptor.local_endpoint().port();
    Core::spawn(fixture.context.get_executor(), "acceptor", [](Fixture& fixture, RawPeer::tcp::acceptor& acceptor) -> Core::Task<void> {
        RawPeer peer(fixture.context.get_executor());
        co_await peer.accept(acceptor);
        std::optional<Hello> hello = co_await peer.receiveFrame<Hello>();
        Hello own = helloOf(protocolVersion + 1);
        own.proof = proofOf("secret", Role::Acceptor, hello.value(), own);
        co_await peer.sendFrame(own);
        while (co_await peer.receive())
            continue;
    }(fixture, acceptor));
    Core::Reason reason;
    cr_assert_not(fixture.call("echo", "", Core::Deadline::after(20s), reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Unavailable);
    cr_assert(reason.message.find("version 2") != std::string::npos, "%s", reason.message.c_str());
    cr_assert_eq(fixture.first.counters().linksRefused, 1u);
}

// Guards against calls before the handshake is complete.
Test(Handshake, callBeforeProofIsRefused, .timeout = 60)
{
    Fixture fixture;
    fixture.run([](Fixture& fixture) -> Core::Task<void> {
        RawPeer peer(fixture.context.get_executor());
        co_await peer.connect(fixture.address);
        co_await peer.sendFrame(helloOf(protocolVersion));
        cr_assert(co_await peer.receiveFrame<Hello>());
        co_await peer.sendFrame(Call { 1, "echo", "body", 1000 });
        cr_assert(co_await peer.receiveFrame<Refusal>());
    }(fixture));
}

// Guards against bytes that are no WebSocket request ending the process or stopping the acceptance of links.
Test(Handshake, garbageBeforeWebSocket, .timeout = 60)
{
    Fixture fixture;
    std::mt19937 random(5);
    for (int round = 0; round < 20; ++round) {
        fixture.run([](Fixture& fixture, std::mt19937& random) -> Core::Task<void> {
            RawPeer::tcp::socket socket(fixture.context);
            co_await socket.async_connect(RawPeer::endpointOf(fixture.address), boost::asio::use_awaitable);
            std::string bytes(1 + random() % 3000, ' ');
            for (char& byte : bytes)
                byte = static_cast<char>(random());
            bytes += "\r\n\r\n";
            co_await boost::asio::async_write(socket, boost::asio::buffer(bytes), boost::asio::as_tuple(boost::asio::use_awaitable));
        }(fixture, random));
    }
    fixture.runUntil([&fixture] { return fixture.second.counters().linksRefused == 20; });
    Core::Reason reason;
    cr_assert(fixture.call("echo", "", Core::Deadline::after(20s), reason), "%s", reason.text().c_str());
}

// Guards against mutated frames, before and after the handshake, that crash the acceptor or disturb other links.
Test(Handshake, mutatedFrames, .timeout = 120)
{
    Fixture fixture;
    std::mt19937 random(17);
    for (int round = 0; round < 200; ++round) {
        fixture.run([](Fixture& fixture, std::mt19937& random, bool isOpen) -> Core::Task<void> {
            RawPeer peer(fixture.context.get_executor());
            if (isOpen)
                cr_assert(co_await shakeHands(peer, fixture.address, "secret"));
            else
                co_await peer.connect(fixture.address);
            std::string bytes = isOpen ? encodeFrame(Call { 1, "echo", "body", 1000 }) : encodeFrame(helloOf(protocolVersion));
            for (int flips = 0; flips < 3; ++flips)
                bytes[random() % bytes.size()] = static_cast<char>(random());
            bool isSent = co_await peer.send(bytes);
            // Another malformed frame makes sure that the link ends and the test does not wait for ever.
            if (isSent && co_await peer.send("\xff"))
                while (co_await peer.receive())
                    continue;
        }(fixture, random, round % 2 == 0));
    }
    Core::Reason reason;
    cr_assert(fixture.call("echo", "", Core::Deadline::after(20s), reason), "%s", reason.text().c_str());
}

// Guards against an oversized message that is buffered in full and served.
Test(Handshake, oversizedMessageClosesTheLink, .timeout = 60)
{
    Fixture fixture;
    fixture.run([](Fixture& fixture) -> Core::Task<void> {
        RawPeer peer(fixture.context.get_executor());
        cr_assert(co_await shakeHands(peer, fixture.address, "secret"));
        co_await peer.sendFrame(Call { 1, "echo", std::string(maxFrameBytes + 1, 'x'), 20000 });
        cr_assert_not(co_await peer.receive());
    }(fixture));
    Core::Reason reason;
    cr_assert(fixture.call("echo", "", Core::Deadline::after(20s), reason), "%s", reason.text().c_str());
}

// Guards against answers for unknown calls, or for the calls of another link, that end a call.
Test(Handshake, answerWithUnknownIdIsDropped, .timeout = 60)
{
    Fixture fixture;
    RawPeer::tcp::acceptor acceptor(fixture.context, RawPeer::endpointOf({ "127.0.0.1", 0 }));
    fixture.address.port = acceptor.local_endpoint().port();
    Core::spawn(fixture.context.get_executor(), "acceptor", [](Fixture& fixture, RawPeer::tcp::acceptor& acceptor) -> Core::Task<void> {
        RawPeer peer(fixture.context.get_executor());
        co_await peer.accept(acceptor);
        std::optional<Hello> hello = co_await peer.receiveFrame<Hello>();
        Hello own = helloOf(protocolVersion);
        own.proof = proofOf("secret", Role::Acceptor, hello.value(), own);
        co_await peer.sendFrame(own);
        cr_assert(co_await peer.receiveFrame<Proof>());
        std::optional<Call> call = co_await peer.receiveFrame<Call>();
        co_await peer.sendFrame(Answer { call.value().id + 1, "wrong" });
        co_await peer.sendFrame(Answer { call.value().id, "right" });
        co_await peer.sendFrame(Answer { call.value().id, "again" });
        while (co_await peer.receive())
            continue;
    }(fixture, acceptor));
    Core::Reason reason;
    std::optional<std::string> answer = fixture.call("echo", "", Core::Deadline::after(20s), reason);
    cr_assert(answer, "%s", reason.text().c_str());
    cr_assert_eq(*answer, "right");
}
