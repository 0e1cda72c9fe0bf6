#include "LibHTTP/Server.h"
#include "PlatformAdapter/Adapter.h"
#include "RawServer.h"
#include "RunTask.h"

// Fake of the platform's store that sends the response set by each test.
struct StoreFixture {
    boost::asio::io_context context;
    std::function<HTTP::Response(const HTTP::Request&)> respond;
    std::vector<HTTP::Request> requests;
    bool losesResponses { false };
    HTTP::Server server { context.get_executor(), [this](HTTP::Request request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
                             requests.push_back(request);
                             Core::Reason ignored;
                             if (losesResponses)
                                 writer.abort();
                             else
                                 co_await writer.send(respond(request), ignored);
                         } };
    Platform::ObjectStore store;
    Core::Reason reason;

    StoreFixture()
    {
        Core::Address address = server.listen({ "127.0.0.1", 0 }, reason).value();
        store = PlatformAdapter::makeStore(std::make_shared<HTTP::Client>(context.get_executor()), address);
    }

    static Core::Deadline soon() { return Core::Deadline::after(std::chrono::seconds(10)); }
};

static const char* const object = R"({"metadata":{"name":"a","revision":41,"created":9,"finalizers":[],"deleting":false},"spec":{"x":1},"status":null})";

// Statuses must map to the right failure kinds: a rejected write had no effect, whereas a failed one may have been applied.
Test(Store, statusesMapToFailureKinds)
{
    StoreFixture fixture;
    std::map<unsigned, Core::FailureKind> kinds { { 404, Core::FailureKind::Conflict }, { 409, Core::FailureKind::Conflict }, { 429, Core::FailureKind::RateLimited },
        { 503, Core::FailureKind::Unavailable }, { 500, Core::FailureKind::OutcomeUnknown }, { 403, Core::FailureKind::Refused } };
    for (const auto& [status, kind] : kinds) {
        fixture.respond = [status = status](const HTTP::Request&) { return HTTP::Response { status, {}, object }; };
        cr_assert_not(TestSupport::runTask(fixture.context, fixture.store.put("k/a", "1", 5, fixture.soon(), fixture.reason)));
        cr_assert_eq(fixture.reason.kind, kind, "status %u", status);
    }
    fixture.respond = [](const HTTP::Request&) { return HTTP::Response { 410, {}, "" }; };
    cr_assert_not(TestSupport::runTask(fixture.context, fixture.store.watch("k/", 5, Core::Deadline::after(std::chrono::milliseconds(50)), fixture.reason)));
    cr_assert_eq(fixture.reason.kind, Core::FailureKind::NotFound);
}

// A write whose response is lost may have been applied, so its outcome must be reported as unknown.
Test(Store, lostWriteResponseIsOutcomeUnknown)
{
    StoreFixture fixture;
    fixture.losesResponses = true;
    cr_assert_not(TestSupport::runTask(fixture.context, fixture.store.put("k/a", "1", 5, fixture.soon(), fixture.reason)));
    cr_assert_eq(fixture.reason.kind, Core::FailureKind::OutcomeUnknown);
    cr_assert_not(TestSupport::runTask(fixture.context, fixture.store.get("k/a", fixture.soon(), fixture.reason)));
    cr_assert_eq(fixture.reason.kind, Core::FailureKind::Unavailable);
}

// Every write must carry the expected revision, or create the object if none is expected.
Test(Store, writesAreConditional)
{
    StoreFixture fixture;
    fixture.respond = [](const HTTP::Request&) { return HTTP::Response { 200, {}, object }; };
    cr_assert_eq(TestSupport::runTask(fixture.context, fixture.store.put("k/a", "{\"x\":1}", 40, fixture.soon(), fixture.reason)).value(), 41);
    cr_assert_eq(fixture.requests[0].method, "PUT");
    cr_assert(fixture.requests[0].body.find("\"revision\":40") != std::string::npos);
    TestSupport::runTask(fixture.context, fixture.store.put("k/a", "{\"x\":1}", 0, fixture.soon(), fixture.reason));
    cr_assert_eq(fixture.requests[1].method, "POST");
    cr_assert_eq(fixture.requests[1].target, "/jujuberelay/objects/k");
}

