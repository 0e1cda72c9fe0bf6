#include "RelayFixture.h"

// Endpoints of several software versions in one service: a stream goes on only at the version that began it.

using namespace RelayTest;
using std::chrono::milliseconds;

namespace {

// Endpoints whose events name their software version. The first run of each stream breaks off after two events.
struct MixedFixture : Fixture {
    static constexpr uint64_t lastEvent = 4;

    std::map<std::string, std::string> versions;
    int runs { 0 };
    bool breaksOff { true };

    explicit MixedFixture(const std::vector<std::string>& versionsByEndpoint)
        : Fixture(versionsByEndpoint.size())
    {
        for (size_t i = 0; i < versionsByEndpoint.size(); ++i)
            setVersion("e" + std::to_string(i), versionsByEndpoint[i]);
        answer = [this](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> { co_await stream(request, writer); };
    }

    void setVersion(const std::string& id, const std::string& version)
    {
        Relay::Endpoint endpoint = *directory.find(id);
        endpoint.softwareVersion = version;
        directory.put(endpoint);
        versions[id] = version;
    }

    Core::Task<void> stream(const HTTP::Request& request, HTTP::ResponseWriter& writer)
    {
        Core::Reason reason;
        std::string version = versions.at(HTTP::findHeader(request.headers, "Expect-Endpoint").value());
        uint64_t first = std::stoull(HTTP::findHeader(request.headers, "Last-Event").value_or("0")) + 1;
        bool isBroken = breaksOff && ++runs % 2 == 1;
        co_await writer.startStream(200, sealed(request), reason);
        for (uint64_t event = first; event <= (isBroken ? first + 1 : lastEvent); ++event)
            co_await writer.writeChunk("id: " + std::to_string(event) + "\ndata: " + version + "\n\n", reason);
        if (isBroken)
            writer.abort();
        else
            co_await writer.finishStream(reason);
    }
};

}

static size_t versionsIn(const std::string& body)
{
    size_t count = 0;
    for (const char* version : { "data: v1\n", "data: v2\n" })
        count += body.find(version) != std::string::npos ? 1 : 0;
    return count;
}

// Guards against a stream that breaks off at one software version and goes on at another within one answer.
Test(SoftwareVersions, retryWithinAnAnswerKeepsTheVersion)
{
    int complete = 0;
    for (int i = 0; i < 12; ++i) {
        MixedFixture fixture({ "v1", "v2", "v1", "v2" });
        std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/stream/a"));
        cr_assert(response);
        cr_assert_eq(versionsIn(response->body), 1, "joined from two versions:\n%s", response->body.c_str());
        complete += response->body.find("id: 4\n") != std::string::npos;
    }
    cr_assert_eq(complete, 12);
}

// Guards against a broken stream that goes on at another version because its own has no endpoint left.
Test(SoftwareVersions, streamWithoutAnEndpointOfItsVersionBreaksOff)
{
    for (int i = 0; i < 6; ++i) {
        MixedFixture fixture({ "v1", "v2" });
        cr_assert_not(fixture.call(fixture.makeRequest("/stream/a")));
        cr_assert_eq(fixture.arrivals.size(), 1);
    }
}

// Guards against taking up at another version: the endpoint was replaced under its id between the choice and the first event.
Test(SoftwareVersions, endpointThatWasReplacedDoesNotContinueTheStream)
{
    MixedFixture fixture({ "v1", "v1" });
    fixture.breaksOff = false;
    int attempts = 0;
    Fixture::Answer stream = fixture.answer;
    fixture.answer = [&](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        if (++attempts == 1)
            fixture.setVersion(HTTP::findHeader(request.headers, "Expect-Endpoint").value(), "v2");
        co_await stream(request, writer);
    };
    std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/stream/a"));
    cr_assert(response);
    cr_assert_eq(versionsIn(response->body), 1);
    cr_assert_eq(attempts, 2);
}

// Guards against a daemon that has just learned of a version sending it streams that others take for those of the only version they know.
Test(SoftwareVersions, endpointsOfAnUnrecordedVersionBeginNoStreamsWhileThereAreOthers)
{
    Relay::SoftwareVersions versions;
    versions.adopt({ { "service", { "v1" } } }, Core::SteadyClock::now());
    MixedFixture fixture({ "v1", "v2" });
    fixture.breaksOff = false;
    fixture.selector.setSoftwareVersions(versions);
    for (int i = 0; i < 6; ++i)
        cr_assert_neq(fixture.call(fixture.makeRequest("/stream/a"))->body.find("data: v1"), std::string::npos);
    fixture.directory.remove("e0", Core::SteadyClock::now());
    cr_assert_neq(fixture.call(fixture.makeRequest("/stream/a"))->body.find("data: v2"), std::string::npos);
}

static Relay::Endpoint endpointOf(const std::string& version)
{
    Relay::Endpoint endpoint;
    endpoint.id = "e-" + version;
    endpoint.service = "service";
    endpoint.softwareVersion = version;
    return endpoint;
}

// Guards against a version that is forgotten while its streams can be taken up, and one that is kept for ever.
Test(SoftwareVersions, versionsCountUntilTheirStreamsCannotBeTakenUp)
{
    Core::SteadyClock::time_point start {};
    Relay::SoftwareVersions versions;
    versions.observe(endpointOf("v1"), start);
    cr_assert_eq(versions.onlyVersion("service", start), "v1");
    versions.observe(endpointOf("v2"), start + milliseconds(1));
    cr_assert_eq(versions.onlyVersion("service", start + milliseconds(1)), std::nullopt);
    Core::SteadyClock::time_point later = start + Relay::SoftwareVersions::retention + milliseconds(1);
    versions.observe(endpointOf("v2"), later);
    cr_assert_eq(versions.onlyVersion("service", later), "v2");

    // The record of the fleet still has the old version. It counts, and leaves the record a retention after this daemon has read it there.
    versions.adopt({ { "service", { "v1", "v2" } } }, later);
    cr_assert_eq(versions.onlyVersion("service", later), std::nullopt);
    cr_assert(versions.hasDepartedVersions(later));
    cr_assert_eq(versions.updatedRecord(later), *versions.recorded());
    Core::SteadyClock::time_point muchLater = later + Relay::SoftwareVersions::retention + milliseconds(1);
    versions.observe(endpointOf("v2"), muchLater);
    versions.adopt(versions.updatedRecord(muchLater), muchLater);
    cr_assert_eq(*versions.recorded(), (Relay::VersionRecord { { "service", { "v2" } } }));
    cr_assert_eq(versions.onlyVersion("service", muchLater), "v2");
}

// Guards against a daemon that has just started taking the version that is registered now for the only one.
Test(SoftwareVersions, recordedVersionsCountAtADaemonThatHasJustStarted)
{
    Core::SteadyClock::time_point start {};
    Relay::SoftwareVersions versions;
    versions.observe(endpointOf("v2"), start);
    cr_assert_not(versions.isCurrent());
    versions.adopt({ { "service", { "v1" } } }, start);
    cr_assert(versions.isCurrent());
    cr_assert_eq(versions.onlyVersion("service", start), std::nullopt);
    cr_assert(versions.mixedServices(start).contains("service"));
}

// Guards against a version that left long ago and returns, for example when a release is taken back, not counting again.
Test(SoftwareVersions, versionThatReturnsCountsAgain)
{
    Core::SteadyClock::time_point now {};
    Relay::SoftwareVersions versions;
    versions.observe(endpointOf("v1"), now);
    versions.observe(endpointOf("v2"), now);
    versions.adopt({ { "service", { "v1", "v2" } } }, now);
    now += Relay::SoftwareVersions::retention + milliseconds(1);
    versions.observe(endpointOf("v1"), now);
    versions.adopt({ { "service", { "v1" } } }, now);
    cr_assert_eq(versions.onlyVersion("service", now), "v1");
    // Another daemon has seen it return and recorded it.
    versions.adopt({ { "service", { "v1", "v2" } } }, now + milliseconds(1));
    cr_assert_eq(versions.onlyVersion("service", now + milliseconds(1)), std::nullopt);
}

// Guards against a daemon that was started after a version had left keeping it alive once the fleet has removed it from the record.
Test(SoftwareVersions, versionThatOthersHaveRemovedIsNotRecordedAgain)
{
    Core::SteadyClock::time_point now {};
    Relay::SoftwareVersions versions;
    versions.observe(endpointOf("v2"), now);
    versions.adopt({ { "service", { "v1", "v2" } } }, now);
    cr_assert(versions.mixedServices(now).contains("service"));
    versions.adopt({ { "service", { "v2" } } }, now + milliseconds(10));
    cr_assert_eq(versions.onlyVersion("service", now + milliseconds(10)), "v2");
    cr_assert_not(versions.isRecordIncomplete(now + milliseconds(10)));
    cr_assert_not(versions.hasDepartedVersions(now + milliseconds(10)));
}

// Guards against an unreadable record ending the daemon or counting as one without versions.
Test(SoftwareVersions, malformedRecordsAreRefused)
{
    Core::Reason reason;
    Relay::VersionRecord record { { "a", { "v1", "v2" } }, { "b", {} } };
    cr_assert_eq(Relay::decodeVersionRecord(Relay::encodeVersionRecord(record), "n", reason), record);
    for (const char* text : { "", "[]", "{}", R"({"services":1})", R"({"services":{"a":1}})", R"({"services":{"a":[1]}})" }) {
        reason = {};
        cr_assert_not(Relay::decodeVersionRecord(text, "n", reason), "%s", text);
        cr_assert_eq(reason.kind, Core::FailureKind::Invalid);
    }
}

// Guards against streams of a new version that a daemon begins while its copy of the record is older than the record: a daemon that is out of
// step finds only the old version there, and continued them at it.
Test(SoftwareVersions, versionThatRegistersLaterBeginsNoStreamsBeforeItIsRecorded)
{
    Relay::SoftwareVersions versions;
    Core::SteadyClock::time_point now = Core::SteadyClock::now();
    versions.observe(endpointOf("v1"), now);
    versions.observe(endpointOf("v2"), now + std::chrono::microseconds(50));
    // Nothing is recorded when the fleet starts.
    versions.adopt({}, now);
    cr_assert(versions.mayBegin(endpointOf("v1")));
    cr_assert(versions.mayBegin(endpointOf("v2")));
    versions.observe(endpointOf("v3"), now + std::chrono::seconds(2));
    cr_assert(!versions.mayBegin(endpointOf("v3")));
    versions.adopt({ { "service", { "v1" } } }, now + std::chrono::seconds(2));
    cr_assert(versions.mayBegin(endpointOf("v1")));
    cr_assert(!versions.mayBegin(endpointOf("v2")));
    cr_assert(!versions.mayBegin(endpointOf("v3")));
    versions.adopt({ { "service", { "v1", "v3" } } }, now + std::chrono::seconds(2));
    cr_assert(versions.mayBegin(endpointOf("v3")));
}
