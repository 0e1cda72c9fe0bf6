#include "Fixture.h"

#include "LibCore/Random.h"

static Core::Deadline soon()
{
    return Core::Deadline::after(20s);
}

// Guards against answers that reach another call than their own: many calls at once end in another order than they
// were sent in.
Test(Calls, answersAreNeverCrossed, .timeout = 60)
{
    Core::seedRandom(11);
    Fixture fixture;
    int waiting = 300;
    int right = 0;
    for (int i = 0; i < 300; ++i) {
        bool isDelayed = Core::randomBelow(4) != 0;
        std::string body = std::to_string(isDelayed ? Core::randomBelow(50) * 1000 + static_cast<uint64_t>(i) : static_cast<uint64_t>(i));
        Core::spawn(fixture.context.get_executor(), "call", [](Fixture& fixture, bool isDelayed, std::string body, int& waiting, int& right) -> Core::Task<void> {
            Core::Reason reason;
            std::optional<std::string> answer = co_await fixture.first.call(fixture.address, isDelayed ? "shuffled" : "echo", body, soon(), reason);
            right += answer == body;
            --waiting;
        }(fixture, isDelayed, body, waiting, right));
    }
    fixture.second.onCall("shuffled", [](Peer::Identity, std::string body, Core::Reason&) -> Core::Task<std::optional<std::string>> {
        co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(std::stoi(body) / 1000)));
        co_return body;
    });
    fixture.runUntil([&waiting] { return waiting == 0; });
    cr_assert_eq(right, 300);
}

// Guards against calls that each open a connection of their own.
Test(Calls, callsShareOneLink, .timeout = 60)
{
    Fixture fixture;
    Core::Reason reason;
    cr_assert(fixture.call("echo", "1", soon(), reason), "%s", reason.text().c_str());
    uint64_t afterOne = fixture.second.counters().messagesReceived;
    for (int i = 0; i < 10; ++i)
        cr_assert(fixture.call("echo", "2", soon(), reason));
    cr_assert_eq(fixture.second.counters().messagesReceived, afterOne + 10);
}

