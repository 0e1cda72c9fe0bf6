#include "LibHTTP/Server.h"
#include "LibPlatform/HostList.h"
#include "LibPlatform/HttpObjectStore.h"
#include "LibPlatform/ObjectCodec.h"
#include "RunTask.h"

using Core::FailureKind;

namespace {

// A platform that answers every request in the same way.
struct ScriptedPlatform {
    enum class Behaviour {
        Answer,
        // Closes the connection instead of answering.
        Hangup,
        // Closes the connection after the headers and half of the body.
        BreakBody,
        // Does not answer until the test ends.
        Hang,
    };

    boost::asio::io_context context;
    Behaviour behaviour { Behaviour::Answer };
    HTTP::Response answer;
    std::vector<HTTP::Request> requests;
    HTTP::Server server;
    std::shared_ptr<HTTP::Client> client;
    Core::Address address;
    Platform::ObjectStore store;
    Core::Reason reason;

    ScriptedPlatform()
        : server(context.get_executor(), [this](HTTP::Request request, HTTP::ResponseWriter& writer) { return serve(std::move(request), writer); })
        , client(std::make_shared<HTTP::Client>(context.get_executor()))
    {
        address = server.listen({ "127.0.0.1", 0 }, reason).value();
        store = Platform::HttpObjectStore(client, address, "host-a").hooks();
    }

    Core::Task<void> serve(HTTP::Request request, HTTP::ResponseWriter& writer)
    {
        requests.push_back(std::move(request));
        Core::Reason ignored;
        switch (behaviour) {
        case Behaviour::Answer:
            co_await writer.send(answer, ignored);
            break;
        case Behaviour::Hangup:
            writer.abort();
            break;
        case Behaviour::BreakBody:
            co_await writer.startStream(answer.status, answer.headers, ignored);
            co_await writer.writeChunk("half", ignored);
            writer.abort();
            break;
        case Behaviour::Hang:
            co_await Core::sleepUntil(Core::Deadline::never());
            break;
        }
    }

