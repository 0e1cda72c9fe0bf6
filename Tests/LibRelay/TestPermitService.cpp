#include "LibCore/Random.h"
#include "LibRelay/PermitService.h"
#include "RunTask.h"
#include <algorithm>
#include <deque>
#include <memory>
#include <vector>

using namespace Relay;
using std::chrono::milliseconds;
using TimePoint = Core::SteadyClock::time_point;

static const TimePoint start { std::chrono::hours(1) };
static constexpr double limitPerSecond = 4;
// The limit of the platform: most requests that an endpoint may get in 4 s.
static constexpr std::chrono::seconds window(4);
static constexpr size_t mostInWindow = static_cast<size_t>(1.5 * limitPerSecond * 4 + 5);

// A daemon that issues the permits of all endpoints, unless the test says otherwise.
struct PermitDaemon {
    std::optional<Core::Address> issuer;
    size_t daemons { 1 };
    bool isFleetCurrent { true };
    std::function<std::optional<PermitReply>(const PermitRequest&)> answer;
    PermitService service { makeHooks() };

    PermitHooks makeHooks()
    {
        PermitHooks hooks;
        hooks.issuerOf = [this](const std::string&) { return issuer; };
        hooks.request = [this](Core::Address, PermitRequest request, Core::Reason&) -> Core::Task<std::optional<PermitReply>> { co_return answer ? answer(request) : std::nullopt; };
        hooks.daemons = [this] { return daemons; };
        hooks.isFleetCurrent = [this] { return isFleetCurrent; };
        return hooks;
    }
};

// The most requests in any window.
static size_t busiestWindow(const std::vector<TimePoint>& requests)
{
    std::deque<TimePoint> recent;
    size_t most = 0;
    for (TimePoint at : requests) {
        recent.push_back(at);
        while (at - recent.front() > window)
            recent.pop_front();
        most = std::max(most, recent.size());
    }
    return most;
}

// Guards against an issuer that admits more than the limit, or leaves much of it unused, whatever the times of the requests.
Test(PermitService, issuerKeepsTheLimit)
{
    PermitDaemon daemon;
    daemon.service.setAnnounced(start - PermitService::settlingTime);
    std::vector<TimePoint> admitted;
    std::mt19937_64 random(1);
    for (TimePoint now = start; now < start + std::chrono::seconds(60); now += milliseconds(random() % 50)) {
        if (daemon.service.serve({ "e", limitPerSecond }, now)->isGranted)
            admitted.push_back(now);
    }
    cr_assert_leq(busiestWindow(admitted), static_cast<size_t>(limitPerSecond * 4 * 1.25 + 1), "%zu", busiestWindow(admitted));
    cr_assert_geq(admitted.size(), static_cast<size_t>(limitPerSecond * 60 * 0.95), "%zu", admitted.size());
}

// Guards against two daemons that issue permits for one endpoint at a time: one that has just joined, whose announcement has not reached
// all others, one whose list of daemons is old, one that has another one on its list, and one that is about to leave.
Test(PermitService, onlyASettledIssuerWithACurrentListIssues)
{
    const PermitRequest request { "e", limitPerSecond };
    PermitDaemon daemon;
    cr_assert_not(daemon.service.serve(request, start));
    daemon.service.setAnnounced(start);
    cr_assert_not(daemon.service.serve(request, start + PermitService::maxFleetAge));
    TimePoint settledAt = start + PermitService::settlingTime;
    cr_assert(daemon.service.serve(request, settledAt)->isGranted);
    daemon.isFleetCurrent = false;
    cr_assert_not(daemon.service.serve(request, settledAt + milliseconds(500)));
    daemon.isFleetCurrent = true;
    daemon.issuer = Core::Address { "10.0.0.1", 1 };
    cr_assert_not(daemon.service.serve(request, settledAt + milliseconds(500)));
    daemon.issuer = std::nullopt;
    cr_assert(daemon.service.serve(request, settledAt + milliseconds(500))->isGranted);
    daemon.service.setAnnounced(settledAt + milliseconds(500));
    cr_assert_not(daemon.service.serve(request, settledAt + milliseconds(1'000)));
    daemon.service.stop();
    cr_assert_not(daemon.service.serve(request, settledAt + std::chrono::seconds(60)));
    static_assert(PermitService::settlingTime > PermitService::maxFleetAge);
}

// Guards against daemons that together exceed the limit while the issuer answers only some of them: all others begin to use their own
// shares at the same moment, and each has more requests than its share.
Test(PermitService, ownSharesAndTheIssuerTogetherKeepTheLimit)
{
    for (size_t count : { size_t { 6 }, size_t { 87 }, size_t { 295 } }) {
        Core::seedRandom(count);
        PermitDaemon issuer;
        issuer.service.setAnnounced(start - PermitService::settlingTime);
        std::vector<std::unique_ptr<PermitDaemon>> others;
        for (size_t i = 1; i < count; ++i) {
            others.push_back(std::make_unique<PermitDaemon>());
            others.back()->daemons = count;
        }
        std::vector<TimePoint> sent;
        for (TimePoint now = start; now < start + std::chrono::seconds(60); now += milliseconds(20)) {
            if (issuer.service.serve({ "e", limitPerSecond }, now)->isGranted)
                sent.push_back(now);
            for (const std::unique_ptr<PermitDaemon>& daemon : others) {
                if (daemon->service.takeOwnShare({ "e", limitPerSecond }, now).isGranted)
                    sent.push_back(now);
            }
        }
        cr_assert_leq(busiestWindow(sent), mostInWindow, "%zu daemons: %zu", count, busiestWindow(sent));
        cr_assert_gt(sent.size(), static_cast<size_t>(limitPerSecond * 60 * 1.1));
    }
}

// Guards against using an endpoint with a limit before the number of daemons is known.
Test(PermitService, noOwnShareWithoutAListOfDaemons)
{
    PermitDaemon daemon;
    daemon.daemons = 0;
    for (int i = 0; i < 1'000; ++i)
        cr_assert_not(daemon.service.takeOwnShare({ "e", 1'000 }, start + milliseconds(i)).isGranted);
}

// Guards against using the own share on top of the issuer's answer, and against waiting long for an endpoint whose limit may end.
Test(PermitService, ownShareIsUsedOnlyWithoutAnIssuer)
{
    boost::asio::io_context context;
    PermitDaemon daemon;
    daemon.issuer = Core::Address { "10.0.0.1", 1 };
    daemon.answer = [](const PermitRequest&) { return PermitReply { false, 40 }; };
    PermitService::Permit permit = TestSupport::runTask(context, daemon.service.acquire("e", 1'000'000));
    cr_assert(!permit.isOwnShare && permit.reply == PermitReply({ false, 40 }));
    daemon.answer = {};
    cr_assert(TestSupport::runTask(context, daemon.service.acquire("e", 1'000'000)).isOwnShare);
    permit = TestSupport::runTask(context, daemon.service.acquire("f", 0));
    cr_assert(!permit.reply.isGranted && permit.reply.retryAfterMs > 0 && permit.reply.retryAfterMs <= 500);
}