// Guards against a limit below the permitted size, and against frames over 4 MB that are sent or that break the link.
Test(Calls, largeFrames, .timeout = 60)
{
    Fixture fixture;
    Core::Reason reason;
    std::string large(4 * 1024 * 1024 - 200, 'x');
    std::optional<std::string> answer = fixture.call("echo", large, soon(), reason);
    cr_assert(answer, "%s", reason.text().c_str());
    cr_assert(*answer == large);
    cr_assert_not(fixture.call("echo", std::string(4 * 1024 * 1024, 'x'), soon(), reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Invalid);
    fixture.second.onCall("grow", [](Peer::Identity, std::string, Core::Reason&) -> Core::Task<std::optional<std::string>> {
        co_return std::string(5 * 1024 * 1024, 'y');
    });
    cr_assert_not(fixture.call("grow", "", soon(), reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Refused);
    cr_assert(fixture.call("echo", "still", soon(), reason));
}

// Guards against a failed handler that leaves its caller waiting or ends the process.
Test(Calls, failedHandlersAreRefusals, .timeout = 60)
{
    Fixture fixture;
    fixture.second.onCall("refuse", [](Peer::Identity from, std::string, Core::Reason& reason) -> Core::Task<std::optional<std::string>> {
        reason.message = "no " + from.host + " " + from.failureDomain + " " + std::to_string(from.incarnation);
        co_return std::nullopt;
    });
    fixture.second.onCall("throw", [](Peer::Identity, std::string, Core::Reason&) -> Core::Task<std::optional<std::string>> {
        throw std::runtime_error("defect");
        co_return std::nullopt;
    });
    Core::Reason reason;
    cr_assert_not(fixture.call("refuse", "", soon(), reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Refused);
    cr_assert_eq(reason.message, "no first domain-of-first 7");
    cr_assert_not(fixture.call("throw", "", soon(), reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Refused);
    cr_assert_not(fixture.call("unknown", "", soon(), reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Refused);
}

// Guards against a late answer that is taken for the answer of the next call.
Test(Calls, lateAnswerIsDropped, .timeout = 60)
{
    Fixture fixture;
    Core::Reason reason;
    cr_assert(fixture.call("echo", "open", soon(), reason));
    cr_assert_not(fixture.call("delay", "50", Core::Deadline::after(5ms), reason));
    cr_assert_eq(reason.kind, Core::FailureKind::TimedOut);
    std::optional<std::string> answer = fixture.call("delay", "100", soon(), reason);
    cr_assert(answer, "%s", reason.text().c_str());
    cr_assert_eq(*answer, "100");
}

// Guards against a call on a broken link that claims to have had no effect, or that waits for its deadline.
Test(Calls, brokenLinkLeavesOutcomeUnknown, .timeout = 60)
{
    Fixture fixture;
    fixture.second.onCall("hang", [&fixture](Peer::Identity, std::string, Core::Reason&) -> Core::Task<std::optional<std::string>> {
        fixture.second.close();
        co_return std::nullopt;
    });
    Core::Reason reason;
    cr_assert_not(fixture.call("hang", "", Core::Deadline::never(), reason));
    cr_assert_eq(reason.kind, Core::FailureKind::OutcomeUnknown);
    cr_assert_not(fixture.call("echo", "", soon(), reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Unavailable, "%s", reason.text().c_str());
}

// Guards against a peer that cannot be reached again after its restart on the same address.
Test(Calls, peerRestart, .timeout = 60)
{
    Fixture fixture;
    Core::Reason reason;
    cr_assert(fixture.call("echo", "1", soon(), reason));
    fixture.second.close();
    Peer::Settings settings = settingsOf("second");
    settings.listenAddress = fixture.address;
    Peer::Network restarted(fixture.context.get_executor(), settings);
    restarted.onCall("echo", [](Peer::Identity, std::string body, Core::Reason&) -> Core::Task<std::optional<std::string>> {
        co_return body + " restarted";
    });
    cr_assert(restarted.listen(reason), "%s", reason.text().c_str());
    std::optional<std::string> answer;
    for (int attempt = 0; attempt < 5 && !answer; ++attempt)
        answer = fixture.call("echo", "2", soon(), reason);
    cr_assert(answer, "%s", reason.text().c_str());
    cr_assert_eq(*answer, "2 restarted");
}

// Guards against two daemons on one address: the address proves that the earlier process is gone.
Test(Calls, addressIsBoundExclusively, .timeout = 60)
{
    Fixture fixture;
    Peer::Settings settings = settingsOf("third");
    settings.listenAddress = fixture.address;
    Peer::Network third(fixture.context.get_executor(), settings);
    Core::Reason reason;
    cr_assert_not(third.listen(reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Unavailable);
}

// Guards against notices that are lost while the link opens, or that arrive out of order.
Test(Calls, noticesKeepTheirOrder, .timeout = 60)
{
    Fixture fixture;
    std::string received;
    fixture.second.onNotice("note", [&received](const Peer::Identity& from, std::string body) { received += from.host + body + ";"; });
    for (int i = 0; i < 5; ++i)
        fixture.first.notify(fixture.address, "note", std::to_string(i));
    std::string expected = "first0;first1;first2;first3;first4;";
    fixture.runUntil([&] { return received.size() >= expected.size(); });
    cr_assert_eq(received, expected);
}

// Guards against a fault switch that lets traffic pass in one direction or fails calls before their deadline.
Test(Calls, blockedHosts, .timeout = 60)
{
    for (bool blockAtCaller : { true, false }) {
        for (bool isOpenBefore : { true, false }) {
            Fixture fixture;
            int handled = 0;
            fixture.second.onCall("count", [&handled](Peer::Identity, std::string, Core::Reason&) -> Core::Task<std::optional<std::string>> {
                ++handled;
                co_return "";
            });
            Core::Reason reason;
            if (isOpenBefore)
                cr_assert(fixture.call("echo", "", soon(), reason));
            (blockAtCaller ? fixture.first : fixture.second).setBlockedHosts({ blockAtCaller ? "second" : "first" });
            Core::Deadline deadline = Core::Deadline::after(50ms);
            cr_assert_not(fixture.call("count", "", deadline, reason));
            cr_assert(deadline.hasPassed());
            cr_assert_eq(reason.kind, isOpenBefore ? Core::FailureKind::TimedOut : Core::FailureKind::Unavailable);
            cr_assert_eq(handled, 0);
            fixture.first.setBlockedHosts({});
            fixture.second.setBlockedHosts({});
            cr_assert(fixture.call("count", "", soon(), reason), "%s", reason.text().c_str());
            cr_assert_eq(handled, 1);
        }
    }
}

// Guards against certificates that are configured and silently ignored.
Test(Calls, certificatesAreNotIgnored, .timeout = 60)
{
    boost::asio::io_context context;
    Peer::Settings settings = settingsOf("first");
    settings.certificateFile = "certificate.pem";
    Peer::Network network(context.get_executor(), settings);
    Core::Reason reason;
    cr_assert_not(network.listen(reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Invalid);
}
