#include "LibPlatform/ObjectCodec.h"
#include "PlatformFixture.h"

namespace {

struct Malformed {
    HTTP::Request request;
    unsigned status;
};

}

// Malformed requests must have no effect and must get the status of their own error.
Test(PlatformRequests, malformedRequestsAreRefusedWithoutEffect)
{
    PlatformFixture fixture;
    cr_assert(fixture.put("a/1", "one"));
    const HTTP::Header create { "If-None-Match", "*" };
    const Malformed cases[] = {
        { { "PUT", "/v1/objects/a/1", {}, "two" }, 400 },
        { { "PUT", "/v1/objects/a/1", { { "If-Match", "1" } }, "two" }, 400 },
        { { "PUT", "/v1/objects/a/1", { { "If-Match", "W/\"1\"" } }, "two" }, 400 },
        { { "PUT", "/v1/objects/a/1", { { "If-Match", "\"0\"" } }, "two" }, 400 },
        { { "PUT", "/v1/objects/a/1", { { "If-Match", "*" } }, "two" }, 400 },
        { { "PUT", "/v1/objects/a/1", { { "If-Match", "\"1\"" }, create }, "two" }, 400 },
        { { "PUT", "/v1/objects/a/2", { { "If-None-Match", "\"1\"" } }, "two" }, 400 },
        { { "PUT", "/v1/objects/", { create }, "two" }, 400 },
        { { "PUT", "/v1/objects/a%2", { create }, "two" }, 400 },
        { { "PUT", "/v1/objects/a%zz", { create }, "two" }, 400 },
        { { "PUT", "/v1/objects/a/3", { create }, std::string(Platform::maxValueBytes + 1, 'x') }, 413 },
        { { "DELETE", "/v1/objects/a/1", {}, "" }, 400 },
        { { "DELETE", "/v1/objects/a/1", { create }, "" }, 400 },
        { { "POST", "/v1/objects/a/1", { { "If-Match", "\"1\"" } }, "two" }, 405 },
        { { "PUT", "/v1/list", { create }, "two" }, 405 },
        { { "GET", "/v1/watch?prefix=a", {}, "" }, 400 },
        { { "GET", "/v1/watch?since=x&timeout_ms=1", {}, "" }, 400 },
        { { "GET", "/v1/watch?since=0&timeout_ms=-1", {}, "" }, 400 },
        { { "GET", "/v2/list", {}, "" }, 404 },
        { { "GET", "/", {}, "" }, 404 },
        { { "GET", "/control/other", {}, "" }, 404 },
        { { "GET", "/control/faults", {}, "" }, 404 },
    };
    for (const Malformed& malformed : cases) {
        HTTP::Response response = fixture.send(malformed.request);
        cr_assert_eq(response.status, malformed.status, "%s %s: %u", malformed.request.method.c_str(),
            malformed.request.target.c_str(), response.status);
    }
    cr_assert(*fixture.list("") == Platform::Listing({ 1, { { "a/1", 1, "one" } } }));
}

// A watch from a revision that the history no longer covers must get status 410.
Test(PlatformRequests, watchBeforeHistoryGetsGone)
{
    PlatformFixture fixture({ .history = { 2, 1000 } });
    for (int i = 0; i < 4; ++i)
        fixture.put("a/" + std::to_string(i), "value");
    cr_assert_eq(fixture.send({ "GET", "/v1/watch?prefix=&since=1&timeout_ms=0", {}, "" }).status, 410u);
    cr_assert_eq(fixture.send({ "GET", "/v1/watch?prefix=&since=9&timeout_ms=0", {}, "" }).status, 410u);
    cr_assert_eq(fixture.send({ "GET", "/v1/watch?prefix=&since=2&timeout_ms=0", {}, "" }).status, 200u);
    cr_assert_not(fixture.watch("", 1));
    cr_assert_eq(fixture.reason.kind, Core::FailureKind::NotFound);
    cr_assert_eq(fixture.watch("", 2)->changes.size(), 2u);
}

// A watch without changes must return an empty result before its client's deadline.
Test(PlatformRequests, watchWithoutChangesReturnsEmptyAtTheDeadline)
{
    PlatformFixture fixture;
    fixture.put("b/1", "one");
    std::optional<Platform::Changes> changes = fixture.watch("a/", 1, Core::Deadline::after(std::chrono::seconds(4)));
    cr_assert(changes, "%s", fixture.reason.text().c_str());
    cr_assert(*changes == Platform::Changes({ 1, {} }));
}

// Closing the emulator must end its waiting requests.
Test(PlatformRequests, closingEndsWaitingWatches)
{
    PlatformFixture fixture;
    Core::Reason reason;
    std::shared_ptr<std::optional<std::optional<Platform::Changes>>> watch
        = Testing::start(fixture.context, fixture.store.watch("", 0, Testing::soon(), reason));
    Testing::runUntil(fixture.context, [&] { return fixture.emulator.counters().waitingWatches == 1; });
    fixture.emulator.close();
    Testing::runUntil(fixture.context, [&] { return watch->has_value(); });
    cr_assert_not((**watch).has_value());
    cr_assert_eq(reason.kind, Core::FailureKind::Unavailable);
    Testing::runUntil(fixture.context, [&] { return fixture.emulator.counters().waitingWatches == 0; });
}
