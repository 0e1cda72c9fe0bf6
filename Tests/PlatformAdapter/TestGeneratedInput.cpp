#include "LibHTTP/Server.h"
#include "Mutation.h"
#include "PlatformAdapter/Adapter.h"
#include "RunTask.h"
#include <cmath>

using nlohmann::json;

static constexpr int caseCount = 3'000;

static const char* const configuration = R"({"version":7,
    "routes":[{"name":"r","host":"h","path-prefix":"/a/","route-kind":"streaming","resumable":true,"public":false,"timeout-ms":9,"goal-ms":5,"priority":1,
               "attempts":2,"service":"s"},
              {"name":"q","host":"h","path-prefix":"/b/","route-kind":"idempotent","split":[{"service":"s","weight":3},{"service":"t","weight":1}]}],
    "services":[{"name":"s","max-conns":9,"engine":{"slots":4,"kv-capacity":100,"stride":7}},{"name":"t"}],
    "tenants":[{"name":"w","api-keys":["k1","k2"],"reserved":1000,"priority":2}],
    "limits":{"max-header-bytes":1000,"max-body-bytes":2000,"header-timeout-ms":30,"idle-timeout-ms":40}})";

static const char* const entry = R"({"service":"s","address":"127.0.0.1:80","zone":"z","version":3,"slots":64,"state":"ready","cold-left-ms":0,"seq":9,"born":1})";

// A mutated configuration must be decoded or rejected as invalid, and must not end the process.
Test(GeneratedInput, configurations)
{
    std::mt19937_64 random(1);
    for (int i = 0; i < caseCount; ++i) {
        json document = json::parse(configuration);
        TestSupport::mutateValue(document, random);
        std::string text = i % 2 == 0 ? document.dump() : TestSupport::mutateBytes(configuration, random);
        Core::Reason reason;
        std::optional<Relay::Configuration> decoded = PlatformAdapter::decodeConfiguration(text, reason);
        cr_assert(decoded || reason.kind == Core::FailureKind::Invalid, "case %d: %s", i, text.c_str());
    }
}

// A mutated endpoint entry must be decoded or rejected as invalid, and must not end the process.
Test(GeneratedInput, endpointEntries)
{
    std::mt19937_64 random(2);
    for (int i = 0; i < caseCount; ++i) {
        json document = json::parse(entry);
        TestSupport::mutateValue(document, random);
        std::string text = i % 2 == 0 ? document.dump() : TestSupport::mutateBytes(entry, random);
        Core::Reason reason;
        std::optional<Relay::Endpoint> decoded = PlatformAdapter::decodeEndpoint("servers/e", text, reason);
        cr_assert(decoded || reason.kind == Core::FailureKind::Invalid, "case %d: %s", i, text.c_str());
    }
}

// Mutated headers of a caller must be decoded or rejected as invalid, and must not end the process.
Test(GeneratedInput, callerHeaders)
{
    std::mt19937_64 random(3);
    Relay::WireCodec codec = PlatformAdapter::makeCodec();
    const HTTP::Headers valid { { "Host", "h" }, { "X-Attempt-Id", "1" }, { "X-Deadline-Ms", "1000" }, { "X-Token-Counts", "10,20" },
        { "X-Prompt-Prefix", "a:1,b:2" }, { "Last-Event-Id", "4" }, { "Authorization", "Bearer k" }, { "Connection", "close, X-Model" }, { "X-Model", "m" } };
    for (int i = 0; i < caseCount; ++i) {
        HTTP::Request request { "POST", "/a/b", valid, "body" };
        HTTP::Header& header = request.headers[random() % request.headers.size()];
        header.value = TestSupport::mutateBytes(header.value, random);
        Core::Reason reason;
        std::optional<Relay::CallerRequest> decoded = codec.decodeRequest(std::move(request), Core::Deadline::after(std::chrono::seconds(1)), reason);
        cr_assert(decoded || reason.kind == Core::FailureKind::Invalid, "case %d", i);
        if (decoded)
            codec.encodeDispatch(*decoded, { "e", "w", decoded->deadline, std::nullopt, std::nullopt });
    }
}

// Mutated headers of an endpoint's answer must be decoded without ending the process, and never as a pause that is longer than the
// maximum or ends in the past.
Test(GeneratedInput, answerHeaders)
{
    std::mt19937_64 random(5);
    Relay::WireCodec codec = PlatformAdapter::makeCodec();
    const HTTP::Headers valid { { "X-Attempt-Id", "1" }, { "Server-Leaving", "1" }, { "Retry-After", "12.5" }, { "X-Server-Seal", "s" }, { "X-Not-Executed", "1" }, { "Server-Limit", "2.5" } };
    int pauses = 0;
    int limits = 0;
    for (int i = 0; i < caseCount; ++i) {
        HTTP::Headers headers = valid;
        HTTP::Header& header = headers[random() % headers.size()];
        header.value = TestSupport::mutateBytes(header.value, random);
        Core::SteadyClock::time_point before = Core::SteadyClock::now();
        Relay::ResponseMetadata metadata = codec.decodeResponseMetadata(503, headers);
        std::optional<Core::Deadline> until = metadata.pausedUntil;
        cr_assert(!until || (until->at() >= before && until->remaining() <= std::chrono::minutes(10)), "case %d: %s", i, header.value.c_str());
        pauses += until.has_value();
        cr_assert(!metadata.requestLimit || (*metadata.requestLimit >= 0 && std::isfinite(*metadata.requestLimit)), "case %d: %s", i, header.value.c_str());
        limits += metadata.requestLimit.has_value();
    }
    cr_assert(pauses > 0 && pauses < caseCount);
    cr_assert(limits > 0 && limits < caseCount);
}

// A store response that deviates from the documented format must not throw: the exception would end the task that follows
// the store, and the daemon would never receive another update.
Test(GeneratedInput, storeResponses)
{
    static constexpr int storeCaseCount = 400;
    std::mt19937_64 random(4);
    boost::asio::io_context context;
    Core::Reason reason;
    const std::string object = R"({"metadata":{"name":"a","revision":41,"created":9,"finalizers":[],"deleting":false},"spec":{"x":1},"status":null})";
    const std::string listing = R"({"items":[)" + object + R"(],"more-pages":false,"as-of":44})";
    const std::string changes = R"({"events":[{"deleted":false,"object":)" + object + R"(}],"as-of":44})";
    HTTP::Server server(context.get_executor(), [&](HTTP::Request request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        std::string valid = request.target.find("watch") != std::string::npos ? changes : request.target.ends_with("/a") ? object
                                                                                                                         : listing;
        json document = json::parse(valid);
        TestSupport::mutateValue(document, random);
        Core::Reason ignored;
        co_await writer.send({ 200, {}, random() % 2 == 0 ? document.dump() : TestSupport::mutateBytes(valid, random) }, ignored);
    });
    Core::Address address = server.listen({ "127.0.0.1", 0 }, reason).value();
    Platform::ObjectStore store = PlatformAdapter::makeStore(std::make_shared<HTTP::Client>(context.get_executor()), address);
    for (int i = 0; i < storeCaseCount; ++i) {
        Core::Deadline deadline = Core::Deadline::after(std::chrono::seconds(5));
        TestSupport::runTask(context, store.get("k/a", deadline, reason));
        TestSupport::runTask(context, store.list("k/", deadline, reason));
        TestSupport::runTask(context, store.watch("k/", 5, Core::Deadline::after(std::chrono::milliseconds(5)), reason));
        TestSupport::runTask(context, store.put("k/a", "1", 5, deadline, reason));
    }
}
