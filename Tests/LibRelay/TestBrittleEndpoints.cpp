#include "LibRelay/BrittleServices.h"
#include "LibRelay/PlaceService.h"
#include "RelayFixture.h"

#include <random>

using namespace RelayTest;
using namespace std::chrono_literals;
using Relay::PlaceTable;

namespace {

constexpr size_t slots = 4;

Relay::Endpoint makeEndpoint(const std::string& id)
{
    Relay::Endpoint endpoint;
    endpoint.id = id;
    endpoint.service = "service";
    endpoint.slots = slots;
    return endpoint;
}

Core::Deadline inTenSeconds(PlaceTable::TimePoint now)
{
    return Core::Deadline(now + 10s);
}

}

// Guards against more requests at a brittle endpoint than it runs at once, from whichever daemons they come, and against places that are
// lost with the daemon that held them.
Test(BrittleEndpoints, placesAreCountedForAllDaemons)
{
    PlaceTable places;
    PlaceTable::TimePoint now = Core::SteadyClock::now();
    for (uint64_t i = 0; i < slots; ++i)
        cr_assert(places.take("e", { "host-" + std::to_string(i), 1 }, slots, inTenSeconds(now), now));
    cr_assert(!places.take("e", { "host-9", 1 }, slots, inTenSeconds(now), now));
    cr_assert(places.take("other", { "host-9", 2 }, slots, inTenSeconds(now), now));
    places.giveBack("e", { "host-0", 1 }, std::nullopt, now);
    places.giveBack("e", { "host-0", 1 }, std::nullopt, now);
    cr_assert(places.take("e", { "host-9", 1 }, slots, inTenSeconds(now), now));
    cr_assert(!places.take("e", { "host-9", 3 }, slots, inTenSeconds(now), now));
    now += 10s;
    cr_assert_eq(places.taken("e", now), 0);
    cr_assert(places.take("e", { "host-9", 3 }, slots, inTenSeconds(now), now));
}

// Guards against an endpoint that rejects more requests in a second than it bears, with any room and load and any number it has named.
Test(BrittleEndpoints, rejectionsStayBelowWhatTheEndpointBears)
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        size_t room = 1 + random() % 12;
        size_t named = 1 + random() % 16;
        size_t maxRejections = 2 + random() % 10;
        PlaceTable places;
        std::map<uint64_t, PlaceTable::TimePoint> running;
        std::deque<PlaceTable::TimePoint> rejections;
        PlaceTable::TimePoint now = Core::SteadyClock::now();
        for (uint64_t number = 1; number < 4'000; ++number) {
            now += std::chrono::milliseconds(random() % 10);
            for (auto it = running.begin(); it != running.end();) {
                if (now < it->second) {
                    ++it;
                    continue;
                }
                places.giveBack("e", { "host", it->first }, std::nullopt, now);
                it = running.erase(it);
            }
            // The room changes at times.
            if (random() % 200 == 0)
                room = 1 + random() % 12;
            if (!places.take("e", { "host", number }, named, inTenSeconds(now), now))
                continue;
            if (running.size() < room) {
                running.emplace(number, now + 20ms + std::chrono::milliseconds(random() % 200));
                continue;
            }
            places.giveBack("e", { "host", number }, static_cast<double>(maxRejections), now);
            rejections.push_back(now);
            while (now - rejections.front() >= PlaceTable::rejectionWindow)
                rejections.pop_front();
            cr_assert_leq(rejections.size(), maxRejections, "seed %u: %zu rejections in a second", seed, rejections.size());
        }
    }
}

// Guards against an endpoint that never gets requests again after it has rejected some.
Test(BrittleEndpoints, roomReturnsWithAnswers)
{
    PlaceTable places;
    PlaceTable::TimePoint now = Core::SteadyClock::now();
    cr_assert(places.take("e", { "host", 1 }, slots, inTenSeconds(now), now));
    places.giveBack("e", { "host", 1 }, 5, now);
    for (uint64_t number = 2; number < 40; ++number) {
        cr_assert(places.take("e", { "host", number }, slots, inTenSeconds(now), now));
        places.giveBack("e", { "host", number }, std::nullopt, now);
    }
    for (uint64_t number = 40; number < 40 + slots; ++number)
        cr_assert(places.take("e", { "host", number }, slots, inTenSeconds(now), now));
    cr_assert(!places.take("e", { "host", 50 }, slots, inTenSeconds(now), now));
}

