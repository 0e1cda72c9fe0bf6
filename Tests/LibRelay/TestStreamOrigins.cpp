#include "RelayFixture.h"

// Take-ups of streams: the software version that began a stream is found at any daemon, also after the one that began it was killed.

using namespace RelayTest;
using Core::Deadline;
using std::chrono::milliseconds;

namespace {

Relay::StreamOriginSettings fastSettings()
{
    Relay::StreamOriginSettings settings;
    settings.writeInterval = milliseconds(30);
    settings.minWriteInterval = milliseconds(2);
    settings.retryDelay = milliseconds(20);
    settings.versionReadSpacing = milliseconds(1);
    settings.streamReadSpacing = milliseconds(1);
    settings.secondReadDelay = milliseconds(40);
    settings.collectorRetryDelay = milliseconds(100);
    settings.firstRecordCheckDelay = milliseconds(10);
    settings.departureCheckDelay = milliseconds(50);
    settings.observeInterval = milliseconds(5);
    settings.recordCheckDelay = milliseconds(10);
    settings.callTimeout = milliseconds(200);
    return settings;
}

// One daemon's part in finding the origins of streams.
struct Daemon {
    std::vector<std::string> registered;
    bool isRecorder { true };
    // The daemon that writes for this one, if set. It can be down.
    Daemon* collector { nullptr };
    bool isDown { false };
    Relay::SoftwareVersions versions;
    Relay::StreamOriginStore origins;

    Daemon(boost::asio::io_context& context, const Platform::ObjectStore& store, const std::string& host, std::vector<std::string> versionsOfEndpoints, Relay::StreamOriginSettings settings = fastSettings())
        : registered(std::move(versionsOfEndpoints))
        , origins(context.get_executor(), store, host, versions, makeHooks(), settings)
    {
        Core::spawn(context.get_executor(), "versions", origins.runVersions());
        Core::spawn(context.get_executor(), "streams", origins.runStreams());
    }

    Relay::StreamOriginHooks makeHooks()
    {
        Relay::StreamOriginHooks hooks;
        hooks.observe = [this](Relay::SoftwareVersions& seen) {
            for (const std::string& version : registered) {
                Relay::Endpoint endpoint;
                endpoint.service = "service";
                endpoint.softwareVersion = version;
                seen.observe(endpoint, Core::SteadyClock::now());
            }
        };
        hooks.isRecorder = [this] { return isRecorder; };
        hooks.collector = [this] { return collector ? std::optional<Core::Address>({ "collector", static_cast<uint16_t>(collector->isDown) }) : std::nullopt; };
        hooks.handOver = [this](Core::Address, Relay::StreamHandover handover, Core::Reason& reason) -> Core::Task<bool> {
            std::optional<Relay::StreamHandover> received = Relay::decodeHandover(Relay::encodeHandover(handover), reason);
            co_return received&& collector && !collector->isDown && collector->origins.accept(*received, reason);
        };
        return hooks;
    }
};

struct OriginFixture {
    boost::asio::io_context context;
    Platform::InMemoryObjectStore store { context.get_executor() };
    std::vector<std::unique_ptr<Daemon>> daemons;

    Daemon& addDaemon(const std::string& host, std::vector<std::string> versions)
    {
        daemons.push_back(std::make_unique<Daemon>(context, store.hooks(), host, std::move(versions)));
        return *daemons.back();
    }

    void pause(milliseconds duration)
    {
        TestSupport::runTask(context, [](Deadline until) -> Core::Task<bool> {
            co_await Core::sleepUntil(until);
            co_return true;
        }(Deadline::after(duration)));
    }

    // The source and version of a stream's origin, or why there is none.
    std::string find(Daemon& daemon, std::optional<uint64_t> key)
    {
        Core::Reason reason;
        std::optional<Relay::StreamOriginStore::Found> found = TestSupport::runTask(context, daemon.origins.find(key, "service", Deadline::after(std::chrono::seconds(5)), reason));
        if (found)
            return std::string(found->source) + " " + found->origin.softwareVersion;
        return reason.kind == Core::FailureKind::NotFound ? "not recorded" : "store silent";
    }
};

}

static constexpr std::chrono::seconds longTime(60);

