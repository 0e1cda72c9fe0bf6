#include "LibRelay/HostLoad.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

using namespace Relay;
using std::chrono::milliseconds;

namespace {

constexpr double linkBytesPerSecond = 1.25e6;
constexpr size_t requestBytes = 2'900 + 300;
constexpr double answerBytes = 20 * 85;
constexpr double refusalBytes = 300;
constexpr milliseconds connectTimeout(400);
constexpr milliseconds answerTime(200);
constexpr milliseconds callerTimeout(1'500);
constexpr int callerCount = 100;
constexpr int domainCount = 3;
// Other hosts of the failure domain, with which this one takes turns out of rotation.
constexpr size_t domainHosts = 8;
// Time until the load balancer sends no new connections to a host that is not ready.
constexpr double balancerDelayMs = 2'000;

// The failure domain of the endpoint with a name such as e12.
std::string domainOf(const std::string& endpoint)
{
    return "z" + std::to_string(std::stoi(endpoint.substr(1)) % domainCount);
}

// One direction of a link: a queue without bound.
struct Direction {
    double busyUntilMs { 0 };

    // Returns when the last of the bytes, which are sent now, has arrived.
    double send(double bytes, double nowMs)
    {
        busyUntilMs = std::max(busyUntilMs, nowMs) + bytes / linkBytesPerSecond * 1'000;
        return busyUntilMs;
    }
    double delayMs(double nowMs) const { return std::max(0.0, busyUntilMs - nowMs); }
};

struct Tally {
    int offered { 0 };
    int refused { 0 };
    // Answered within the caller's timeout.
    int served { 0 };
    int connectTimeouts { 0 };

    int lateOrLost() const { return offered - refused - served; }
};

// A host behind a link, with callers, which have one connection each and send a hundredth of the requests each, and many endpoints on the other side. Steps of 1 ms.
struct Host {
    explicit Host(uint64_t seed = 1, bool isLimited = true)
        : load({ linkBytesPerSecond, 0, 0 }, seed)
        , isLimited(isLimited)
    {
        sample.callerConnections = callerCount;
        load.setRotation(static_cast<size_t>(seed), domainHosts, at() - milliseconds(60'000));
        load.record(sample, at());
    }

    HostLoad load;
    double answerSize { answerBytes };
    milliseconds answerDelay { answerTime };
    milliseconds callerLimit { callerTimeout };
    bool isLimited;
    // The host's clock less that of the others.
    milliseconds clockError { 0 };
    HostSample sample;
    Direction in;
    Direction out;
    double nowMs { 0 };
    double due { 0 };
    int endpoint { 0 };
    int arrivalsSoFar { 0 };
    // Callers whose connection was closed while the load balancer sent new ones elsewhere.
    std::set<int> transferredCallers;
    std::multimap<double, std::function<void()>> events;
    // By priority.
    std::map<int, Tally> tallies;
    std::vector<double> notReadySince;
    double notReadyMs { 0 };
    double longestNotReadyMs { 0 };
    bool wasReady { true };

    HostLoad::TimePoint at() const { return HostLoad::TimePoint {} + std::chrono::microseconds(static_cast<int64_t>(nowMs * 1'000)); }

    void recordSample()
    {
        sample.wallTime = milliseconds(static_cast<int64_t>(nowMs)) + clockError;
        load.record(sample, at());
    }

    void arrive(int priority)
    {
        int caller = arrivalsSoFar % callerCount;
        if (transferredCallers.contains(caller))
            return;
        Tally& tally = tallies[priority];
        ++tally.offered;
        double sentMs = nowMs;
        events.emplace(in.send(static_cast<double>(requestBytes), nowMs), [this, &tally, priority, sentMs, caller] {
            if (isLimited && load.shedsConnection() && notReadyMs > balancerDelayMs)
                transferredCallers.insert(caller);
            receive(tally, priority, sentMs);
        });
    }

    void receive(Tally& tally, int priority, double sentMs)
    {
        sample.callerBytesReceived += requestBytes;
        bool isAdmitted = load.admit(priority, requestBytes);
        if (isLimited && !isAdmitted) {
            ++tally.refused;
            sample.callerBytesSent += static_cast<uint64_t>(refusalBytes);
            out.send(refusalBytes, nowMs);
            return;
        }
        std::string id = "e" + std::to_string(endpoint++ % 100);
        // The handshake waits in both queues.
        if (out.delayMs(nowMs) + in.delayMs(nowMs) > static_cast<double>(connectTimeout.count())) {
            ++tally.connectTimeouts;
            events.emplace(nowMs + static_cast<double>(connectTimeout.count()), [this, id] { load.recordConnectTimeout(id, domainOf(id), at()); });
            return;
        }
        sample.endpointBytesSent += requestBytes;
        double begins = out.send(static_cast<double>(requestBytes), nowMs) + static_cast<double>(answerDelay.count());
        events.emplace(begins, [this, &tally, sentMs, id] {
            events.emplace(in.send(answerSize, nowMs), [this, &tally, sentMs, id] {
                load.recordReached(id, domainOf(id), at());
                sample.endpointBytesReceived += static_cast<uint64_t>(answerSize);
                sample.callerBytesSent += static_cast<uint64_t>(answerSize);
                if (out.send(answerSize, nowMs) - sentMs < static_cast<double>(callerLimit.count()))
                    ++tally.served;
            });
        });
    }

    // Requests arrive evenly; the priority of each is the next one of the list.
    void run(milliseconds duration, double perSecond, const std::vector<int>& priorities)
    {
        static constexpr int sampleSteps = 100;
        double end = nowMs + static_cast<double>(duration.count());
        while (nowMs < end) {
            nowMs += 1;
            for (due += perSecond / 1'000; due >= 1; due -= 1) {
                arrive(priorities[static_cast<size_t>(arrivalsSoFar) % priorities.size()]);
                ++arrivalsSoFar;
            }
            while (!events.empty() && events.begin()->first <= nowMs) {
                std::function<void()> event = std::move(events.begin()->second);
                events.erase(events.begin());
                event();
            }
            if (static_cast<int64_t>(nowMs) % sampleSteps == 0)
                recordSample();
            notReadyMs = load.isReady() ? 0 : notReadyMs + 1;
            longestNotReadyMs = std::max(longestNotReadyMs, notReadyMs);
            if (wasReady && !load.isReady())
                notReadySince.push_back(nowMs);
            wasReady = load.isReady();
        }
    }

    Tally total() const
    {
        Tally sum;
        for (const auto& [priority, tally] : tallies) {
            sum.offered += tally.offered;
            sum.refused += tally.refused;
            sum.served += tally.served;
            sum.connectTimeouts += tally.connectTimeouts;
        }
        return sum;
    }
};

// Requests a second that both directions of the link carry, with their answers.
constexpr double linkRequestsPerSecond = linkBytesPerSecond / (static_cast<double>(requestBytes) + answerBytes);

}

// Load: a host whose link is used to four fifths. Guards against refusing what it carries.
Test(HostLoad, calmHostRefusesNothing)
{
    Host host;
    host.run(milliseconds(30'000), 0.8 * linkRequestsPerSecond, { 0, 1, 2 });
    cr_assert_eq(host.total().refused, 0);
    cr_assert_eq(host.load.cause(), HostLoad::Cause::None);
    cr_assert(host.notReadySince.empty());
}

// Load: one host gets half of a failure domain's callers, 1.4 times what its link carries. Guards against the measured failure, in which
// the link's queue made connects time out and requests run late. A refused request is served elsewhere; one that is late is lost.
Test(HostLoad, hostWithHalfOfAFailureDomain)
{
    static constexpr milliseconds duration(30'000);
    Host unlimited(1, false);
    unlimited.run(duration, 1.4 * linkRequestsPerSecond, { 0, 1, 2 });
    cr_assert_gt(unlimited.total().lateOrLost(), unlimited.total().offered / 2, "%d of %d", unlimited.total().lateOrLost(), unlimited.total().offered);
    Host host;
    host.run(duration, 1.4 * linkRequestsPerSecond, { 0, 1, 2 });
    Tally before = host.total();
    cr_assert_lt(before.lateOrLost(), before.offered / 10, "%d of %d", before.lateOrLost(), before.offered);
    cr_assert_lt(before.connectTimeouts, before.offered / 20, "%d of %d", before.connectTimeouts, before.offered);
    // Once callers are elsewhere, the host serves nearly what its link carries.
    host.run(duration, 1.4 * linkRequestsPerSecond, { 0, 1, 2 });
    int served = host.total().served - before.served;
    cr_assert_gt(served, 0.7 * linkRequestsPerSecond * 30, "%d of %.0f", served, linkRequestsPerSecond * 30);
    cr_assert_gt(host.transferredCallers.size(), 20, "%zu", host.transferredCallers.size());
    cr_assert_lt(host.transferredCallers.size(), 50, "%zu", host.transferredCallers.size());
}

// Load: a steady overload by a seventh, of three priorities in equal parts. Guards against refusing urgent requests as long as less urgent
// ones are served, and against a priority that starves.
Test(HostLoad, lessUrgentAreRefusedFirst)
{
    // Callers stay, so that the load is steady.
    Host host;
    host.sample.callerConnections = 0;
    host.run(milliseconds(10'000), 1.15 * linkRequestsPerSecond, { 0, 1, 2 });
    for (auto& [priority, tally] : host.tallies)
        tally = {};
    host.run(milliseconds(20'000), 1.15 * linkRequestsPerSecond, { 0, 1, 2 });
    auto shareOf = [&host](int priority) { return static_cast<double>(host.tallies[priority].served) / host.tallies[priority].offered; };
    cr_assert_gt(shareOf(0), 0.95, "%f", shareOf(0));
    cr_assert_gt(shareOf(0), shareOf(1), "%f %f", shareOf(0), shareOf(1));
    cr_assert_gt(shareOf(1), shareOf(2) + 0.2, "%f %f", shareOf(1), shareOf(2));
    double all = static_cast<double>(host.total().served) / host.total().offered;
    cr_assert_gt(shareOf(2), 0.2 * all, "%f of %f", shareOf(2), all);
}

// Load: a steady overload of requests of one priority. Guards against refusing all and then none, which fills and empties the link.
Test(HostLoad, admissionIsSmooth)
{
    // A host that keeps its callers, so that the load stays the same.
    Host host;
    host.sample.callerConnections = 0;
    host.run(milliseconds(10'000), 1.15 * linkRequestsPerSecond, { 0 });
    Tally start = host.total();
    std::vector<double> shares;
    for (int i = 0; i < 100; ++i) {
        Tally before = host.total();
        host.run(milliseconds(200), 1.15 * linkRequestsPerSecond, { 0 });
        Tally after = host.total();
        shares.push_back(static_cast<double>(after.refused - before.refused) / (after.offered - before.offered));
    }
    Tally end = host.total();
    double mean = static_cast<double>(end.refused - start.refused) / (end.offered - start.offered);
    cr_assert(mean > 0.1 && mean < 0.6, "%f", mean);
    for (double share : shares)
        cr_assert(std::abs(share - mean) < 0.15, "%f, mean %f", share, mean);
}

// Load: 1.4 times what the link carries, of long streams: answers are ten times as large as requests and come two seconds later. Guards
// against an admission that swings, since the answers of what it admits show only later.
Test(HostLoad, longAnswersAreForeseen)
{
    Host host;
    host.sample.callerConnections = 0;
    host.answerSize = 400 * 85;
    host.answerDelay = milliseconds(2'000);
    host.callerLimit = milliseconds(4'000);
    double possible = linkBytesPerSecond / (static_cast<double>(requestBytes) + host.answerSize);
    host.run(milliseconds(20'000), 1.4 * possible, { 0, 1, 2 });
    Tally before = host.total();
    double least = 1;
    double most = 0;
    for (int i = 0; i < 200; ++i) {
        host.run(milliseconds(100), 1.4 * possible, { 0, 1, 2 });
        least = std::min(least, host.load.admittedFraction());
        most = std::max(most, host.load.admittedFraction());
    }
    Tally after = host.total();
    cr_assert_gt(after.served - before.served, 0.75 * possible * 20, "%d of %.0f", after.served - before.served, possible * 20);
    cr_assert_lt(after.connectTimeouts - before.connectTimeouts, (after.offered - before.offered) / 50, "%d", after.connectTimeouts - before.connectTimeouts);
    cr_assert_lt(most - least, 0.3, "%f to %f", least, most);
}

// Load: a spike of 300 ms to 1.5 times the link on top of a calm load, every 3 s. Guards against refusing what the calm time carries, and
// against readiness that changes with each spike.
Test(HostLoad, shortSpikesAreCarried)
{
    Host host;
    for (int i = 0; i < 10; ++i) {
        host.run(milliseconds(2'700), 0.5 * linkRequestsPerSecond, { 0, 1, 2 });
        host.run(milliseconds(300), 1.5 * linkRequestsPerSecond, { 0, 1, 2 });
    }
    cr_assert_eq(host.total().refused, 0);
    cr_assert(host.notReadySince.empty());
}

// Load: all eight hosts of a failure domain are full for two minutes. Guards against all leaving the rotation together or staying out of
// it: each leaves for at most five seconds in its own turn, and always fewer than half are out.
Test(HostLoad, allHostsFull)
{
    static constexpr int hostCount = 8;
    std::vector<std::unique_ptr<Host>> hosts;
    for (int i = 0; i < hostCount; ++i)
        hosts.push_back(std::make_unique<Host>(static_cast<uint64_t>(i) + 1));
    // The clocks of the hosts differ.
    for (int i = 0; i < hostCount; ++i)
        hosts[static_cast<size_t>(i)]->clockError = milliseconds(600'000 + (i * 37 % 8 - 4) * 100);
    // Callers that leave one host come to another one, so the load of each stays the same.
    for (const std::unique_ptr<Host>& host : hosts)
        host->sample.callerConnections = 0;
    int outSteps = 0;
    int halfOutSteps = 0;
    int allOutSteps = 0;
    static constexpr int stepCount = 1'200;
    for (int step = 0; step < stepCount; ++step) {
        int out = 0;
        for (const std::unique_ptr<Host>& entry : hosts) {
            Host& host = *entry;
            host.run(milliseconds(100), 1.15 * linkRequestsPerSecond, { 0, 1, 2 });
            out += host.load.isReady() ? 0 : 1;
        }
        outSteps += out;
        halfOutSteps += 2 * out >= hostCount ? 1 : 0;
        allOutSteps += out == hostCount ? 1 : 0;
    }
    // Requests that are refused have come in, too: answers get the room that they leave.
    double possible = (linkBytesPerSecond - 1.15 * linkRequestsPerSecond * static_cast<double>(requestBytes)) / answerBytes * 120;
    for (const std::unique_ptr<Host>& entry : hosts) {
        Host& host = *entry;
        cr_assert_gt(host.total().served, 0.75 * possible, "%d of %.0f", host.total().served, possible);
        cr_assert_lt(host.total().lateOrLost(), host.total().offered / 20, "%d of %d", host.total().lateOrLost(), host.total().offered);
        cr_assert_leq(host.longestNotReadyMs, 5'100, "%.0f ms", host.longestNotReadyMs);
        for (size_t i = 1; i < host.notReadySince.size(); ++i)
            cr_assert_geq(host.notReadySince[i] - host.notReadySince[i - 1], 10'000);
    }
    cr_assert_lt(outSteps, stepCount * hostCount / 2, "%d", outSteps);
    cr_assert_eq(halfOutSteps, 0, "%d", halfOutSteps);
    cr_assert_eq(allOutSteps, 0, "%d", allOutSteps);
    cr_assert_gt(outSteps, stepCount, "%d", outSteps);
}

// Load: an overload that lasts a minute and ends. Guards against refusals and closed connections that outlast it.
Test(HostLoad, overloadEnds)
{
    Host host;
    host.run(milliseconds(60'000), 1.5 * linkRequestsPerSecond, { 0 });
    host.run(milliseconds(10'000), 0.6 * linkRequestsPerSecond, { 0 });
    int refused = host.total().refused;
    host.run(milliseconds(30'000), 0.6 * linkRequestsPerSecond, { 0 });
    cr_assert_eq(host.total().refused, refused);
    cr_assert(host.load.isReady());
    cr_assert_not(host.load.isLimiting());
}

// Load: a single caller, one request of 72 KB at a time and then a second's pause. Guards against refusals where the ratio between sent
// and admitted bytes rests on a few requests.
Test(HostLoad, singleCallerIsServed)
{
    HostLoad load({ linkBytesPerSecond, 0, 0 }, 1);
    HostLoad::TimePoint now {};
    HostSample sample;
    load.record(sample, now);
    for (int i = 0; i < 600; ++i) {
        if (i % 10 == 0) {
            cr_assert(load.admit(5, 72'000), "request %d", i / 10);
            sample.callerBytesReceived += 72'000;
            sample.endpointBytesSent += 72'000;
            sample.endpointBytesReceived += 100'000;
            sample.callerBytesSent += 100'000;
        }
        now += milliseconds(100);
        load.record(sample, now);
    }
}

// Load: connects to one endpoint that has gone, beside answers of others. Guards against its failures being put down to the own link.
Test(HostLoad, oneBadEndpointIsNotTheOwnLink)
{
    HostLoad load({ linkBytesPerSecond, 0, 0 }, 1);
    HostLoad::TimePoint now {};
    for (int i = 0; i < 100; ++i, now += milliseconds(10)) {
        cr_assert_not(load.recordConnectTimeout("bad", "z0", now));
        load.recordReached("e" + std::to_string(i % 5), "z1", now);
    }
}

// Load: a third of the endpoints is cut off. Guards against putting the loss of a failure domain down to the own link.
Test(HostLoad, lostFailureDomainIsNotTheOwnLink)
{
    HostLoad load({ linkBytesPerSecond, 0, 0 }, 1);
    HostLoad::TimePoint now {};
    for (int i = 0; i < 300; ++i, now += milliseconds(10)) {
        std::string endpoint = "e" + std::to_string(i % 30);
        if (i >= 30 && i % 3 == 0)
            cr_assert_not(load.recordConnectTimeout(endpoint, domainOf(endpoint), now), "%d", i);
        else
            load.recordReached(endpoint, domainOf(endpoint), now);
    }
}

// Load: connects to most endpoints time out, as behind a full link. Guards against counting them against the endpoints, against admitting
// as before, and against a judgement that outlasts its cause.
Test(HostLoad, connectTimeoutsAtManyEndpointsAreTheOwnLink)
{
    HostLoad load({ linkBytesPerSecond, 0, 0 }, 1);
    HostLoad::TimePoint now {};
    HostSample sample;
    load.record(sample, now);
    int own = 0;
    for (int i = 0; i < 100; ++i) {
        now += milliseconds(10);
        if (i % 4 == 0)
            load.recordReached("e" + std::to_string(i % 20), domainOf("e" + std::to_string(i % 20)), now);
        else
            own += load.recordConnectTimeout("e" + std::to_string(i % 20), domainOf("e" + std::to_string(i % 20)), now) ? 1 : 0;
        if (i % 10 == 9)
            load.record(sample, now);
    }
    cr_assert_geq(own, 72, "%d", own);
    cr_assert_eq(load.ownConnectTimeouts(), static_cast<uint64_t>(own));
    cr_assert_lt(load.admittedFraction(), 0.7);
    cr_assert_eq(load.cause(), HostLoad::Cause::Connects);
    now += milliseconds(1'100);
    cr_assert_not(load.isOwnLinkSlow(now));
    for (int i = 0; i < 50; ++i, now += milliseconds(100))
        load.record(sample, now + milliseconds(100));
    cr_assert_eq(load.admittedFraction(), 1);
}

// Load: requests that stay in progress until the descriptors run out, two for each. Guards against 4,295 open descriptors of 4,100.
Test(HostLoad, descriptorsBoundRequestsInProgress)
{
    HostLoad load({ 0, 0, 4'100 }, 1);
    HostLoad::TimePoint now {};
    HostSample sample;
    load.record(sample, now);
    int refusedBelowHalf = 0;
    for (int i = 0; i < 20'000; ++i) {
        bool isAdmitted = load.admit(i % 3, requestBytes);
        if (isAdmitted) {
            ++sample.activeRequests;
        } else if (sample.activeRequests < load.maxActiveRequests() / 2) {
            ++refusedBelowHalf;
        }
        if (i % 20 == 19) {
            now += milliseconds(100);
            load.record(sample, now);
        }
    }
    cr_assert_eq(refusedBelowHalf, 0);
    cr_assert_lt(2 * sample.activeRequests, 4'100 - 200);
    cr_assert_gt(2 * sample.activeRequests, 2'800, "%zu", 2 * sample.activeRequests);
}

// Load: a share of a processor that is used up. Guards against a single pause counting as one, and against requests that wait for seconds.
Test(HostLoad, processorShareBoundsRequests)
{
    HostLoad load({ 0, 0.12, 0 }, 1);
    HostLoad::TimePoint now {};
    HostSample sample;
    load.record(sample, now);
    now += std::chrono::seconds(5);
    sample.timerLag = std::chrono::seconds(5);
    load.record(sample, now);
    cr_assert_eq(load.admittedFraction(), 1);
    for (int i = 0; i < 50; ++i) {
        sample.timerLag = milliseconds(90);
        sample.processorTime += milliseconds(12);
        now += milliseconds(100);
        load.record(sample, now);
    }
    cr_assert_lt(load.admittedFraction(), 0.5);
    cr_assert_eq(load.cause(), HostLoad::Cause::Processor);
    for (int i = 0; i < 100; ++i) {
        sample.timerLag = milliseconds(1);
        now += milliseconds(100);
        load.record(sample, now);
    }
    cr_assert_eq(load.admittedFraction(), 1);
}

// Guards against connections that are closed while the load balancer would send the caller back to this host.
Test(HostLoad, connectionsAreShedOnlyOutOfRotation)
{
    Host host;
    for (int i = 0; i < 3'000; ++i) {
        uint64_t shed = host.load.shedConnections();
        host.run(milliseconds(10), 1.5 * linkRequestsPerSecond, { 0 });
        cr_assert(host.load.shedConnections() == shed || host.notReadyMs >= balancerDelayMs || host.load.isReady(), "after %.0f ms out of rotation", host.notReadyMs);
        cr_assert(host.load.isReady() == (host.notReadyMs == 0));
    }
    cr_assert_gt(host.load.shedConnections(), 10);
    cr_assert_gt(host.transferredCallers.size(), 10);
    cr_assert_geq(host.load.shedConnections(), host.transferredCallers.size());
}

// Guards against callers that come back at the same moment, or too late for their deadlines.
Test(HostLoad, retryAfterIsShortAndSpread)
{
    HostLoad load({}, 1);
    int64_t least = 1'000;
    int64_t most = 0;
    for (int i = 0; i < 200; ++i) {
        int64_t after = load.retryAfterMs();
        least = std::min(least, after);
        most = std::max(most, after);
    }
    cr_assert(least >= 100 && least < 130 && most <= 300 && most > 270, "%ld to %ld ms", static_cast<long>(least), static_cast<long>(most));
}

// A host whose capacity is unknown must not refuse anything.
Test(HostLoad, unknownCapacityLimitsNothing)
{
    HostLoad load({}, 1);
    HostLoad::TimePoint now {};
    HostSample sample;
    for (int i = 0; i < 1'000; ++i) {
        cr_assert(load.admit(i % 40 - 10, 100'000));
        sample.endpointBytesSent += 100'000'000;
        sample.callerBytesReceived += 100'000'000;
        sample.activeRequests += 100;
        now += milliseconds(100);
        load.record(sample, now);
    }
}

namespace {

// A calm load: requests of very different sizes, in clumps of 100 ms with three times the rate, and answers that are spread over seconds.
struct ClumpedLoad {
    static constexpr double meanBodyBytes = 2'900;
    static constexpr double maxBodyBytes = 72'000;
    static constexpr double headBytes = 300;
    static constexpr double streamBytes = 34'000;
    static constexpr int streamSteps = 300;
    static constexpr int stepMs = 10;

    HostLoad load { { linkBytesPerSecond, 0, 0 }, 1 };
    std::mt19937 random { 7 };
    int refused { 0 };
    int notReadySamples { 0 };

    // Most bodies are small, and one in a hundred is 72 KB.
    double nextBodyBytes()
    {
        static constexpr double largeShare = 0.01;
        static constexpr double smallMean = (meanBodyBytes - largeShare * maxBodyBytes) / (1 - largeShare);
        if (std::uniform_real_distribution<double>(0, 1)(random) < largeShare)
            return maxBodyBytes;
        return std::min(maxBodyBytes, std::exponential_distribution<double>(1 / smallMean)(random));
    }

    void run(std::chrono::seconds duration, double usedPart)
    {
        double perSecond = usedPart * linkBytesPerSecond / (meanBodyBytes + headBytes + streamBytes);
        HostLoad::TimePoint now {};
        HostSample sample;
        load.setRotation(0, domainHosts, now - milliseconds(60'000));
        load.record(sample, now);
        std::vector<double> streams(static_cast<size_t>(streamSteps), 0);
        double due = 0;
        double answered = 0;
        int64_t steps = std::chrono::milliseconds(duration).count() / stepMs;
        for (int64_t step = 0; step < steps; ++step) {
            // Clumps begin every 400 ms; a third of the mean rate is left between them.
            double rate = perSecond * (step % 40 < 10 ? 3.0 : 1.0 / 3.0);
            for (due += rate * stepMs / 1'000; due >= 1; due -= 1) {
                double bytes = nextBodyBytes() + headBytes;
                sample.callerBytesReceived += static_cast<uint64_t>(bytes);
                if (!load.admit(static_cast<int>(step % 3), static_cast<size_t>(bytes))) {
                    ++refused;
                    continue;
                }
                sample.endpointBytesSent += static_cast<uint64_t>(bytes);
                streams[static_cast<size_t>(step % streamSteps)] += streamBytes / streamSteps;
            }
            // A stream has a part of its answer in each of the steps that follow its request.
            answered = 0;
            for (double bytes : streams)
                answered += bytes;
            sample.endpointBytesReceived += static_cast<uint64_t>(answered);
            sample.callerBytesSent += static_cast<uint64_t>(answered);
            streams[static_cast<size_t>((step + 1) % streamSteps)] = 0;
            now += milliseconds(stepMs);
            if (step % 10 == 9) {
                sample.wallTime += milliseconds(10 * stepMs);
                load.record(sample, now);
                notReadySamples += load.isReady() ? 0 : 1;
            }
        }
    }
};

}

// Load: 42% and 71% of the link, in clumps, with answers spread over 3 s and bodies of up to 72 KB. Guards against refusals since a clump or
// a large body is taken as a rate that lasts.
Test(HostLoad, calmClumpsAreCarried)
{
    for (double usedPart : { 0.42, 0.71 }) {
        ClumpedLoad calm;
        calm.run(std::chrono::seconds(120), usedPart);
        cr_assert_eq(calm.refused, 0, "%d at %f", calm.refused, usedPart);
        cr_assert_eq(calm.notReadySamples, 0, "%d at %f", calm.notReadySamples, usedPart);
    }
}

// Load: an overload on a host that has no peers in its failure domain, or a single one. Guards against a domain with half of its hosts, or
// none, in rotation.
Test(HostLoad, hostWithoutPeersStaysInRotation)
{
    for (size_t daemons : { 1, 2 }) {
        Host host;
        host.load.setRotation(0, daemons, host.at());
        host.run(milliseconds(60'000), 1.5 * linkRequestsPerSecond, { 0 });
        cr_assert(host.notReadySince.empty(), "%zu", daemons);
    }
}

// All hosts of failure domains of three to forty hosts are overloaded by their processors all the time. Guards against a number of hosts with
// which half of them have the same turn.
Test(HostLoad, lessThanHalfOfAnyFailureDomainIsOut)
{
    for (size_t daemons = 3; daemons <= 40; ++daemons) {
        std::vector<HostLoad> hosts;
        HostLoad::TimePoint now {};
        HostSample sample;
        for (size_t i = 0; i < daemons; ++i) {
            hosts.emplace_back(HostCapacity { 0, 0.1, 0 }, i);
            hosts.back().setRotation(i, daemons, now);
            hosts.back().record(sample, now);
        }
        size_t mostOut = 0;
        for (int step = 0; step < 600; ++step) {
            now += milliseconds(100);
            sample.wallTime += milliseconds(100);
            sample.timerLag = milliseconds(300);
            size_t out = 0;
            for (HostLoad& host : hosts) {
                host.record(sample, now);
                out += host.isReady() ? 0 : 1;
            }
            mostOut = std::max(mostOut, out);
        }
        cr_assert(mostOut > 0 && 2 * mostOut < daemons, "%zu of %zu", mostOut, daemons);
    }
}

// Load: the endpoints of one failure domain, a third of all, are dead, and streams elsewhere answer seldom: most of what a second shows are
// timeouts. Guards against counting them as the own link's, which would end retries.
Test(HostLoad, deadFailureDomainBesideSlowAnswers)
{
    HostLoad load({ linkBytesPerSecond, 0, 0 }, 1);
    HostLoad::TimePoint now {};
    for (int i = 0; i < 1'000; ++i, now += milliseconds(10)) {
        std::string dead = "e" + std::to_string(i % 10 * domainCount);
        cr_assert_not(load.recordConnectTimeout(dead, domainOf(dead), now), "%d", i);
        if (i % 100 == 0)
            load.recordReached("e1", domainOf("e1"), now);
    }
}

// Load: all endpoints are in one failure domain and none can be reached any more. The own link is found after the longer window.
Test(HostLoad, ownLinkWithOneFailureDomain)
{
    HostLoad load({ linkBytesPerSecond, 0, 0 }, 1);
    HostLoad::TimePoint now {};
    load.recordReached("e0", "z0", now);
    for (int i = 0; i < 500; ++i, now += milliseconds(10))
        cr_assert_not(load.recordConnectTimeout("e" + std::to_string(i % 10), "z0", now), "%d", i);
    now += milliseconds(20);
    cr_assert(load.recordConnectTimeout("e1", "z0", now));
}

// Load: a few requests beside thousands of idle connections. Guards against refusals while only idle connections take up descriptors.
Test(HostLoad, idleConnectionsRefuseNothing)
{
    HostLoad load({ 0, 0, 4'100 }, 1);
    HostLoad::TimePoint now {};
    HostSample sample;
    sample.callerConnections = 3'450;
    sample.activeRequests = 10;
    sample.readingConnections = 20;
    for (int i = 0; i < 100; ++i, now += milliseconds(100)) {
        load.record(sample, now);
        cr_assert(load.admit(9, requestBytes), "%d", i);
    }
    cr_assert_lt(load.descriptorUtilisation(), 0.1);
    // Connections that are being read do count.
    sample.readingConnections = 3'450;
    load.record(sample, now);
    cr_assert_lt(load.admittedFraction(), 1);
}

// Load: half of the link beside a large configuration that is read from the store, and then 0.85 of the link. Guards against taking the store's
// bytes as answers, which would raise the expectation for each request.
Test(HostLoad, storeBytesAreNoAnswers)
{
    Host host;
    for (int i = 0; i < 40; ++i) {
        host.sample.storeBytesReceived += 100'000;
        host.run(milliseconds(250), 0.5 * linkRequestsPerSecond, { 0 });
    }
    host.run(milliseconds(10'000), 0.85 * linkRequestsPerSecond, { 0 });
    cr_assert_eq(host.total().refused, 0, "%d", host.total().refused);
}