// A listing must read all pages and return the revision of the first, or a watch from it would miss changes made in between.
Test(Store, listsAllPagesAtFirstRevision)
{
    StoreFixture fixture;
    fixture.respond = [](const HTTP::Request& request) {
        bool isFirst = request.target.find("after=") == std::string::npos;
        std::string item = isFirst ? object : R"({"metadata":{"name":"b","revision":60},"spec":2})";
        return HTTP::Response { 200, {}, R"({"items":[)" + item + R"(],"more-pages":)" + (isFirst ? "true" : "false") + R"(,"as-of":)" + (isFirst ? "50" : "70") + "}" };
    };
    std::optional<Platform::Listing> listing = TestSupport::runTask(fixture.context, fixture.store.list("k/", fixture.soon(), fixture.reason));
    cr_assert_eq(listing->objects.size(), 2);
    cr_assert_eq(listing->objects[1].name, "k/b");
    cr_assert_eq(listing->revision, 50);
}

// Malformed responses of the store must be reported as failures and not end the process.
Test(Store, malformedResponsesAreFailures)
{
    StoreFixture fixture;
    for (const char* body : { "", "[]", "7", "{\"items\":7}", "{\"items\":[7,{}]}", "{\"metadata\":[]}", "not json" }) {
        fixture.respond = [body](const HTTP::Request&) { return HTTP::Response { 200, {}, body }; };
        cr_assert_not(TestSupport::runTask(fixture.context, fixture.store.get("k/a", fixture.soon(), fixture.reason)), "%s", body);
        cr_assert_not(TestSupport::runTask(fixture.context, fixture.store.put("k/a", "1", 5, fixture.soon(), fixture.reason)), "%s", body);
        TestSupport::runTask(fixture.context, fixture.store.list("k/", fixture.soon(), fixture.reason));
        TestSupport::runTask(fixture.context, fixture.store.watch("k/", 1, Core::Deadline::after(std::chrono::milliseconds(10)), fixture.reason));
    }
}

// Guards against taking revisions of a restored store for those given out before: versions must increase, and a call that depends on an
// earlier one must not be made or believed.
Test(Store, versionsIncreaseAcrossARestoration)
{
    StoreFixture fixture;
    int era = 3;
    fixture.respond = [&era](const HTTP::Request& request) {
        std::string body = request.target.find("watch") != std::string::npos ? R"({"events":[],"as-of":41})" : object;
        return HTTP::Response { 200, { { "Store-Era", std::to_string(era) } }, body };
    };
    auto get = [&fixture] { return TestSupport::runTask(fixture.context, fixture.store.get("k/a", fixture.soon(), fixture.reason)); };
    auto watch = [&fixture](Platform::Version since) {
        return TestSupport::runTask(fixture.context, fixture.store.watch("k/", since, Core::Deadline::after(std::chrono::milliseconds(50)), fixture.reason));
    };
    Platform::Version before = get()->version;
    cr_assert_eq(TestSupport::runTask(fixture.context, fixture.store.put("k/a", "1", before, fixture.soon(), fixture.reason)).value(), before);
    cr_assert(fixture.requests.back().body.find(R"("revision":41})") != std::string::npos, "%s", fixture.requests.back().body.c_str());
    cr_assert_eq(watch(before)->revision, before);
    cr_assert(fixture.requests.back().target.find("watch=41&") != std::string::npos);

    // The answer of the first call after the restoration tells of it.
    era = 4;
    cr_assert_not(watch(before));
    cr_assert_eq(fixture.reason.kind, Core::FailureKind::NotFound);
    cr_assert_gt(get()->version, before);
    fixture.requests.clear();
    cr_assert_not(TestSupport::runTask(fixture.context, fixture.store.put("k/a", "1", before, fixture.soon(), fixture.reason)));
    cr_assert_eq(fixture.reason.kind, Core::FailureKind::Conflict);
    cr_assert_not(TestSupport::runTask(fixture.context, fixture.store.remove("k/a", before, fixture.soon(), fixture.reason)));
    cr_assert_eq(fixture.reason.kind, Core::FailureKind::Conflict);
    cr_assert_not(watch(before));
    cr_assert_eq(fixture.reason.kind, Core::FailureKind::NotFound);
    cr_assert(fixture.requests.empty());

    // A late answer of the store before it, and a write that the restored store executed.
    era = 3;
    cr_assert_not(get());
    cr_assert_eq(fixture.reason.kind, Core::FailureKind::Unavailable);
    era = 5;
    cr_assert_not(TestSupport::runTask(fixture.context, fixture.store.put("k/a", "1", Platform::makeVersion(4, 41), fixture.soon(), fixture.reason)));
    cr_assert_eq(fixture.reason.kind, Core::FailureKind::OutcomeUnknown);
}