// Guards against reading and writing the store for streams while a service has a single version.
Test(StreamOrigins, singleVersionCostsNoWrites)
{
    OriginFixture fixture;
    Daemon& first = fixture.addDaemon("a", { "v1", "v1" });
    Daemon& second = fixture.addDaemon("b", { "v1" });
    fixture.pause(milliseconds(60));
    size_t writes = fixture.store.writes();
    size_t reads = fixture.store.reads();
    first.origins.streamBegan(1, { "service", "v1" }, Deadline::after(longTime));
    fixture.pause(milliseconds(100));
    cr_assert_eq(fixture.store.writes(), writes);
    cr_assert_eq(fixture.store.reads(), reads);
    cr_assert_eq(fixture.find(first, 1), "own v1");
    cr_assert_eq(fixture.find(second, 1), "only_version v1");
    cr_assert_eq(fixture.store.reads(), reads + 1);
    cr_assert(fixture.store.table().list(Relay::StreamOriginStore::prefix).objects.empty());
}

// Guards against a take-up at another daemon that joins the stream to another version, or is refused although its version is known.
Test(StreamOrigins, streamIsFoundAtAnotherDaemon)
{
    OriginFixture fixture;
    Daemon& first = fixture.addDaemon("a", { "v1", "v2" });
    Daemon& second = fixture.addDaemon("b", { "v1", "v2" });
    first.origins.streamBegan(1, { "service", "v1" }, Deadline::after(longTime));
    first.origins.streamBegan(2, { "service", "v2" }, Deadline::after(longTime));
    fixture.pause(milliseconds(60));
    cr_assert_eq(fixture.find(second, 1), "record v1");
    cr_assert_eq(fixture.find(second, 2), "record v2");
    cr_assert_eq(fixture.find(second, 3), "not recorded");
    cr_assert_eq(fixture.find(second, std::nullopt), "not recorded");
}

// Guards against losing the streams that began while the service still had a single version.
Test(StreamOrigins, streamsFromBeforeTheSecondVersionAreRecorded)
{
    OriginFixture fixture;
    Daemon& first = fixture.addDaemon("a", { "v1" });
    Daemon& second = fixture.addDaemon("b", { "v1" });
    first.origins.streamBegan(1, { "service", "v1" }, Deadline::after(longTime));
    fixture.pause(milliseconds(30));
    for (Daemon* daemon : { &first, &second })
        daemon->registered = { "v1", "v2" };
    fixture.pause(milliseconds(60));
    cr_assert_eq(fixture.find(second, 1), "record v1");
}

// Guards against texts that are joined from two versions after all daemons were killed and the servers of the old version have left.
Test(StreamOrigins, streamIsFoundAfterAllDaemonsWereKilled)
{
    OriginFixture fixture;
    Daemon& killed = fixture.addDaemon("a", { "v1", "v2" });
    killed.origins.streamBegan(1, { "service", "v1" }, Deadline::after(longTime));
    fixture.pause(milliseconds(60));
    // A stream that began within the last interval before the kill is not recorded.
    killed.origins.streamBegan(2, { "service", "v1" }, Deadline::after(longTime));
    Daemon& restarted = fixture.addDaemon("a", { "v2" });
    Daemon& other = fixture.addDaemon("b", { "v2" });
    killed.registered.clear();
    for (Daemon* daemon : { &restarted, &other }) {
        cr_assert_eq(fixture.find(*daemon, 1), "record v1");
        cr_assert_neq(fixture.find(*daemon, 2), "only_version v2");
    }
}

// Guards against a restarted daemon that replaces the record of its host's earlier streams with its own.
Test(StreamOrigins, restartedDaemonKeepsTheRecordOfItsHost)
{
    OriginFixture fixture;
    {
        boost::asio::io_context context;
        Daemon killed(context, fixture.store.hooks(), "a", { "v1", "v2" });
        killed.origins.streamBegan(1, { "service", "v1" }, Deadline::after(longTime));
        context.run_for(milliseconds(5));
        fixture.pause(milliseconds(40));
        context.run_for(milliseconds(60));
        fixture.pause(milliseconds(10));
        context.run_for(milliseconds(60));
    }
    Daemon& restarted = fixture.addDaemon("a", { "v1", "v2" });
    restarted.origins.streamBegan(2, { "service", "v2" }, Deadline::after(longTime));
    Daemon& other = fixture.addDaemon("b", { "v1", "v2" });
    fixture.pause(milliseconds(80));
    cr_assert_eq(fixture.find(other, 1), "record v1");
    cr_assert_eq(fixture.find(other, 2), "record v2");
}

