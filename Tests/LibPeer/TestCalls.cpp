#include "Fixture.h"

#include "LibCore/Random.h"

static Core::Deadline defaultDeadline()
{
    return Core::Deadline::after(20s);
}

// Guards against answers being delivered to the wrong call when concurrent calls complete out of order.
Test(Calls, answersMatchTheirCalls, .timeout = 60)
{
    Core::seedRandom(11);
    Fixture fixture;
    int pendingCalls = 300;
    int correctAnswers = 0;
    for (int i = 0; i < 300; ++i) {
        bool isDelayed = Core::randomBelow(4) != 0;
        std::string body = std::to_string(isDelayed ? Core::randomBelow(50) * 1000 + static_cast<uint64_t>(i) : static_cast<uint64_t>(i));
        Core::spawn(fixture.context.get_executor(), "call", [](Fixture& fixture, bool isDelayed, std::string body, int& pendingCalls, int& correctAnswers) -> Core::Task<void> {
            Core::Reason reason;
            std::optional<std::string> answer = co_await fixture.first.call(fixture.address, isDelayed ? "shuffled" : "echo", body, defaultDeadline(), reason);
            correctAnswers += answer == body;
            --pendingCalls;
        }(fixture, isDelayed, body, pendingCalls, correctAnswers));
    }
    fixture.second.onCall("shuffled", [](Peer::Identity, std::string body, Core::Reason&) -> Core::Task<std::optional<std::string>> {
        co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(std::stoi(body) / 1000)));
        co_return body;
    });
    fixture.runUntil([&pendingCalls] { return pendingCalls == 0; });
    cr_assert_eq(correctAnswers, 300);
}

// Guards against opening a new connection for each call.
Test(Calls, callsShareOneLink, .timeout = 60)
{
    Fixture fixture;
    Core::Reason reason;
    cr_assert(fixture.call("echo", "1", defaultDeadline(), reason), "%s", reason.text().c_str());
    uint64_t afterOne = fixture.second.counters().messagesReceived;
    for (int i = 0; i < 10; ++i)
        cr_assert(fixture.call("echo", "2", defaultDeadline(), reason));
    cr_assert_eq(fixture.second.counters().messagesReceived, afterOne + 10);
}

// Guards against rejecting frames within the 4 MiB limit, and against oversized frames being sent or closing the link.
Test(Calls, largeFrames, .timeout = 60)
{
    Fixture fixture;
    Core::Reason reason;
    std::string large(4 * 1024 * 1024 - 200, 'x');
    std::optional<std::string> answer = fixture.call("echo", large, defaultDeadline(), reason);
    cr_assert(answer, "%s", reason.text().c_str());
    cr_assert(*answer == large);
    cr_assert_not(fixture.call("echo", std::string(4 * 1024 * 1024, 'x'), defaultDeadline(), reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Invalid);
    fixture.second.onCall("grow", [](Peer::Identity, std::string, Core::Reason&) -> Core::Task<std::optional<std::string>> {
        co_return std::string(5 * 1024 * 1024, 'y');
    });
    cr_assert_not(fixture.call("grow", "", defaultDeadline(), reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Refused);
    cr_assert(fixture.call("echo", "still", defaultDeadline(), reason));
}

// Guards against a failing or throwing handler that leaves the caller waiting or terminates the process.
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
    cr_assert_not(fixture.call("refuse", "", defaultDeadline(), reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Refused);
    cr_assert_eq(reason.message, "no first domain-of-first 7");
    cr_assert_not(fixture.call("throw", "", defaultDeadline(), reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Refused);
    cr_assert_not(fixture.call("unknown", "", defaultDeadline(), reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Refused);
}

// Guards against a late answer being taken for the answer to the next call.
Test(Calls, lateAnswerIsDropped, .timeout = 60)
{
    Fixture fixture;
    Core::Reason reason;
    cr_assert(fixture.call("echo", "open", defaultDeadline(), reason));
    cr_assert_not(fixture.call("delay", "50", Core::Deadline::after(5ms), reason));
    cr_assert_eq(reason.kind, Core::FailureKind::TimedOut);
    std::optional<std::string> answer = fixture.call("delay", "100", defaultDeadline(), reason);
    cr_assert(answer, "%s", reason.text().c_str());
    cr_assert_eq(*answer, "100");
}

// Guards against a call on a closed link being reported as not executed, or waiting until its deadline.
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
    cr_assert_not(fixture.call("echo", "", defaultDeadline(), reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Unavailable, "%s", reason.text().c_str());
}

// Guards against failing to reconnect to a peer that was restarted on the same address.
Test(Calls, peerRestart, .timeout = 60)
{
    Fixture fixture;
    Core::Reason reason;
    cr_assert(fixture.call("echo", "1", defaultDeadline(), reason));
    fixture.second.close();
    Peer::Settings settings = makeSettings("second");
    settings.listenAddress = fixture.address;
    Peer::Network restarted(fixture.context.get_executor(), settings);
    restarted.onCall("echo", [](Peer::Identity, std::string body, Core::Reason&) -> Core::Task<std::optional<std::string>> {
        co_return body + " restarted";
    });
    cr_assert(restarted.listen(reason), "%s", reason.text().c_str());
    std::optional<std::string> answer;
    for (int attempt = 0; attempt < 5 && !answer; ++attempt)
        answer = fixture.call("echo", "2", defaultDeadline(), reason);
    cr_assert(answer, "%s", reason.text().c_str());
    cr_assert_eq(*answer, "2 restarted");
}

// Guards against two daemons listening on one address. A bound address is taken as proof that the earlier process has
// ended.
Test(Calls, addressIsBoundExclusively, .timeout = 60)
{
    Fixture fixture;
    Peer::Settings settings = makeSettings("third");
    settings.listenAddress = fixture.address;
    Peer::Network third(fixture.context.get_executor(), settings);
    Core::Reason reason;
    cr_assert_not(third.listen(reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Unavailable);
}

// Guards against notices being lost while the link is opened, or being delivered out of order.
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

// Guards against blocking only one direction of traffic, and against calls to blocked hosts failing before their
// deadline.
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
                cr_assert(fixture.call("echo", "", defaultDeadline(), reason));
            (blockAtCaller ? fixture.first : fixture.second).setBlockedHosts({ blockAtCaller ? "second" : "first" });
            Core::Deadline deadline = Core::Deadline::after(50ms);
            cr_assert_not(fixture.call("count", "", deadline, reason));
            cr_assert(deadline.hasPassed());
            cr_assert_eq(reason.kind, isOpenBefore ? Core::FailureKind::TimedOut : Core::FailureKind::Unavailable);
            cr_assert_eq(handled, 0);
            fixture.first.setBlockedHosts({});
            fixture.second.setBlockedHosts({});
            cr_assert(fixture.call("count", "", defaultDeadline(), reason), "%s", reason.text().c_str());
            cr_assert_eq(handled, 1);
        }
    }
}

// Guards against silently ignoring an incomplete certificate configuration.
Test(Calls, certificatesAreNotIgnored, .timeout = 60)
{
    boost::asio::io_context context;
    Peer::Settings settings = makeSettings("first");
    settings.certificateFile = "certificate.pem";
    Peer::Network network(context.get_executor(), settings);
    Core::Reason reason;
    cr_assert_not(network.listen(reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Invalid);
}