// Guards against joining pages of the store before and after it was restored.
Test(Store, listingDoesNotSpanARestoration)
{
    StoreFixture fixture;
    fixture.respond = [](const HTTP::Request& request) {
        bool isFirst = request.target.find("after") == std::string::npos;
        std::string body = std::string(R"({"items":[)") + object + R"(],"more-pages":)" + (isFirst ? "true" : "false") + R"(,"as-of":44})";
        return HTTP::Response { 200, { { "Store-Era", isFirst ? "1" : "2" } }, body };
    };
    cr_assert_not(TestSupport::runTask(fixture.context, fixture.store.list("k/", fixture.soon(), fixture.reason)));
    cr_assert_eq(fixture.reason.kind, Core::FailureKind::Unavailable);
}

// Guards against one entry that another writer has left among those of the endpoints ending the process, or hiding the others: it is too
// deeply nested to be decoded by recursion, has numbers that no type holds, bytes that are no text, fields of other types, or an address
// that cannot be reached. From the store's response to the decoded endpoint.
Test(Store, oddEntryHidesNoOtherEndpoint)
{
    static constexpr size_t depth = 200'000;
    const std::string sound = R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":3,"slots":64,"state":"ready","born":1})";
    auto with = [&sound](const std::string& from, const std::string& to) { return std::string(sound).replace(sound.find(from), from.size(), to); };
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    const std::vector<std::string> oddSpecs { nested, with("64", nested), with("\"z\"", nested), with(":3", ":" + nested), with("64", "1e999"), with("64", "-1e999"),
        with("64", "123456789012345678901234567890"), with("born\":1", "born\":1e400"), with("10.0.0.1:80", "10.0.0.1:65536"), with("10.0.0.1:80", "10.0.0.1:0"),
        with("10.0.0.1:80", "10.0.0.1:-1"), with("10.0.0.1:80", "x\xff\xfe:80"), with("ready", "\xc3"), with("\"ready\"", "{}"), with("\"10.0.0.1:80\"", "80"), "null", "\"\"", "7", "tru", "{\"service\"}" };
    auto item = [](const std::string& name, const std::string& spec) { return R"({"metadata":{"name":")" + name + R"(","revision":41},"spec":)" + spec + R"(,"status":null})"; };
    for (const std::string& odd : oddSpecs) {
        StoreFixture fixture;
        fixture.respond = [&](const HTTP::Request& request) {
            bool isWatch = request.target.find("watch") != std::string::npos;
            std::string objects;
            for (const std::string& object : { item("a", sound), item("odd", odd), item("b", sound) })
                objects += (objects.empty() ? "" : ",") + (isWatch ? R"({"deleted":false,"object":)" + object + "}" : object);
            return HTTP::Response { 200, {}, R"({")" + std::string(isWatch ? "events" : "items") + R"(":[)" + objects + R"(],"more-pages":false,"as-of":44})" };
        };
        std::optional<Platform::Listing> listing = TestSupport::runTask(fixture.context, fixture.store.list("servers/", fixture.soon(), fixture.reason));
        cr_assert(listing, "%.60s: %s", odd.c_str(), fixture.reason.text().substr(0, 200).c_str());
        std::optional<Platform::Changes> changes = TestSupport::runTask(fixture.context, fixture.store.watch("servers/", 5, Core::Deadline::after(std::chrono::milliseconds(50)), fixture.reason));
        cr_assert(changes, "%.60s: %s", odd.c_str(), fixture.reason.text().substr(0, 200).c_str());
        std::vector<Platform::Object> objects = listing->objects;
        for (const Platform::Change& change : changes->changes)
            objects.push_back(change.object);
        std::vector<std::string> usable;
        for (const Platform::Object& object : objects) {
            if (std::optional<Relay::Endpoint> endpoint = PlatformAdapter::decodeEndpoint(object.name, object.value, fixture.reason))
                usable.push_back(endpoint->id);
        }
        cr_assert_eq(usable, (std::vector<std::string> { "a", "b", "a", "b" }), "%.60s", odd.c_str());
    }
}