// Guards against a daemon whose list of endpoints lags behind: it must not continue a stream of a version that it has not seen.
Test(StreamOrigins, daemonThatLagsBehindLearnsOfTheVersionFromTheRecord)
{
    OriginFixture fixture;
    Daemon& lagging = fixture.addDaemon("a", { "v1" });
    fixture.pause(milliseconds(30));
    Daemon& current = fixture.addDaemon("b", { "v1", "v2" });
    fixture.pause(milliseconds(30));
    current.origins.streamBegan(1, { "service", "v2" }, Deadline::after(longTime));
    fixture.pause(milliseconds(60));
    cr_assert_eq(fixture.find(lagging, 1), "record v2");
}

// Guards against a daemon that the store does not answer: another daemon may use a version by now that this one has not seen.
Test(StreamOrigins, onlyVersionCountsOnceTheStoreConfirmsIt)
{
    OriginFixture fixture;
    Daemon& daemon = fixture.addDaemon("a", { "v1" });
    fixture.pause(milliseconds(30));
    daemon.origins.streamBegan(1, { "service", "v1" }, Deadline::after(longTime));
    fixture.store.setOutage(true);
    cr_assert_eq(fixture.find(daemon, 2), "store silent");
    cr_assert_eq(fixture.find(daemon, 1), "own v1");
    fixture.store.setOutage(false);
    cr_assert_eq(fixture.find(daemon, 2), "only_version v1");
}

