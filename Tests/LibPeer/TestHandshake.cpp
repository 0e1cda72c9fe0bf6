// The Boost headers must precede Criterion, whose macro Test would otherwise be expanded in them.
#include "RawPeer.h"
#include <boost/asio/write.hpp>

#include "Fixture.h"
#include "Handshake.h"
#include <random>

using namespace Peer;

static Hello makeHello(uint64_t version)
{
    return { version, { "raw", 1, "elsewhere" }, "0123456789abcdef0123456789abcdef", "" };
}

// Performs the handshake as the opener. Returns the acceptor's hello.
static Core::Task<std::optional<Hello>> performHandshake(RawPeer& peer, Core::Address address, std::string key)
{
    co_await peer.connect(address);
    Hello hello = makeHello(protocolVersion);
    co_await peer.sendFrame(hello);
    std::optional<Hello> answer = co_await peer.receiveFrame<Hello>();
    if (answer)
        co_await peer.sendFrame(Proof { computeProof(key, Role::Opener, hello, *answer) });
    co_return answer;
}

// Guards against accepting a peer with another key, at either end of the link.
Test(Handshake, wrongKey, .timeout = 60)
{
    Fixture fixture("another secret");
    Core::Reason reason;
    cr_assert_not(fixture.call("echo", "", Core::Deadline::after(20s), reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Unavailable);
    cr_assert_eq(fixture.first.counters().linksRefused, 1u);
    fixture.run([](Fixture& fixture) -> Core::Task<void> {
        RawPeer peer(fixture.context.get_executor());
        cr_assert(co_await performHandshake(peer, fixture.address, "wrong"));
        co_await peer.sendFrame(Call { 1, "echo", "body", 1000 });
        cr_assert(co_await peer.receiveFrame<Refusal>());
        cr_assert_not(co_await peer.receive());
    }(fixture));
    cr_assert_eq(fixture.second.counters().linksRefused, 1u);
}

// Checks that RawPeer is accepted with the right key, so that the refusals in the other tests have the intended cause.
Test(Handshake, rawPeerWithRightKeyIsServed, .timeout = 60)
{
    Fixture fixture;
    fixture.run([](Fixture& fixture) -> Core::Task<void> {
        RawPeer peer(fixture.context.get_executor());
        std::optional<Hello> hello = co_await performHandshake(peer, fixture.address, "secret");
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

// Guards against buffering large messages of many ends that have not shown the key.
Test(Handshake, largeMessageBeforeTheHandshakeClosesTheConnection, .timeout = 60)
{
    Fixture fixture;
    fixture.run([](Fixture& fixture) -> Core::Task<void> {
        RawPeer peer(fixture.context.get_executor());
        co_await peer.connect(fixture.address);
        co_await peer.sendFrame(Call { 1, "echo", std::string(1024 * 1024, 'x'), 1000 });
        // A message that had been received would be refused.
        cr_assert_not(co_await peer.receiveFrame<Refusal>());
    }(fixture));
    // Afterwards large messages pass.
    Core::Reason reason;
    std::string body(1024 * 1024, 'x');
    cr_assert(fixture.call("echo", body, Core::Deadline::after(20s), reason), "%s", reason.text().c_str());
}

// Guards against a reflection attack, in which the acceptor's own proof is sent back as the opener's.
Test(Handshake, reflectedProofIsRefused, .timeout = 60)
{
    Fixture fixture;
    fixture.run([](Fixture& fixture) -> Core::Task<void> {
        RawPeer peer(fixture.context.get_executor());
        co_await peer.connect(fixture.address);
        co_await peer.sendFrame(makeHello(protocolVersion));
        std::optional<Hello> answer = co_await peer.receiveFrame<Hello>();
        cr_assert(answer);
        co_await peer.sendFrame(Proof { answer->proof });
        cr_assert(co_await peer.receiveFrame<Refusal>());
    }(fixture));
    cr_assert_eq(fixture.second.counters().linksRefused, 1u);
}

// Guards against accepting an opener with an unsupported protocol version.
Test(Handshake, wrongVersionOfOpener, .timeout = 60)
{
    Fixture fixture;
    fixture.run([](Fixture& fixture) -> Core::Task<void> {
        RawPeer peer(fixture.context.get_executor());
        co_await peer.connect(fixture.address);
        co_await peer.sendFrame(makeHello(protocolVersion + 1));
        std::optional<Refusal> refusal = co_await peer.receiveFrame<Refusal>();
        cr_assert(refusal && refusal->message.find("version 2") != std::string::npos);
        cr_assert_not(co_await peer.receive());
    }(fixture));
    cr_assert_eq(fixture.second.counters().linksRefused, 1u);
}

// Guards against sending calls to an acceptor with an unsupported protocol version, and against such a call waiting
// until its deadline.
Test(Handshake, wrongVersionOfAcceptor, .timeout = 60)
{
    Fixture fixture;
    RawPeer::tcp::acceptor acceptor(fixture.context, RawPeer::endpointOf({ "127.0.0.1", 0 }));
    fixture.address.port = acceptor.local_endpoint().port();
    Core::spawn(fixture.context.get_executor(), "acceptor", [](Fixture& fixture, RawPeer::tcp::acceptor& acceptor) -> Core::Task<void> {
        RawPeer peer(fixture.context.get_executor());
        co_await peer.accept(acceptor);
        std::optional<Hello> hello = co_await peer.receiveFrame<Hello>();
        Hello own = makeHello(protocolVersion + 1);
        own.proof = computeProof("secret", Role::Acceptor, hello.value(), own);
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

// Guards against handling calls before the handshake is complete.
Test(Handshake, callBeforeProofIsRefused, .timeout = 60)
{
    Fixture fixture;
    fixture.run([](Fixture& fixture) -> Core::Task<void> {
        RawPeer peer(fixture.context.get_executor());
        co_await peer.connect(fixture.address);
        co_await peer.sendFrame(makeHello(protocolVersion));
        cr_assert(co_await peer.receiveFrame<Hello>());
        co_await peer.sendFrame(Call { 1, "echo", "body", 1000 });
        cr_assert(co_await peer.receiveFrame<Refusal>());
    }(fixture));
}

// Guards against bytes other than a WebSocket request terminating the process or stopping the accept loop.
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

// Guards against corrupted frames, before and after the handshake, that crash the acceptor or affect other links.
Test(Handshake, mutatedFrames, .timeout = 120)
{
    Fixture fixture;
    std::mt19937 random(17);
    for (int round = 0; round < 200; ++round) {
        fixture.run([](Fixture& fixture, std::mt19937& random, bool isOpen) -> Core::Task<void> {
            RawPeer peer(fixture.context.get_executor());
            if (isOpen)
                cr_assert(co_await performHandshake(peer, fixture.address, "secret"));
            else
                co_await peer.connect(fixture.address);
            std::string bytes = isOpen ? encodeFrame(Call { 1, "echo", "body", 1000 }) : encodeFrame(makeHello(protocolVersion));
            for (int flips = 0; flips < 3; ++flips)
                bytes[random() % bytes.size()] = static_cast<char>(random());
            bool isSent = co_await peer.send(bytes);
            // The corrupted frame may still be valid. A malformed one ensures that the link is closed.
            if (isSent && co_await peer.send("\xff"))
                while (co_await peer.receive())
                    continue;
        }(fixture, random, round % 2 == 0));
    }
    Core::Reason reason;
    cr_assert(fixture.call("echo", "", Core::Deadline::after(20s), reason), "%s", reason.text().c_str());
}

// Guards against buffering and handling an oversized message.
Test(Handshake, oversizedMessageClosesTheLink, .timeout = 60)
{
    Fixture fixture;
    fixture.run([](Fixture& fixture) -> Core::Task<void> {
        RawPeer peer(fixture.context.get_executor());
        cr_assert(co_await performHandshake(peer, fixture.address, "secret"));
        co_await peer.sendFrame(Call { 1, "echo", std::string(maxFrameBytes + 1, 'x'), 20000 });
        cr_assert_not(co_await peer.receive());
    }(fixture));
    Core::Reason reason;
    cr_assert(fixture.call("echo", "", Core::Deadline::after(20s), reason), "%s", reason.text().c_str());
}

// Guards against an answer with an unknown id completing a pending call.
Test(Handshake, answerWithUnknownIdIsDropped, .timeout = 60)
{
    Fixture fixture;
    RawPeer::tcp::acceptor acceptor(fixture.context, RawPeer::endpointOf({ "127.0.0.1", 0 }));
    fixture.address.port = acceptor.local_endpoint().port();
    Core::spawn(fixture.context.get_executor(), "acceptor", [](Fixture& fixture, RawPeer::tcp::acceptor& acceptor) -> Core::Task<void> {
        RawPeer peer(fixture.context.get_executor());
        co_await peer.accept(acceptor);
        std::optional<Hello> hello = co_await peer.receiveFrame<Hello>();
        Hello own = makeHello(protocolVersion);
        own.proof = computeProof("secret", Role::Acceptor, hello.value(), own);
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