// Guards against an answer that is none being taken for a value, a version, a refusal or a conflict of the store.
Test(Store, invalidResponseIsAnOutage)
{
    std::string rest = "Keep-Alive: timeout=5\r\nContent-Length: " + std::to_string(std::string(object).size()) + "\r\n\r\n" + object;
    for (const std::string& head : { std::string("HTTP/1.1 000 OK\r\n"), std::string("HTTP/1.1 099 OK\r\n"), std::string("HTTP/1.1 600 OK\r\n"), std::string("HTTP/1.1 101 OK\r\n\r\nHTTP/1.1 200 OK\r\n"),
             std::string("HTTP/1.1 200 OK\r\nOdd: a\r\n b: c\r\n"), std::string("HTTP/1.1 200 OK\r\nO dd: a\r\n"), std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n"),
             std::string("HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n"), std::string("HTTP/1.1 409 Conflict\r\nContent-Encoding: gzip\r\n"), std::string("HTTP/1.1 404 Not Found\r\nOdd: a\r\n b: c\r\n") }) {
        boost::asio::io_context context;
        TestSupport::RawServer server(context, [bytes = head + rest](boost::asio::ip::tcp::socket& socket) -> Core::Task<void> {
            while (co_await TestSupport::readRawRequest(socket))
                co_await TestSupport::writeRaw(socket, bytes);
        });
        Platform::ObjectStore store = PlatformAdapter::makeStore(std::make_shared<HTTP::Client>(context.get_executor()), server.address());
        Core::Reason reason;
        cr_assert_not(TestSupport::runTask(context, store.get("k/a", StoreFixture::soon(), reason)), "%s", head.c_str());
        cr_assert_eq(reason.kind, Core::FailureKind::Unavailable, "%s: %s", head.c_str(), reason.text().c_str());
        cr_assert_not(TestSupport::runTask(context, store.put("k/a", "1", 5, StoreFixture::soon(), reason)), "%s", head.c_str());
        cr_assert_eq(reason.kind, Core::FailureKind::OutcomeUnknown, "%s: %s", head.c_str(), reason.text().c_str());
        cr_assert_not(TestSupport::runTask(context, store.remove("k/a", 5, StoreFixture::soon(), reason)), "%s", head.c_str());
        cr_assert_eq(reason.kind, Core::FailureKind::OutcomeUnknown, "%s: %s", head.c_str(), reason.text().c_str());
        cr_assert_not(TestSupport::runTask(context, store.list("k/", StoreFixture::soon(), reason)), "%s", head.c_str());
        cr_assert_eq(reason.kind, Core::FailureKind::Unavailable, "%s: %s", head.c_str(), reason.text().c_str());
        cr_assert_not(TestSupport::runTask(context, store.watch("k/", 5, Core::Deadline::after(std::chrono::milliseconds(50)), reason)), "%s", head.c_str());
        cr_assert_eq(reason.kind, Core::FailureKind::Unavailable, "%s: %s", head.c_str(), reason.text().c_str());
    }
}