// Guards against all daemons falling back to their own shares at once, and together sending what the endpoint cannot take.
Test(BrittleEndpoints, ownSharesTogetherStayBelowTheSlots)
{
    for (size_t daemons : { 1, 4, 70, 300 }) {
        size_t total = 0;
        for (size_t daemon = 0; daemon < daemons; ++daemon) {
            size_t inFlight = 0;
            Relay::PlaceHooks hooks;
            hooks.issuerOf = [](const std::string&) -> std::optional<Core::Address> { return std::nullopt; };
            hooks.isIssuer = [](const std::string&) { return false; };
            hooks.daemons = [daemons] { return daemons; };
            hooks.inFlight = [&inFlight](const std::string&) { return inFlight; };
            Relay::PlaceService service("host-" + std::to_string(daemon), hooks);
            boost::asio::io_context context;
            while (inFlight < slots && TestSupport::runTask(context, service.acquire(makeEndpoint("e"), Core::Deadline::after(1s))))
                ++inFlight;
            total += inFlight;
        }
        cr_assert_leq(total, slots, "%zu daemons: %zu requests", daemons, total);
    }
}

// Guards against forgetting that a service is brittle because one of its endpoints has started again, and against never ending it.
Test(BrittleEndpoints, serviceIsBrittleWhileAnyEndpointSaysSo)
{
    Relay::BrittleServices services;
    PlaceTable::TimePoint now = Core::SteadyClock::now();
    cr_assert(!services.record(makeEndpoint("a"), std::nullopt, now));
    cr_assert(services.record(makeEndpoint("a"), 5, now));
    cr_assert(!services.record(makeEndpoint("b"), 3, now));
    cr_assert_eq(services.maxRejections("service", now), 3);
    cr_assert(!services.record(makeEndpoint("b"), std::nullopt, now));
    cr_assert_eq(services.maxRejections("service", now), 5);
    cr_assert(services.record(makeEndpoint("a"), std::nullopt, now));
    services.record(makeEndpoint("a"), 5, now);
    cr_assert(!services.maxRejections("service", now + Relay::BrittleServices::memory + 1ms));
}

// Guards against malformed messages between daemons.
Test(BrittleEndpoints, messagesSurviveTheirEncoding)
{
    Core::Reason reason;
    Relay::PlaceRequest request { "e", "host", 7, true, 4, 900, 5.0 };
    cr_assert(Relay::decodePlaceRequest(Relay::encodePlaceRequest(request), reason) == request);
    cr_assert(Relay::decodePlaceReply(Relay::encodePlaceReply(true), reason).value());
    cr_assert(!Relay::decodePlaceRequest("x", reason));
    cr_assert(!Relay::decodePlaceReply(Relay::encodePlaceRequest(request), reason));
}

static Core::Task<void> answerBrittle(const HTTP::Request& request, HTTP::ResponseWriter& writer)
{
    HTTP::Headers headers = sealed(request);
    headers.push_back({ "Brittle", "5" });
    Core::Reason ignored;
    co_await writer.send({ 200, std::move(headers), "ok" }, ignored);
}

// Guards against requests to a brittle endpoint that has no free place, and against places that are not returned.
Test(BrittleEndpoints, requestsNeedAPlace)
{
    Fixture fixture;
    fixture.answer = answerBrittle;
    bool isFree = true;
    std::vector<std::string> returned;
    fixture.acquirePlace = [&isFree](const Relay::Endpoint&) -> std::optional<uint64_t> { return isFree ? std::optional<uint64_t>(1) : std::nullopt; };
    fixture.returnPlace = [&returned](const std::string& endpoint, std::optional<double> maxRejections) { returned.push_back(endpoint + (maxRejections ? " rejected" : "")); };
    // The first answer says that the service is brittle.
    cr_assert_eq(fixture.call(fixture.makeRequest("/once/a"))->status, 200);
    cr_assert(returned.empty());
    cr_assert_eq(fixture.call(fixture.makeRequest("/once/a"))->status, 200);
    cr_assert_eq(returned.size(), 1);
    isFree = false;
    std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/once/a"));
    cr_assert_eq(response->status, 503);
    cr_assert(HTTP::findHeader(response->headers, "Retry-After").has_value());
    cr_assert_eq(fixture.arrivals.size(), 2);
}

// Guards against rejections that the daemon which assigns the places does not learn of.
Test(BrittleEndpoints, rejectionIsReportedWithThePlace)
{
    Fixture fixture;
    fixture.answer = answerBrittle;
    std::vector<std::optional<double>> returned;
    fixture.acquirePlace = [](const Relay::Endpoint&) -> std::optional<uint64_t> { return 1; };
    fixture.returnPlace = [&returned](const std::string&, std::optional<double> maxRejections) { returned.push_back(maxRejections); };
    cr_assert_eq(fixture.call(fixture.makeRequest("/once/a"))->status, 200);
    fixture.answer = [](const HTTP::Request&, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        Core::Reason ignored;
        co_await writer.send({ 503, { { "Id", "r1" }, { "Not-Run", "1" }, { "Brittle", "5" } }, "" }, ignored);
    };
    cr_assert_eq(fixture.call(fixture.makeRequest("/once/a"))->status, 503);
    cr_assert_eq(returned, (std::vector<std::optional<double>> { 5, 5 }));
}