// Guards against a take-up that arrives before its stream is recorded, right after the caller's connection broke.
Test(StreamOrigins, brokenStreamIsRecordedAtOnce)
{
    OriginFixture fixture;
    Relay::StreamOriginSettings slow = fastSettings();
    slow.writeInterval = milliseconds(5'000);
    fixture.daemons.push_back(std::make_unique<Daemon>(fixture.context, fixture.store.hooks(), "a", std::vector<std::string> { "v1", "v2" }, slow));
    Daemon& first = *fixture.daemons.back();
    Daemon& second = fixture.addDaemon("b", { "v1", "v2" });
    first.origins.streamBegan(1, { "service", "v1" }, Deadline::after(longTime));
    fixture.pause(milliseconds(60));
    first.origins.streamBegan(2, { "service", "v2" }, Deadline::after(longTime));
    fixture.pause(milliseconds(30));
    first.origins.streamEnded(2, false);
    cr_assert_eq(fixture.find(second, 2), "record v2");
}

// Guards against a planned stop that loses the streams of the last interval.
Test(StreamOrigins, stopWritesWhatIsNotWritten)
{
    OriginFixture fixture;
    Relay::StreamOriginSettings slow = fastSettings();
    slow.writeInterval = milliseconds(5'000);
    fixture.daemons.push_back(std::make_unique<Daemon>(fixture.context, fixture.store.hooks(), "a", std::vector<std::string> { "v1", "v2" }, slow));
    Daemon& first = *fixture.daemons.back();
    Daemon& second = fixture.addDaemon("b", { "v1", "v2" });
    first.origins.streamBegan(1, { "service", "v1" }, Deadline::after(longTime));
    fixture.pause(milliseconds(60));
    first.origins.streamBegan(2, { "service", "v2" }, Deadline::after(longTime));
    TestSupport::runTask(fixture.context, [](Daemon& daemon) -> Core::Task<bool> {
        co_await daemon.origins.stop(Deadline::after(std::chrono::seconds(2)));
        co_return true;
    }(first));
    cr_assert_eq(fixture.find(second, 2), "record v2");
}

// Guards against losing streams when a write is lost, conflicts with another process of the host, or the store is down for a while.
Test(StreamOrigins, streamsAreWrittenAfterFailedWrites)
{
    for (int fault = 0; fault < 4; ++fault) {
        OriginFixture fixture;
        Daemon& first = fixture.addDaemon("a", { "v1", "v2" });
        Daemon& second = fixture.addDaemon("b", { "v1", "v2" });
        first.origins.streamBegan(1, { "service", "v1" }, Deadline::after(longTime));
        fixture.pause(milliseconds(60));
        if (fault == 0)
            fixture.store.loseReplies(2);
        if (fault == 1)
            fixture.store.loseRequests(2);
        if (fault == 2)
            fixture.store.failWithConflict(2);
        if (fault == 3)
            fixture.store.setOutage(true);
        first.origins.streamBegan(2, { "service", "v2" }, Deadline::after(longTime));
        fixture.pause(milliseconds(60));
        fixture.store.setOutage(false);
        fixture.pause(milliseconds(100));
        cr_assert_eq(fixture.find(second, 1), "record v1", "fault %d", fault);
        cr_assert_eq(fixture.find(second, 2), "record v2", "fault %d", fault);
    }
}

// Guards against all daemons writing the version record, and against none writing it when its recorder has died.
Test(StreamOrigins, versionsAreRecordedByOneDaemonOrTheOthers)
{
    for (bool hasRecorder : { true, false }) {
        OriginFixture fixture;
        for (int i = 0; i < 6; ++i)
            fixture.addDaemon("host-" + std::to_string(i), { "v1", "v2" }).isRecorder = hasRecorder && i == 0;
        fixture.pause(milliseconds(150));
        Core::Reason reason;
        std::optional<Platform::Object> record = fixture.store.table().get(Relay::StreamOriginStore::versionRecordName, reason);
        cr_assert(record, "recorder: %d", hasRecorder);
        cr_assert_eq(record->value, Relay::encodeVersionRecord({ { "service", { "v1", "v2" } } }));
        if (hasRecorder)
            cr_assert_eq(fixture.store.writes(), 1);
        for (const std::unique_ptr<Daemon>& daemon : fixture.daemons)
            cr_assert(daemon->versions.recorded() && !daemon->versions.recorded()->empty());
    }
}

// Guards against a write of each daemon in a large fleet, and against streams that are lost on the way to the daemon that writes for them.
Test(StreamOrigins, oneDaemonWritesForOthers)
{
    OriginFixture fixture;
    Daemon& collector = fixture.addDaemon("a", { "v1", "v2" });
    Daemon& other = fixture.addDaemon("b", { "v1", "v2" });
    Daemon& reader = fixture.addDaemon("c", { "v1", "v2" });
    other.collector = &collector;
    other.origins.streamBegan(1, { "service", "v1" }, Deadline::after(longTime));
    collector.origins.streamBegan(2, { "service", "v2" }, Deadline::after(longTime));
    fixture.pause(milliseconds(80));
    cr_assert_eq(other.origins.writes(), 0);
    cr_assert_eq(fixture.find(reader, 1), "record v1");
    cr_assert_eq(fixture.find(reader, 2), "record v2");
    cr_assert_eq(fixture.find(collector, 1), "own v1");

    // Without the collector, the other daemon writes all of its streams itself.
    collector.isDown = true;
    other.origins.streamBegan(3, { "service", "v2" }, Deadline::after(longTime));
    fixture.pause(milliseconds(80));
    cr_assert_eq(other.origins.writes(), 1);
    cr_assert_eq(fixture.find(reader, 3), "record v2");

    // A collector that has started again knows nothing, and is given all streams.
    Daemon& next = fixture.addDaemon("d", { "v1", "v2" });
    other.collector = &next;
    fixture.pause(milliseconds(150));
    cr_assert_eq(fixture.find(next, 1), "own v1");
    cr_assert_eq(fixture.find(next, 3), "own v2");
}

// Guards against two daemons that hand the same streams to each other again and again, and write none.
Test(StreamOrigins, collectorsOfEachOtherWrite)
{
    OriginFixture fixture;
    Daemon& first = fixture.addDaemon("a", { "v1", "v2" });
    Daemon& second = fixture.addDaemon("b", { "v1", "v2" });
    Daemon& reader = fixture.addDaemon("c", { "v1", "v2" });
    first.collector = &second;
    second.collector = &first;
    first.origins.streamBegan(1, { "service", "v1" }, Deadline::after(longTime));
    fixture.pause(milliseconds(150));
    cr_assert_eq(fixture.find(reader, 1), "record v1");
}

// Guards against a malformed message of a peer ending the daemon, and against streams that stay longer than any request.
Test(StreamOrigins, handedStreamsAreReadSafely)
{
    Core::Reason reason;
    Relay::StreamHandover handover { { { 1, { "a", "v1" }, milliseconds(5) }, { 2, { "a", "v2" }, milliseconds(0) } }, true };
    cr_assert_eq(Relay::decodeHandover(Relay::encodeHandover(handover), reason), handover);
    std::string bytes = Relay::encodeHandover(handover);
    for (size_t length = 0; length < bytes.size(); ++length)
        cr_assert_not(Relay::decodeHandover(bytes.substr(0, length), reason), "%zu bytes", length);
    OriginFixture fixture;
    Daemon& daemon = fixture.addDaemon("a", { "v1", "v2" });
    fixture.pause(milliseconds(30));
    cr_assert(daemon.origins.accept({ { { 1, { "service", "v1" }, milliseconds::max() } }, false }, reason));
    cr_assert_eq(fixture.find(daemon, 1), "own v1");
    TestSupport::runTask(fixture.context, [](Daemon& stopping) -> Core::Task<bool> {
        co_await stopping.origins.stop(Deadline::after(std::chrono::seconds(1)));
        co_return true;
    }(daemon));
    cr_assert_not(daemon.origins.accept(handover, reason));
}

// Guards against a version that left, was removed from the record and returned: a daemon whose list of endpoints lags behind must not take
// its streams for those of the other version.
Test(StreamOrigins, versionThatReturnsIsFoundAtADaemonThatLagsBehind)
{
    OriginFixture fixture;
    Daemon& lagging = fixture.addDaemon("a", { "v1" });
    lagging.isRecorder = false;
    fixture.pause(milliseconds(30));
    Core::SteadyClock::time_point longAgo = Core::SteadyClock::now() - Relay::SoftwareVersions::retention - milliseconds(1);
    Relay::Endpoint endpoint;
    endpoint.service = "service";
    endpoint.softwareVersion = "v2";
    lagging.versions.observe(endpoint, longAgo);
    cr_assert_eq(fixture.find(lagging, 1), "only_version v1");
    Daemon& current = fixture.addDaemon("b", { "v1", "v2" });
    fixture.pause(milliseconds(30));
    current.origins.streamBegan(1, { "service", "v2" }, Deadline::after(longTime));
    fixture.pause(milliseconds(60));
    cr_assert_eq(fixture.find(lagging, 1), "record v2");
}

// Guards against a daemon that still counts a version which the fleet has removed from the record: the others record no streams any more,
// and it would refuse all their take-ups.
Test(StreamOrigins, versionThatOthersHaveRemovedIsNoReasonToRefuse)
{
    OriginFixture fixture;
    Daemon& recorder = fixture.addDaemon("a", { "v1", "v2" });
    fixture.pause(milliseconds(30));
    Daemon& late = fixture.addDaemon("b", { "v2" });
    late.isRecorder = false;
    fixture.pause(milliseconds(30));
    cr_assert(late.versions.mixedServices(Core::SteadyClock::now()).contains("service"));
    // The recorder removes the version.
    recorder.isRecorder = false;
    Core::Reason reason;
    Platform::Version version = fixture.store.table().get(Relay::StreamOriginStore::versionRecordName, reason)->version;
    cr_assert(fixture.store.table().put(Relay::StreamOriginStore::versionRecordName, Relay::encodeVersionRecord({ { "service", { "v2" } } }), version, reason));
    cr_assert_eq(fixture.find(late, 1), "only_version v2");
    recorder.registered = { "v2" };
    fixture.pause(milliseconds(100));
    cr_assert_eq(fixture.store.table().get(Relay::StreamOriginStore::versionRecordName, reason)->value, Relay::encodeVersionRecord({ { "service", { "v2" } } }));
}

// Guards against a daemon that accepts streams of a service that it records none of.
Test(StreamOrigins, streamsOfAServiceWithOneVersionAreNotAccepted)
{
    OriginFixture fixture;
    Daemon& daemon = fixture.addDaemon("a", { "v1" });
    fixture.pause(milliseconds(30));
    Core::Reason reason;
    cr_assert_not(daemon.origins.accept({ { { 1, { "service", "v2" }, milliseconds(1'000) } }, false }, reason));
}

// Guards against take-ups that are refused although every read of a slow store succeeds.
Test(StreamOrigins, takeUpsShareReadsOfASlowStore)
{
    OriginFixture fixture;
    Daemon& daemon = fixture.addDaemon("a", { "v1" });
    fixture.pause(milliseconds(30));
    fixture.store.setDelay(milliseconds(120));
    std::vector<std::optional<std::optional<Relay::StreamOriginStore::Found>>> found(10);
    std::vector<Core::Reason> reasons(found.size());
    for (size_t i = 0; i < found.size(); ++i) {
        TestSupport::startTask(fixture.context, daemon.origins.find(i, "service", Deadline::after(std::chrono::seconds(5)), reasons[i]), found[i]);
        fixture.pause(milliseconds(10));
    }
    TestSupport::runUntil(fixture.context, [&] { return std::all_of(found.begin(), found.end(), [](const auto& each) { return each.has_value(); }); });
    for (size_t i = 0; i < found.size(); ++i)
        cr_assert(*found[i], "%zu: %s", i, reasons[i].text().c_str());
}

// Guards against one caller's stream deciding the version of another one with the same id.
Test(StreamOrigins, idOfSeveralStreamsHasNoOrigin)
{
    cr_assert_neq(Relay::streamKeyOf("w1", "id"), Relay::streamKeyOf("w2", "id"));
    OriginFixture fixture;
    fixture.addDaemon("a", { "v1", "v2" }).origins.streamBegan(1, { "service", "v1" }, Deadline::after(longTime));
    fixture.addDaemon("b", { "v1", "v2" }).origins.streamBegan(1, { "service", "v2" }, Deadline::after(longTime));
    Daemon& third = fixture.addDaemon("c", { "v1", "v2" });
    fixture.pause(milliseconds(60));
    cr_assert_eq(fixture.find(third, 1), "not recorded");
}

// Guards against records that grow with all streams that ever were.
Test(StreamOrigins, streamsAreDroppedWhenTheyCannotBeTakenUp)
{
    Core::SteadyClock::time_point now = Core::SteadyClock::now();
    Relay::StreamOriginTable table;
    table.add(1, { "service", "v1" }, Deadline(now + milliseconds(100)));
    table.add(2, { "service", "v1" }, Deadline(now + longTime));
    table.add(3, { "service", "v1" }, Deadline(now + longTime));
    table.complete(3, now);
    table.expire(now + milliseconds(101));
    cr_assert_not(table.find(1));
    cr_assert(table.find(3));
    table.expire(now + Relay::StreamOriginTable::completedRetention + milliseconds(1));
    cr_assert_not(table.find(3));
    cr_assert(table.find(2));
    cr_assert(table.hasStreamsOf({ "service" }));
    cr_assert_not(table.hasStreamsOf({ "other" }));
}

// Guards against an unreadable record ending the daemon, or hiding those of other hosts.
Test(StreamOrigins, malformedRecordsAreRefused)
{
    Relay::StreamOriginTable table;
    table.add(0xab, { "service", "v1" }, Deadline::after(longTime));
    table.add(1, { "other", "v2" }, Deadline::after(longTime));
    Relay::StreamOrigins origins;
    Core::Reason reason;
    cr_assert(Relay::StreamOriginTable::decode(table.encode({ "service" }), "n", origins, reason));
    cr_assert_eq(origins.size(), 1);
    cr_assert_eq(origins.at(0xab), (Relay::StreamOrigin { "service", "v1" }));
    for (const char* text : { "", "[]", "{}", R"({"origins":1})", R"({"origins":[1]})", R"({"origins":[{"service":"s","version":"v"}]})",
             R"({"origins":[{"service":"s","version":"v","streams":"00"}]})", R"({"origins":[{"service":"s","version":"v","streams":"-000000000000001"}]})",
             R"({"origins":[{"service":"s","version":"v","streams":"x000000000000001"}]})" }) {
        reason = {};
        cr_assert_not(Relay::StreamOriginTable::decode(text, "n", origins, reason), "%s", text);
        cr_assert_eq(reason.kind, Core::FailureKind::Invalid);
    }
}

namespace {

// A relay whose endpoints name their version, and the records of its fleet.
struct TakeUpFixture : Fixture {
    Daemon daemon;
    std::map<std::string, std::string> versions;

    explicit TakeUpFixture(const std::vector<std::string>& versionsByEndpoint)
        : Fixture(versionsByEndpoint.size())
        , daemon(context, store.hooks(), "host", versionsByEndpoint)
    {
        origins = &daemon.origins;
        for (size_t i = 0; i < versionsByEndpoint.size(); ++i) {
            std::string id = "e" + std::to_string(i);
            Relay::Endpoint endpoint = *directory.find(id);
            endpoint.softwareVersion = versions[id] = versionsByEndpoint[i];
            directory.put(endpoint);
        }
        answer = [this](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
            Core::Reason reason;
            co_await writer.startStream(200, sealed(request), reason);
            std::string event = HTTP::findHeader(request.headers, "Last-Event").value_or("0") == "0" ? "1" : "2";
            co_await writer.writeChunk("id: " + event + "\ndata: " + versions.at(HTTP::findHeader(request.headers, "Expect-Endpoint").value()) + "\n\n", reason);
            co_await writer.finishStream(reason);
        };
    }

    std::optional<HTTP::Response> takeUp(const std::string& id, const std::string& resumes)
    {
        return call({ "POST", "/stream/a", { { "Id", id }, { "Key", "key" }, { "Resumes", resumes }, { "Last-Event", "1" } }, "body" });
    }
};

}

// Guards against a caller that takes a stream up and gets the rest of it from another software version.
Test(StreamOrigins, takeUpGoesOnAtTheVersionThatBeganTheStream)
{
    TakeUpFixture fixture({ "v1", "v2", "v1", "v2" });
    for (int i = 0; i < 12; ++i) {
        std::string id = "r" + std::to_string(i);
        std::optional<HTTP::Response> begun = fixture.call({ "POST", "/stream/a", { { "Id", id }, { "Key", "key" } }, "body" });
        std::optional<HTTP::Response> rest = fixture.takeUp("t" + std::to_string(i), id);
        cr_assert(begun && rest && rest->status == 200);
        cr_assert_eq(begun->body.substr(begun->body.find("data")), rest->body.substr(rest->body.find("data")));
    }
}

// Guards against refusing the second take-up of a stream at a daemon that has served the first one, when a second version has come between.
Test(StreamOrigins, streamThatWasTakenUpIsRemembered)
{
    TakeUpFixture fixture({ "v1", "v1" });
    TestSupport::runUntil(fixture.context, [&] { return fixture.daemon.versions.isCurrent(); });
    cr_assert_eq(fixture.takeUp("t1", "r0")->status, 200);
    fixture.daemon.registered = { "v1", "v2" };
    TestSupport::runUntil(fixture.context, [&] { return !fixture.daemon.versions.mixedServices(Core::SteadyClock::now()).empty(); });
    cr_assert_eq(fixture.takeUp("t2", "r0")->status, 200);
}

// Guards against joining a stream whose version is not known, and against sending it to an endpoint before it is refused.
Test(StreamOrigins, takeUpOfAnUnknownStreamIsRefused)
{
    TakeUpFixture fixture({ "v1", "v2" });
    TestSupport::runUntil(fixture.context, [&] { return fixture.daemon.versions.isCurrent(); });
    std::optional<HTTP::Response> response = fixture.takeUp("t1", "unknown");
    cr_assert(response);
    cr_assert_eq(response->status, 503);
    cr_assert_neq(response->body.find("stream_origin_unknown"), std::string::npos, "%s", response->body.c_str());
    cr_assert_neq(response->body.find("not_run"), std::string::npos);
    cr_assert(HTTP::findHeader(response->headers, "Retry-After"));
    cr_assert(fixture.arrivals.empty());
}

// Guards against joining a stream to the version that has replaced its own.
Test(StreamOrigins, takeUpOfAVersionThatHasLeftIsRefused)
{
    TakeUpFixture fixture({ "v2", "v2" });
    fixture.daemon.registered = { "v1", "v2" };
    fixture.daemon.origins.streamBegan(Relay::streamKeyOf("w", "r0"), { "service", "v1" }, Deadline::after(longTime));
    std::optional<HTTP::Response> response = fixture.takeUp("t1", "r0");
    cr_assert(response);
    cr_assert_eq(response->status, 503);
    cr_assert_neq(response->body.find("version_not_served"), std::string::npos, "%s", response->body.c_str());
    cr_assert(fixture.arrivals.empty());
}
