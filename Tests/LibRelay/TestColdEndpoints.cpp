#include "LibCore/Random.h"
#include "LibRelay/ColdEndpoints.h"
#include "LibRelay/EndpointSelector.h"
#include "LibRelay/PermitService.h"
#include <algorithm>
#include <criterion/criterion.h>
#include <cstdlib>
#include <deque>
#include <memory>
#include <random>

using namespace Relay;
using std::chrono::milliseconds;
using TimePoint = Core::SteadyClock::time_point;

static const TimePoint start { std::chrono::hours(1) };
static constexpr double coldPerSecond = 8.9;
static constexpr milliseconds coldTime(3'000);
// The limit of the platform: most requests that a cold endpoint may get in one second.
static constexpr size_t mostInOneSecond = static_cast<size_t>(1.5 * coldPerSecond + 5);

static std::map<std::string, Service> servicesWithLimit(double perSecond = coldPerSecond)
{
    Service service;
    service.name = "engines";
    service.coldPerSecond = perSecond;
    service.coldTimeMs = coldTime.count();
    return { { "engines", service }, { "desks", Service { "desks", 0, std::nullopt } } };
}

static Endpoint makeEndpoint(std::optional<int64_t> coldLeftMs, int64_t startedAtMs = 1, const std::string& id = "e")
{
    Endpoint endpoint;
    endpoint.id = id;
    endpoint.service = "engines";
    endpoint.slots = 64;
    endpoint.startedAtMs = startedAtMs;
    endpoint.coldLeftMs = coldLeftMs;
    return endpoint;
}

// The first time, in steps of 10 ms, at which the endpoint is not cold.
static milliseconds coldFor(const ColdEndpoints& cold, const Endpoint& endpoint, TimePoint since)
{
    milliseconds time(0);
    while (cold.isCold(endpoint, since + time) && time < std::chrono::minutes(20))
        time += milliseconds(10);
    return time;
}

// Guards against limits in deployments that configure none.
Test(ColdEndpoints, nothingIsColdWithoutALimit)
{
    for (double perSecond : { 0.0, -1.0 }) {
        ColdEndpoints cold;
        cold.setServices(servicesWithLimit(perSecond));
        cold.observe(makeEndpoint(3'000), 1, start);
        cold.observe(makeEndpoint(std::nullopt, 2), 2, start);
        cold.recordAnswer(makeEndpoint(std::nullopt, 2), milliseconds(9'000), start);
        cr_assert_not(cold.isCold(makeEndpoint(0, 2), start));
        cr_assert_not(cold.limitOf(makeEndpoint(0, 2), start));
        cr_assert_eq(cold.quietUntil(makeEndpoint(0, 2), start), TimePoint {});
        cr_assert(cold.takeNotices().empty());
    }
}

// Guards against limits on endpoints that say that they are warm, whether this daemon or the endpoint has just started, and against
// using a cold one freely.
Test(ColdEndpoints, firstEntryOfAnIdIsBelieved)
{
    ColdEndpoints cold;
    cold.setServices(servicesWithLimit());
    cold.observe(makeEndpoint(0), 1, start);
    cr_assert_not(cold.limitOf(makeEndpoint(0), start));
    cold.observe(makeEndpoint(1'500, 1, "f"), 2, start);
    cr_assert_eq(coldFor(cold, makeEndpoint(1'500, 1, "f"), start).count(), 1'500);
    cold.observe(makeEndpoint(std::nullopt, 1, "g"), 3, start);
    cr_assert_eq(coldFor(cold, makeEndpoint(std::nullopt, 1, "g"), start), coldTime);
    cr_assert_eq(cold.countCold(start), 2);
}

// Guards against full load on a process that has started again under its id, and on one whose entry cannot be read.
Test(ColdEndpoints, aRestartedProcessIsCold)
{
    ColdEndpoints cold;
    cold.setServices(servicesWithLimit());
    cold.observe(makeEndpoint(0), 1, start);
    TimePoint later = start + std::chrono::seconds(10);
    cold.observe(makeEndpoint(0, 2), 2, later);
    cr_assert_eq(coldFor(cold, makeEndpoint(0, 2), later), coldTime);
    later += std::chrono::seconds(10);
    cold.observe(makeEndpoint(3'500, 3), 3, later);
    cr_assert_eq(coldFor(cold, makeEndpoint(3'500, 3), later).count(), 3'500);
    // An entry of an earlier process that arrives late changes nothing.
    cold.observe(makeEndpoint(0, 2), 4, later);
    cr_assert_eq(coldFor(cold, makeEndpoint(3'500, 3), later).count(), 3'500);
    // A later entry of the same process shows otherwise.
    cold.observe(makeEndpoint(0, 3), 5, later);
    cr_assert_eq(coldFor(cold, makeEndpoint(0, 3), later).count(), 0);
    cold.observe(makeEndpoint(std::nullopt, 3), 6, later);
    cr_assert_eq(coldFor(cold, makeEndpoint(std::nullopt, 3), later), coldTime);
}

// Guards against a process that stays cold because its entry is unreadable again and again, in listings, in new versions, after a valid
// entry or after a removal.
Test(ColdEndpoints, assumedColdTimeDoesNotStartAgain)
{
    ColdEndpoints cold;
    cold.setServices(servicesWithLimit());
    cold.observe(makeEndpoint(std::nullopt), 1, start);
    for (int i = 1; i < 20; ++i)
        cold.observe(makeEndpoint(std::nullopt), i % 2 ? 1 : 1 + static_cast<uint64_t>(i), start + milliseconds(100 * i));
    cr_assert_eq(coldFor(cold, makeEndpoint(std::nullopt), start), coldTime);
    TimePoint later = start + std::chrono::seconds(10);
    cold.observe(makeEndpoint(0), 30, later);
    cold.observe(makeEndpoint(std::nullopt), 31, later);
    cr_assert_not(cold.isCold(makeEndpoint(std::nullopt), later));
    cold.forget("e");
    cold.observe(makeEndpoint(std::nullopt), 32, later);
    cr_assert_not(cold.isCold(makeEndpoint(std::nullopt), later));
    cold.observe(makeEndpoint(std::nullopt, 2), 33, later);
    cr_assert_eq(coldFor(cold, makeEndpoint(std::nullopt, 2), later), coldTime);
}

// Guards against endpoints that get next to nothing for minutes because of a value that cannot be right, whether entries or answers have
// it and whether entries or services are read first.
Test(ColdEndpoints, timesOverTheColdTimeOfTheServiceAreUnreadable)
{
    auto countUnreadable = [](ColdEndpoints& cold) {
        std::vector<ColdNotice> notices = cold.takeNotices();
        return std::count_if(notices.begin(), notices.end(), [](const ColdNotice& notice) { return notice.kind == ColdNotice::Kind::Unreadable; });
    };
    for (bool areServicesFirst : { true, false }) {
        ColdEndpoints cold;
        if (areServicesFirst)
            cold.setServices(servicesWithLimit());
        cold.observe(makeEndpoint(4'000, 1, "f"), 1, start);
        cold.observe(makeEndpoint(600'000), 1, start);
        cold.setServices(servicesWithLimit());
        for (int i = 1; i < 60; ++i)
            cold.observe(makeEndpoint(600'000 - 100 * i), 1 + static_cast<uint64_t>(i), start + milliseconds(100 * i));
        cr_assert_eq(coldFor(cold, makeEndpoint(0), start), coldTime);
        cr_assert_eq(coldFor(cold, makeEndpoint(0, 1, "f"), start).count(), 4'000);
        cr_assert_eq(countUnreadable(cold), 1);
    }
    ColdEndpoints cold;
    cold.setServices(servicesWithLimit());
    cold.observe(makeEndpoint(0), 1, start);
    for (int i = 0; i < 60; ++i)
        cold.recordAnswer(makeEndpoint(0), milliseconds(600'000 - 100 * i), start + milliseconds(100 * i));
    cr_assert_eq(coldFor(cold, makeEndpoint(0), start), coldTime);
    cr_assert_eq(countUnreadable(cold), 1);
}

// Guards against an entry from before an answer that ends the cold time that the answer has named.
Test(ColdEndpoints, entriesDoNotShortenTheTimeOfAnAnswer)
{
    ColdEndpoints cold;
    cold.setServices(servicesWithLimit());
    cold.observe(makeEndpoint(0), 1, start);
    cold.recordAnswer(makeEndpoint(0), milliseconds(2'000), start);
    cold.observe(makeEndpoint(0), 2, start);
    cold.observe(makeEndpoint(100), 3, start);
    cold.observe(makeEndpoint(0), 4, start + milliseconds(50));
    cr_assert_eq(coldFor(cold, makeEndpoint(0), start).count(), 2'000);
    cold.observe(makeEndpoint(3'000), 5, start + milliseconds(50));
    cr_assert_eq(coldFor(cold, makeEndpoint(0), start).count(), 3'050);
}

// Guards against a cold time that never ends because the entry is listed or written again, against missing that an endpoint has become
// cold again, and against taking a process for a new one that has only been registered again.
Test(ColdEndpoints, onlyANewStatementExtendsTheColdTime)
{
    ColdEndpoints cold;
    cold.setServices(servicesWithLimit());
    cold.observe(makeEndpoint(3'000), 1, start);
    for (int i = 1; i < 30; ++i)
        cold.observe(makeEndpoint(3'000), i % 2 ? 1 : 1 + static_cast<uint64_t>(i), start + milliseconds(100 * i));
    cr_assert_eq(coldFor(cold, makeEndpoint(3'000), start), coldTime);
    TimePoint later = start + std::chrono::seconds(10);
    cold.observe(makeEndpoint(3'000), 29, later);
    cr_assert_not(cold.isCold(makeEndpoint(3'000), later));
    cold.forget("e");
    cold.observe(makeEndpoint(3'000), 29, later);
    cr_assert_not(cold.isCold(makeEndpoint(3'000), later));
    cold.observe(makeEndpoint(3'000), 60, later);
    cr_assert_eq(coldFor(cold, makeEndpoint(3'000), later), coldTime);
    cr_assert_gt(cold.quietUntil(makeEndpoint(3'000), later), later);
    // A listing may show what a heartbeat has written without a new version.
    later += std::chrono::seconds(10);
    cold.observe(makeEndpoint(1'800), 60, later);
    cr_assert_eq(coldFor(cold, makeEndpoint(1'800), later).count(), 1'800);
    // Without a start time, a registration that follows a removal is a new process.
    cold.observe(makeEndpoint(3'000, 0, "f"), 61, later);
    later += std::chrono::seconds(10);
    cold.forget("f");
    cold.observe(makeEndpoint(3'000, 0, "f"), 61, later);
    cr_assert(cold.isCold(makeEndpoint(3'000, 0, "f"), later));
}

// Guards against ignoring an endpoint that says in an answer that it is cold, and against answers of earlier processes.
Test(ColdEndpoints, answersTellOfAColdTime)
{
    ColdEndpoints cold;
    cold.setServices(servicesWithLimit());
    cold.observe(makeEndpoint(0, 2), 1, start);
    cold.recordAnswer(makeEndpoint(0, 1), milliseconds(2'000), start);
    cr_assert_not(cold.isCold(makeEndpoint(0, 2), start));
    cold.recordAnswer(makeEndpoint(0, 2), milliseconds(0), start);
    cr_assert_not(cold.isCold(makeEndpoint(0, 2), start));
    cold.recordAnswer(makeEndpoint(0, 2), milliseconds(2'000), start);
    cold.recordAnswer(makeEndpoint(0, 2), milliseconds(100), start);
    cr_assert_eq(coldFor(cold, makeEndpoint(0, 2), start).count(), 2'000);
    cr_assert_eq(cold.takeNotices().size(), 1);
}

// Guards against an invalid entry without a line in the log, and against one line for each listing.
Test(ColdEndpoints, unreadableEntryIsReportedOnce)
{
    ColdEndpoints cold;
    Endpoint endpoint = makeEndpoint(std::nullopt);
    endpoint.coldLeftFault = "negative";
    cold.observe(endpoint, 1, start);
    cr_assert(cold.takeNotices().empty());
    cold.setServices(servicesWithLimit());
    for (uint64_t version : { 1, 1, 2, 3 })
        cold.observe(endpoint, version, start);
    std::vector<ColdNotice> notices = cold.takeNotices();
    cr_assert_eq(std::count_if(notices.begin(), notices.end(), [](const ColdNotice& notice) { return notice.kind == ColdNotice::Kind::Unreadable && notice.detail == "negative"; }), 1);
}

// Guards against a herd at the end of the cold time, and against a limit that rises before the endpoint may become cold again.
Test(ColdEndpoints, limitOutlastsTheColdTime)
{
    ColdEndpoints cold;
    cold.setServices(servicesWithLimit());
    Endpoint endpoint = makeEndpoint(3'000);
    cold.observe(endpoint, 1, start);
    TimePoint now = start;
    for (; cold.limitOf(endpoint, now); now += milliseconds(100))
        cr_assert(*cold.limitOf(endpoint, now) > coldPerSecond / 2 && *cold.limitOf(endpoint, now) <= coldPerSecond);
    cr_assert(now >= start + coldTime + std::chrono::seconds(1) && now <= start + coldTime + std::chrono::seconds(3));
}

// Guards against requests at a cold endpoint while a healthy warm one takes them, however many requests the daemon has in flight, and
// against cold endpoints that stay unused while the others refuse or are gone.
Test(ColdEndpoints, coldEndpointsAreUsedWhenNoHealthyWarmOneIsLeft)
{
    for (uint64_t affinities : { 1, 200 }) {
        EndpointDirectory directory({});
        EndpointSelector selector(directory, "zone-a");
        selector.cold().setServices(servicesWithLimit());
        for (int i = 0; i < 4; ++i) {
            Endpoint endpoint = makeEndpoint(i < 2 ? 3'000 : 0, 1, "e" + std::to_string(i));
            directory.put(endpoint);
            selector.cold().observe(endpoint, 1, start);
        }
        // Without prompt parts, or with those of many prompts.
        auto chosenWithin = [&selector, affinities](TimePoint now, std::set<std::string> excluded = {}) {
            std::set<std::string> chosen;
            for (uint64_t i = 0; i < 200; ++i)
                chosen.insert(selector.choose({ "engines", true, i % affinities, excluded, false }, now)->id);
            return chosen;
        };
        std::set<std::string> warm { "e2", "e3" };
        std::set<std::string> cold { "e0", "e1" };
        cr_assert(chosenWithin(start) == warm);
        for (int i = 0; i < 200; ++i)
            selector.recordStart(i % 2 ? "e2" : "e3", start);
        cr_assert(chosenWithin(start) == warm);
        cr_assert(chosenWithin(start, { "e2" }) == std::set<std::string>({ "e3" }));
        cr_assert(chosenWithin(start, { "e2", "e3" }) == cold);
        for (int i = 0; i < 200; ++i)
            selector.recordEnd(i % 2 ? "e2" : "e3", EndpointSelector::End::Neutral, start);
        selector.recordOverload("e2", start);
        cr_assert(chosenWithin(start) == std::set<std::string>({ "e3" }));
        selector.recordOverload("e3", start);
        cr_assert(chosenWithin(start) == cold);
        cr_assert(chosenWithin(start + milliseconds(500)) == warm);
        cr_assert_eq(chosenWithin(start + coldTime).size(), 4);
        directory.remove("e2", start);
        directory.remove("e3", start);
        cr_assert(chosenWithin(start) == cold);
        // A refused permit is not asked for again at once.
        selector.recordPermitRefusal("e0", start + milliseconds(100));
        selector.recordPermitRefusal("e1", start + milliseconds(200));
        cr_assert_null(selector.choose({ "engines", true, 1, {}, false }, start));
        cr_assert_eq(*selector.nextPermitAt({ "engines", true, 1, {}, false }, start), start + milliseconds(100));
    }
}

namespace {

// A daemon with its own view of one endpoint and of the fleet.
struct SimulatedDaemon {
    ColdEndpoints cold;
    std::optional<Endpoint> seen;
    bool isCutOff { false };
    TimePoint frozenUntil {};
    TimePoint listConfirmedAt { start };
    TimePoint now { start };
    size_t daemons { 0 };
    bool isIssuer { false };
    TimePoint noPermitUntil {};
    PermitService permits { makeHooks() };

    PermitHooks makeHooks()
    {
        PermitHooks hooks;
        hooks.issuerOf = [this](const std::string&) { return isIssuer ? std::nullopt : std::optional<Core::Address>(Core::Address { "10.0.0.1", 1 }); };
        hooks.daemons = [this] { return daemons; };
        hooks.isFleetCurrent = [this] { return now - listConfirmedAt <= PermitService::maxFleetAge; };
        return hooks;
    }
};

struct Delivery {
    TimePoint at;
    size_t daemon;
    Endpoint entry;
    uint64_t version;
};

// A fleet of daemons and one endpoint that starts, restarts and becomes cold again, with links that are cut, updates that are lost and
// daemons that freeze.
class SimulatedFleet {
public:
    SimulatedFleet(size_t count, uint64_t seed)
        : m_random(seed)
    {
        for (size_t i = 0; i < count; ++i) {
            m_daemons.push_back(std::make_unique<SimulatedDaemon>());
            SimulatedDaemon& daemon = *m_daemons.back();
            daemon.daemons = count;
            daemon.cold.setServices(servicesWithLimit());
            daemon.isIssuer = i == 0;
            // Daemon 1 has joined a moment ago and believes that it issues the permits as well.
            daemon.permits.setAnnounced(i == 1 ? start : start - PermitService::settlingTime);
            daemon.seen = m_entry;
            daemon.cold.observe(m_entry, m_version, start);
        }
        if (count > 1)
            m_daemons[1]->isIssuer = true;
    }

    // The most requests in one second that the endpoint got while it was cold.
    size_t run(std::chrono::seconds time)
    {
        for (TimePoint now = start; now < start + time; now += step)
            advance(now);
        return m_most;
    }

    size_t arrivalsWhileCold() const { return m_arrivalsWhileCold; }

private:
    static constexpr milliseconds step { 5 };
    // Normal load of the endpoint by all daemons, and what they would send to a cold one if there were no limit.
    static constexpr double normalPerSecond = 4.2;
    static constexpr double demandPerSecond = 200;

    bool happens(double perSecond) { return std::uniform_real_distribution<>(0, 1)(m_random) < perSecond * std::chrono::duration<double>(step).count(); }
    milliseconds randomTime(int64_t atMostMs) { return milliseconds(m_random() % static_cast<uint64_t>(atMostMs + 1)); }

    void advance(TimePoint now)
    {
        if (happens(0.2))
            becomeCold(now);
        if (happens(0.1)) {
            ++m_entry.startedAtMs;
            becomeCold(now);
        }
        if (happens(0.1)) {
            for (std::unique_ptr<SimulatedDaemon>& daemon : m_daemons)
                daemon->isCutOff = !m_isPartitioned && m_random() % 3 == 0;
            m_isPartitioned = !m_isPartitioned;
        }
        if (happens(0.1))
            m_daemons[m_random() % 2 ? 0 : m_random() % m_daemons.size()]->frozenUntil = now + randomTime(8'000);
        // Unchanged listings.
        if (happens(0.5))
            publish(now, 0);
        deliver(now);
        for (size_t i = 0; i < m_daemons.size(); ++i) {
            SimulatedDaemon& daemon = *m_daemons[i];
            if (now < daemon.frozenUntil)
                continue;
            daemon.now = now;
            if (!daemon.isCutOff && happens(1)) {
                daemon.listConfirmedAt = now;
                // Daemon 0 learns that daemon 1 has joined and issues the permits from now on.
                daemon.isIssuer = daemon.isIssuer && (i == 1 || m_daemons.size() == 1);
            }
            send(daemon, now);
        }
        receive(now);
    }

    void becomeCold(TimePoint now)
    {
        m_coldUntil = now + coldTime;
        ++m_version;
        m_entry.coldLeftMs = coldTime.count();
        publish(now, 5);
    }

    // Of a hundred updates, `lostPercent` are lost and made up for by a later listing.
    void publish(TimePoint now, uint64_t lostPercent)
    {
        for (size_t i = 0; i < m_daemons.size(); ++i) {
            milliseconds delay = randomTime(500);
            if (m_random() % 100 < lostPercent)
                delay += randomTime(2'000);
            m_deliveries.push_back({ now + delay, i, m_entry, m_version });
        }
    }

    void deliver(TimePoint now)
    {
        std::erase_if(m_deliveries, [this, now](const Delivery& delivery) {
            SimulatedDaemon& daemon = *m_daemons[delivery.daemon];
            if (delivery.at > now || daemon.isCutOff || now < daemon.frozenUntil)
                return false;
            daemon.seen = delivery.entry;
            daemon.cold.observe(delivery.entry, delivery.version, now);
            return true;
        });
    }

    void send(SimulatedDaemon& daemon, TimePoint now)
    {
        double daemons = static_cast<double>(m_daemons.size());
        std::optional<double> limit = daemon.cold.limitOf(*daemon.seen, now);
        if (!limit) {
            if (happens(normalPerSecond / daemons))
                m_arrivals.push_back(now);
            return;
        }
        if (now < daemon.noPermitUntil || now < daemon.cold.quietUntil(*daemon.seen, now) || !happens(demandPerSecond / daemons))
            return;
        PermitReply reply;
        if (std::optional<PermitReply> issued = askIssuer(daemon, *limit, now))
            reply = *issued;
        else
            reply = daemon.permits.takeOwnShare({ "e", *limit }, now, ColdEndpoints::ownSharesFraction);
        if (reply.isGranted)
            m_arrivals.push_back(now + randomTime(ColdEndpoints::maxPermitAge.count()));
        else
            daemon.noPermitUntil = now + milliseconds(reply.retryAfterMs);
    }

    // Half of the daemons ask each of the two that believe to be the issuer.
    std::optional<PermitReply> askIssuer(SimulatedDaemon& daemon, double limit, TimePoint now)
    {
        SimulatedDaemon& issuer = daemon.isIssuer ? daemon : *m_daemons[m_random() % std::min<size_t>(2, m_daemons.size())];
        if (now < issuer.frozenUntil || (&issuer != &daemon && issuer.isCutOff != daemon.isCutOff))
            return std::nullopt;
        std::optional<double> known = issuer.cold.limitOf(*issuer.seen, now);
        return issuer.permits.serve({ "e", std::min(limit, known.value_or(limit)) }, now);
    }

    void receive(TimePoint now)
    {
        std::sort(m_arrivals.begin(), m_arrivals.end());
        while (!m_arrivals.empty() && m_arrivals.front() <= now) {
            m_recent.push_back(m_arrivals.front());
            m_arrivalsWhileCold += m_arrivals.front() < m_coldUntil ? 1 : 0;
            m_arrivals.erase(m_arrivals.begin());
        }
        while (!m_recent.empty() && now - m_recent.front() >= std::chrono::seconds(1))
            m_recent.pop_front();
        if (now >= m_coldUntil)
            return;
        m_most = std::max(m_most, m_recent.size());
    }

    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<SimulatedDaemon>> m_daemons;
    std::vector<Delivery> m_deliveries;
    std::vector<TimePoint> m_arrivals;
    std::deque<TimePoint> m_recent;
    Endpoint m_entry { makeEndpoint(0) };
    uint64_t m_version { 1 };
    TimePoint m_coldUntil {};
    bool m_isPartitioned { false };
    size_t m_most { 0 };
    size_t m_arrivalsWhileCold { 0 };
};

}

// COLD_SEEDS gives another number of sequences for each size of fleet.
static uint64_t lastSeed()
{
    const char* text = std::getenv("COLD_SEEDS");
    return text ? std::strtoull(text, nullptr, 10) : 10;
}

// Guards against daemons that together send a cold endpoint more than it tolerates, whatever each of them knows.
Test(ColdEndpoints, allDaemonsTogetherKeepTheLimit)
{
    size_t highest = 0;
    for (size_t daemons : { size_t { 1 }, size_t { 6 }, size_t { 60 }, size_t { 295 } }) {
        size_t arrivals = 0;
        for (uint64_t seed = 1; seed <= lastSeed(); ++seed) {
            Core::seedRandom(seed);
            SimulatedFleet fleet(daemons, seed);
            size_t most = fleet.run(std::chrono::seconds(60));
            cr_assert_leq(most, mostInOneSecond, "%zu daemons, seed %lu: %zu", daemons, static_cast<unsigned long>(seed), most);
            highest = std::max(highest, most);
            arrivals += fleet.arrivalsWhileCold();
        }
        // The endpoint is cold for about half of the 600 s.
        cr_assert_gt(arrivals, 600, "%zu daemons: %zu", daemons, arrivals);
    }
    // The sequences come near the limit, or they would show nothing.
    cr_assert_gt(highest, mostInOneSecond / 2, "%zu", highest);
}