    // Each function returns whether the call succeeded; the failure is in `reason`.
    bool get(Core::Deadline deadline = Testing::soon()) { return Testing::run(context, store.get("a/1", deadline, reason)).has_value(); }
    bool put(Platform::Version expected = 7, Core::Deadline deadline = Testing::soon())
    {
        return Testing::run(context, store.put("a/1", "value", expected, deadline, reason)).has_value();
    }
    bool remove(Core::Deadline deadline = Testing::soon()) { return Testing::run(context, store.remove("a/1", 7, deadline, reason)); }
    bool list() { return Testing::run(context, store.list("a/", Testing::soon(), reason)).has_value(); }
    bool watch() { return Testing::run(context, store.watch("a/", 7, Testing::soon(), reason)).has_value(); }
    bool hosts() { return Testing::run(context, Platform::HostList(client, address, "host-a").read(Testing::soon(), reason)).has_value(); }
};

using Behaviour = ScriptedPlatform::Behaviour;

struct Mapping {
    unsigned status;
    FailureKind get;
    FailureKind create;
    FailureKind put;
    FailureKind remove;
    FailureKind list;
    FailureKind watch;
};

const FailureKind invalid = FailureKind::Invalid;
const FailureKind refused = FailureKind::Refused;
const FailureKind notFound = FailureKind::NotFound;
const FailureKind conflict = FailureKind::Conflict;
const FailureKind rateLimited = FailureKind::RateLimited;
const FailureKind unavailable = FailureKind::Unavailable;
const FailureKind unknown = FailureKind::OutcomeUnknown;

const Mapping mappings[] = {
    { 202, invalid, unknown, unknown, unknown, invalid, invalid },
    { 302, invalid, unknown, unknown, unknown, invalid, invalid },
    { 400, invalid, invalid, invalid, invalid, invalid, invalid },
    { 403, refused, refused, refused, refused, refused, refused },
    { 404, notFound, refused, conflict, notFound, refused, refused },
    { 408, unavailable, unknown, unknown, unknown, unavailable, unavailable },
    { 410, refused, refused, refused, refused, refused, notFound },
    { 412, refused, conflict, conflict, conflict, refused, refused },
    { 413, invalid, invalid, invalid, invalid, invalid, invalid },
    { 429, rateLimited, rateLimited, rateLimited, rateLimited, rateLimited, rateLimited },
    { 500, unavailable, unknown, unknown, unknown, unavailable, unavailable },
    { 502, unavailable, unknown, unknown, unknown, unavailable, unavailable },
    { 503, unavailable, unavailable, unavailable, unavailable, unavailable, unavailable },
    { 504, unavailable, unknown, unknown, unknown, unavailable, unavailable },
};

#define assertFails(call, expected)                                                                      \
    do {                                                                                                 \
        cr_assert_not(call, "%s succeeded", #call);                                                      \
        cr_assert_eq(platform.reason.kind, expected, "%s: %s: %s, expected %s", #call,                   \
            Core::nameOf(platform.reason.kind), platform.reason.text().c_str(), Core::nameOf(expected)); \
    } while (false)

}

// Guards against a status that hides a write that took effect, or that reports a failure as something else.
Test(HttpObjectStore, statusesBecomeFailureKinds)
{
    ScriptedPlatform platform;
    for (const Mapping& mapping : mappings) {
        platform.answer = { mapping.status, {}, "text" };
        assertFails(platform.get(), mapping.get);
        assertFails(platform.put(0), mapping.create);
        assertFails(platform.put(7), mapping.put);
        assertFails(platform.remove(), mapping.remove);
        assertFails(platform.list(), mapping.list);
        assertFails(platform.watch(), mapping.watch);
        assertFails(platform.hosts(), mapping.list);
    }
}

// Guards against a caller that cannot tell from the reason where, why and for how long it was refused.
Test(HttpObjectStore, reasonNamesPeerStatusAndRetryAfter)
{
    ScriptedPlatform platform;
    platform.answer = { 429, { { "Retry-After", "3" } }, "too fast" };
    assertFails(platform.put(), rateLimited);
    cr_assert_eq(platform.reason.peer, platform.address.text());
    cr_assert_eq(platform.reason.step, "put object");
    cr_assert_eq(platform.reason.message, "/v1/objects/a/1 was answered with status 429, retry after 3 s: too fast");
}

// Guards against a write that took effect being reported as one without effect.
Test(HttpObjectStore, closedConnectionLeavesWritesUnknown)
{
    ScriptedPlatform platform;
    platform.behaviour = Behaviour::Hangup;
    assertFails(platform.put(), unknown);
    assertFails(platform.put(0), unknown);
    assertFails(platform.remove(), unknown);
    assertFails(platform.get(), unavailable);
    assertFails(platform.list(), unavailable);
    assertFails(platform.watch(), unavailable);
    assertFails(platform.hosts(), unavailable);
}

// Guards against a write being sent twice: a second attempt at an unconditional create would report a conflict with
// the caller's own first attempt.
Test(HttpObjectStore, lostReplyIsNotRetried)
{
    ScriptedPlatform platform;
    platform.behaviour = Behaviour::Hangup;
    assertFails(platform.put(0), unknown);
    cr_assert_eq(platform.requests.size(), 1u);
}

// Guards against a timeout after sending being reported as a write without effect.
Test(HttpObjectStore, silentPlatformLeavesWritesUnknown)
{
    ScriptedPlatform platform;
    platform.behaviour = Behaviour::Hang;
    std::chrono::milliseconds patience(200);
    assertFails(platform.put(7, Core::Deadline::after(patience)), unknown);
    assertFails(platform.remove(Core::Deadline::after(patience)), unknown);
    assertFails(platform.get(Core::Deadline::after(patience)), unavailable);
}

// Guards against sending a write that its caller has already given up on.
Test(HttpObjectStore, passedDeadlineSendsNothing)
{
    ScriptedPlatform platform;
    Core::Deadline passed = Core::Deadline::after(std::chrono::milliseconds(-1));
    assertFails(platform.put(7, passed), unavailable);
    assertFails(platform.get(passed), unavailable);
    cr_assert(platform.requests.empty());
}

// Guards against a platform that cannot be reached being taken for one that may have written.
Test(HttpObjectStore, refusedConnectionWroteNothing)
{
    ScriptedPlatform platform;
    platform.server.closeAll();
    assertFails(platform.put(), unavailable);
    assertFails(platform.remove(), unavailable);
    assertFails(platform.get(), unavailable);
}

// Guards against a truncated value that looks complete, and against doubt about a write whose status has arrived.
Test(HttpObjectStore, brokenBodyFailsReadsOnly)
{
    ScriptedPlatform platform;
    platform.behaviour = Behaviour::BreakBody;
    platform.answer = { 200, { { "ETag", "\"9\"" } }, "" };
    assertFails(platform.get(), unavailable);
    assertFails(platform.list(), unavailable);
    cr_assert(platform.put());
    platform.answer.status = 412;
    assertFails(platform.put(), conflict);
}

// Guards against an unusable entity tag: the value read would have no version, and the write's outcome is not known.
Test(HttpObjectStore, malformedETagIsAnError)
{
    ScriptedPlatform platform;
    for (const char* tag : { "", "7", "\"\"", "\"x\"", "\"7x\"", "\"-7\"", "\"0\"", "W/\"7\"", "\"18446744073709551616\"" }) {
        platform.answer = { 200, { { "ETag", tag } }, "value" };
        assertFails(platform.get(), invalid);
        assertFails(platform.put(), unknown);
    }
    platform.answer = { 200, {}, "value" };
    assertFails(platform.get(), invalid);
    assertFails(platform.put(), unknown);
}

// Guards against acting on a reply that is not a listing or a list of changes.
Test(HttpObjectStore, malformedCborIsInvalid)
{
    ScriptedPlatform platform;
    std::string listing = Platform::encodeListing({ 9, { { "a/1", 8, "value" } } });
    std::string changes = Platform::encodeChanges({ 9, { { { "a/1", 8, "value" }, false } } });
    platform.answer = { 200, {}, listing };
    cr_assert(platform.list());
    platform.answer.body = changes;
    cr_assert(platform.watch());
    for (const std::string& body : { std::string(), std::string("not cbor"), listing + "x", listing.substr(0, listing.size() - 1), changes }) {
        platform.answer.body = body;
        assertFails(platform.list(), invalid);
    }
    for (const std::string& body : { std::string(), std::string("\xff"), changes + "x", changes.substr(0, 12), listing }) {
        platform.answer.body = body;
        assertFails(platform.watch(), invalid);
    }
    platform.answer.body = R"([{"host":"a","failure_domain":"d","state":"gone"}])";
    assertFails(platform.hosts(), invalid);
}

// Guards against a watch that goes back in time, after which old changes would be applied again.
Test(HttpObjectStore, watchWithAnEarlierRevisionIsInvalid)
{
    ScriptedPlatform platform;
    platform.answer = { 200, {}, Platform::encodeChanges({ 6, {} }) };
    assertFails(platform.watch(), invalid);
}

// Guards against sending a value that the platform cannot keep.
Test(HttpObjectStore, oversizeValueIsNotSent)
{
    ScriptedPlatform platform;
    std::string value(Platform::maxValueBytes + 1, 'x');
    cr_assert_not(Testing::run(platform.context, platform.store.put("a/1", value, 0, Testing::soon(), platform.reason)));
    cr_assert_eq(platform.reason.kind, invalid);
    cr_assert(platform.requests.empty());
}

// Guards against requests that do not follow the protocol: method, path, condition and client name.
Test(HttpObjectStore, requestsFollowTheProtocol)
{
    ScriptedPlatform platform;
    platform.answer = { 204, {}, "" };
    cr_assert(platform.remove());
    platform.answer = { 200, { { "ETag", "\"9\"" } }, "" };
    cr_assert(platform.put(0));
    cr_assert(platform.put(7));
    const HTTP::Request& removal = platform.requests.at(0);
    const HTTP::Request& creation = platform.requests.at(1);
    const HTTP::Request& update = platform.requests.at(2);
    cr_assert_eq(removal.method, "DELETE");
    cr_assert_eq(HTTP::findHeader(removal.headers, "If-Match").value_or(""), "\"7\"");
    cr_assert_eq(creation.method, "PUT");
    cr_assert_eq(creation.target, "/v1/objects/a/1");
    cr_assert_eq(creation.body, "value");
    cr_assert_eq(HTTP::findHeader(creation.headers, "If-None-Match").value_or(""), "*");
    cr_assert_not(HTTP::findHeader(creation.headers, "If-Match"));
    cr_assert_eq(HTTP::findHeader(update.headers, "If-Match").value_or(""), "\"7\"");
    cr_assert_not(HTTP::findHeader(update.headers, "If-None-Match"));
    cr_assert_eq(HTTP::findHeader(update.headers, "X-Client").value_or(""), "host-a");
}
