#include "PlatformAdapter/Adapter.h"

#include <criterion/criterion.h>
#include <limits>
#include <map>
#include <random>

using namespace PlatformAdapter;

static std::optional<Relay::CallerRequest> decode(HTTP::Headers headers, Core::Reason& reason)
{
    HTTP::Request message { "POST", "/a/b", std::move(headers), "body" };
    return makeCodec().decodeRequest(std::move(message), Core::Deadline::after(std::chrono::seconds(60)), reason);
}

static HTTP::Headers minimal()
{
    return { { "Host", "a.example" }, { "X-Attempt-Id", "r1" } };
}

// Callers must not be able to forge headers that only the daemon sets, and their API key must not reach an endpoint.
Test(Codec, daemonOnlyHeadersOfCallersAreDropped)
{
    HTTP::Headers headers = minimal();
    for (const char* name : { "X-Tenant", "x-expect-instance", "X-Request-Urgency", "X-Expect-Version", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch" })
        headers.push_back({ name, "forged" });
    headers.push_back({ "Authorization", "Bearer secret" });
    headers.push_back({ "X-Length-Hint", "40" });
    Core::Reason reason;
    std::optional<Relay::CallerRequest> request = decode(headers, reason);
    cr_assert_eq(request->key.value(), "secret");
    Relay::Dispatch dispatch;
    dispatch.endpointId = "i-1";
    dispatch.workspace = "w";
    dispatch.deadline = Core::Deadline::after(std::chrono::seconds(1));
    HTTP::Request sent = makeCodec().encodeDispatch(*request, dispatch);
    for (const HTTP::Header& header : sent.headers)
        cr_assert(header.value.find("forged") == std::string::npos && header.value.find("secret") == std::string::npos, "%s", header.name.c_str());
    cr_assert_eq(HTTP::findHeader(sent.headers, "X-Tenant").value(), "w");
    cr_assert_eq(HTTP::findHeader(sent.headers, "X-Expect-Instance").value(), "i-1");
    cr_assert_eq(HTTP::findHeader(sent.headers, "X-Length-Hint").value(), "40");
    cr_assert_eq(HTTP::findHeader(sent.headers, "X-Attempt-Id").value(), "r1");
}

// Guards against a request that loses its key or its time on the way through another daemon, and against a mark that reaches endpoints.
Test(Codec, relayedRequestIsTheCallersOwn)
{
    HTTP::Headers headers = minimal();
    for (const HTTP::Header& header : HTTP::Headers { { "Authorization", "Bearer secret" }, { "X-Deadline-Ms", "9000" }, { "X-Token-Counts", "7,8" }, { "Last-Event-Id", "4" }, { "Resumes", "r0" }, { "X-Tenant", "forged" } })
        headers.push_back(header);
    Core::Reason reason;
    std::optional<Relay::CallerRequest> request = decode(headers, reason);
    cr_assert(!request->isRelayed);
    HTTP::Request relayed = makeCodec().encodeRelayed(*request, Core::Deadline::after(std::chrono::seconds(1)));
    cr_assert_eq(relayed.target, "/a/b");
    cr_assert_eq(relayed.body, "body");
    cr_assert_leq(std::stoi(HTTP::findHeader(relayed.headers, "X-Deadline-Ms").value()), 1'000);
    cr_assert(!HTTP::findHeader(relayed.headers, "X-Tenant"));
    std::optional<Relay::CallerRequest> received = makeCodec().decodeRequest(relayed, Core::Deadline::after(std::chrono::seconds(60)), reason);
    cr_assert(received->isRelayed);
    cr_assert_eq(received->id, request->id);
    cr_assert_eq(received->key, request->key);
    cr_assert_eq(received->host, request->host);
    cr_assert_eq(received->tokens, request->tokens);
    cr_assert_eq(received->lastEvent, request->lastEvent);
    cr_assert_eq(received->resumes, request->resumes);
    for (const HTTP::Header& header : makeCodec().encodeDispatch(*received, {}).headers)
        cr_assert_neq(header.name, "X-Relayed-By");
}

// Guards against overlooking that an endpoint is brittle, and against a misreading of what it says.
Test(Codec, brittleEndpointsAreRecognized)
{
    Relay::WireCodec codec = makeCodec();
    cr_assert_eq(codec.decodeResponseMetadata(200, { { "Server-Brittle", "5" } }).maxRejections, 5);
    cr_assert_eq(codec.decodeResponseMetadata(503, { { "server-brittle", "2.5" } }).maxRejections, 2.5);
    for (const char* text : { "", "-1", "x", "nan", "1e400" })
        cr_assert(!codec.decodeResponseMetadata(200, { { "Server-Brittle", text } }).maxRejections, "%s", text);
    // Another endpoint has answered.
    cr_assert(!codec.decodeResponseMetadata(421, { { "Server-Brittle", "5" } }).maxRejections);
}

// Guards against a body in a content coding reaching a caller, which endpoints may send to a request that accepts one.
Test(Codec, contentCodingsAreNotRequested)
{
    HTTP::Headers headers = minimal();
    headers.push_back({ "accept-encoding", "gzip, deflate" });
    Core::Reason reason;
    HTTP::Request sent = makeCodec().encodeDispatch(*decode(headers, reason), {});
    cr_assert_eq(HTTP::findHeader(sent.headers, "Accept-Encoding"), "identity");
}

// Hop-by-hop headers must not be forwarded, and X-Attempt-Id must survive even if the caller lists it in Connection.
Test(Codec, hopByHopHeadersAreNotForwarded)
{
    HTTP::Headers headers = minimal();
    headers.push_back({ "Connection", "keep-alive, X-Private, X-Attempt-Id" });
    headers.push_back({ "X-Private", "1" });
    headers.push_back({ "Keep-Alive", "timeout=4" });
    headers.push_back({ "Transfer-Encoding", "chunked" });
    Core::Reason reason;
    HTTP::Headers kept = decode(headers, reason)->message.headers;
    cr_assert_eq(kept.size(), 2);
    cr_assert_eq(HTTP::findHeader(kept, "X-Attempt-Id").value(), "r1");
}

// Guards against a length or trailer that an endpoint announced for its part of a stream framing the whole stream of the caller.
Test(Codec, framingOfAnEndpointIsNotForwarded)
{
    HTTP::Headers headers { { "X-Attempt-Id", "r1" }, { "X-Server-Seal", "s" }, { "content-length", "500" }, { "Trailer", "X-Status" },
        { "TE", "trailers" }, { "Transfer-Encoding", "chunked" }, { "Connection", "close" }, { "Keep-Alive", "timeout=4" }, { "Content-Type", "text/event-stream" } };
    HTTP::Headers expected { { "X-Attempt-Id", "r1" }, { "X-Server-Seal", "s" }, { "Content-Type", "text/event-stream" } };
    cr_assert(PlatformAdapter::makeCodec().callerHeaders(headers) == expected);
}

// Malformed numbers must be rejected instead of being read as zero.
Test(Codec, malformedNumbersAreRefused)
{
    Core::Reason reason;
    for (const HTTP::Header& bad : { HTTP::Header { "X-Deadline-Ms", "12x" }, HTTP::Header { "X-Deadline-Ms", "-1" }, HTTP::Header { "X-Token-Counts", "5" },
             HTTP::Header { "X-Token-Counts", "5,-2" }, HTTP::Header { "X-Token-Counts", "a,b" } }) {
        HTTP::Headers headers = minimal();
        headers.push_back(bad);
        cr_assert_not(decode(headers, reason), "%s: %s", bad.name.c_str(), bad.value.c_str());
        cr_assert_eq(reason.kind, Core::FailureKind::Invalid);
    }
    cr_assert_not(decode({ { "Host", "a" } }, reason));
}

// Token counts, prompt parts and the last event ID must be decoded from their headers.
Test(Codec, requestFieldsAreDecoded)
{
    HTTP::Headers headers = minimal();
    headers.push_back({ "X-Token-Counts", "1460, 80" });
    headers.push_back({ "X-Prompt-Prefix", "5c1e:800,91bd:410, e440:250" });
    headers.push_back({ "Last-Event-Id", "12" });
    Core::Reason reason;
    std::optional<Relay::CallerRequest> request = decode(headers, reason);
    cr_assert(request->tokens == (Relay::TokenDemand { 1'460, 80 }));
    cr_assert_eq(request->promptParts.size(), 3);
    cr_assert(request->promptParts[2] == (Relay::PromptPart { "e440", 250 }));
    cr_assert_eq(request->lastEvent.value(), 12);
}

// Guards against sums of token counts that wrap around, and against dropping the parts of a prompt, by which parts that crash engines
// are recognized, because of a count that is too large (review/2).
Test(Codec, numbersTooLargeAreTheLargest)
{
    static constexpr Relay::Tokens max = std::numeric_limits<Relay::Tokens>::max();
    for (const char* large : { "9223372036854775807", "9223372036854775808", "18446744073709551615", "100000000000000000000000000" }) {
        HTTP::Headers headers = minimal();
        headers.push_back({ "X-Token-Counts", "400," + std::string(large) });
        headers.push_back({ "X-Prompt-Prefix", "5c1e:" + std::string(large) + ",91bd:410" });
        Core::Reason reason;
        std::optional<Relay::CallerRequest> request = decode(headers, reason);
        cr_assert(request, "%s", large);
        cr_assert(request->tokens == (Relay::TokenDemand { 400, max }));
        cr_assert_eq(request->tokens->total(), max);
        cr_assert_eq(request->promptParts.size(), 2);
        cr_assert_eq(request->promptParts[0].tokens, max);
    }
}

// Guards against a budget or an event size of any magnitude making the configuration unreadable, or the tokens of an event negative.
Test(ConfigurationDecoder, numbersOfTokensAreBounded)
{
    static constexpr Relay::Tokens max = std::numeric_limits<Relay::Tokens>::max();
    auto configure = [](const std::string& budget, const std::string& stride) {
        Core::Reason reason;
        return decodeConfiguration(R"({"version":1,"routes":[],"services":[{"name":"s","engine":{"stride":)" + stride + R"(}}],"tenants":[{"name":"w","reserved":)" + budget + "}]}", reason);
    };
    for (const char* large : { "9223372036854775807", "9223372036854775808", "18446744073709551615", "1e19", "1e300" })
        cr_assert_eq(configure(large, "1")->workspaces().at("w").budget.value(), max, "%s", large);
    cr_assert_eq(configure("1e18", "1")->workspaces().at("w").budget.value(), 1'000'000'000'000'000'000);
    cr_assert_eq(configure("2500.5", "1")->workspaces().at("w").budget.value(), 2'500);
    for (const char* small : { "0", "-7", "-9223372036854775808" })
        cr_assert_eq(configure("5", small)->findService("s")->engine->tokensPerEvent, 1, "%s", small);
    cr_assert_eq(configure("5", "9223372036854775807")->findService("s")->engine->tokensPerEvent, max);
}

// Entries of other applications must be rejected as endpoints without an exception.
Test(EndpointDecoder, entriesOfOtherWritersAreRejected)
{
    Core::Reason reason;
    const std::string good = R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":64,"state":"ready","born":17})";
    std::optional<Relay::Endpoint> endpoint = decodeEndpoint("servers/i-1", good, reason);
    cr_assert(endpoint, "%s", reason.text().c_str());
    cr_assert_eq(endpoint->id, "i-1");
    cr_assert_eq(endpoint->startedAtMs, 17);
    for (const char* bad : { "", "[]", "null", "7", "{}", R"({"service":"s"})", R"({"service":5,"address":"10.0.0.9:80","zone":"z","slots":64,"state":"ready"})",
             R"({"service":"s","address":"nowhere","zone":"z","slots":64,"state":"ready"})", R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":"64","state":"ready"})",
             R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":64,"state":"resting"})",
             R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":64,"state":"ready","born":1.5})" })
        cr_assert_not(decodeEndpoint("servers/i-1", bad, reason), "%s", bad);
}

// Guards against streams of two software versions being joined because the version of an endpoint is not read.
Test(EndpointDecoder, softwareVersionIsRead)
{
    auto decode = [](const std::string& member) {
        Core::Reason reason;
        return decodeEndpoint("servers/i-1", R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":64,"state":"ready")" + member + "}", reason);
    };
    cr_assert_eq(decode(R"(,"version":"v1")")->softwareVersion, "v1");
    cr_assert_eq(decode(R"(,"version":3)")->softwareVersion, "3");
    cr_assert_eq(decode("")->softwareVersion, "");
    for (const char* bad : { "null", "1.5", "true", "[]", "{}" })
        cr_assert_not(decode(",\"version\":" + std::string(bad)), "%s", bad);
    cr_assert_not(decode(R"(,"version":"v1")")->isSameRegistration(*decode(R"(,"version":"v2")")));
}

// Guards against a take-up that cannot be recognized because the id of the request that began the stream is lost.
Test(Codec, requestThatBeganTheStreamIsRead)
{
    Core::Reason reason;
    HTTP::Headers headers = minimal();
    cr_assert_not(decode(headers, reason)->resumes);
    headers.push_back({ "Connection", "Resumes" });
    headers.push_back({ "resumes", " r0 " });
    std::optional<Relay::CallerRequest> request = decode(headers, reason);
    cr_assert_eq(request->resumes, "r0");
    cr_assert_eq(HTTP::findHeader(request->message.headers, "Resumes"), " r0 ");
}

// Guards against an endpoint that is not used, or taken to be warm, because its cold time cannot be read.
Test(EndpointDecoder, unreadableColdTimeIsNoted)
{
    auto decode = [](const std::string& member) {
        Core::Reason reason;
        return decodeEndpoint("servers/i-1", R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":64,"state":"ready")" + member + "}", reason).value();
    };
    for (const auto& [text, value] : std::map<std::string, int64_t> { { "0", 0 }, { "3000", 3'000 }, { "600000", 600'000 } }) {
        cr_assert_eq(decode(",\"cold-left-ms\":" + text).coldLeftMs.value(), value);
        cr_assert(decode(",\"cold-left-ms\":" + text).coldLeftFault.empty());
    }
    cr_assert(!decode("").coldLeftMs && decode("").coldLeftFault.empty());
    for (const char* bad : { "-1", "1500.5", "1e300", "600001", "9223372036854775808", "18446744073709551616", "\"3000\"", "null", "true", "[]", "{}" }) {
        Relay::Endpoint endpoint = decode(",\"cold-left-ms\":" + std::string(bad));
        cr_assert(!endpoint.coldLeftMs && endpoint.coldLeftFault.starts_with("'cold-left-ms' must be"), "%s", bad);
        cr_assert_leq(endpoint.coldLeftFault.size(), 120, "%s", endpoint.coldLeftFault.c_str());
    }
}

// Guards against a configuration that is rejected, or a limit that is misread, because of the numbers for cold endpoints.
Test(ConfigurationDecoder, coldLimitsAreReadSafely)
{
    auto decode = [](const std::string& members) {
        Core::Reason reason;
        return *decodeConfiguration(R"({"version":1,"routes":[],"services":[{"name":"s")" + members + "}]}", reason)->findService("s");
    };
    Relay::Service service = decode(R"(,"cold-s":3.0,"cold-per-s":8.9)");
    cr_assert(service.coldPerSecond == 8.9 && service.coldTimeMs == 3'000 && service.coldFault.empty());
    cr_assert_eq(decode(R"(,"cold-s":0.25,"cold-per-s":2)").coldTimeMs, 250);
    for (const char* none : { "", R"(,"cold-s":3)", R"(,"cold-s":"x","cold-per-s":0)", R"(,"cold-per-s":null)" }) {
        service = decode(none);
        cr_assert(service.coldPerSecond == 0 && service.coldFault.empty(), "%s", none);
    }
    for (const char* bad : { "-1", "\"8.9\"", "true", "[]" }) {
        service = decode(",\"cold-s\":3,\"cold-per-s\":" + std::string(bad));
        cr_assert(service.coldPerSecond == 0 && !service.coldFault.empty(), "%s", bad);
    }
    for (const char* bad : { "-1", "\"3\"", "null", "{}" }) {
        service = decode(",\"cold-per-s\":8.9,\"cold-s\":" + std::string(bad));
        cr_assert(service.coldPerSecond == 8.9 && service.coldTimeMs == 3'000 && !service.coldFault.empty(), "%s", bad);
    }
    service = decode(R"(,"cold-s":1e300,"cold-per-s":1e300)");
    cr_assert(service.coldPerSecond > 0 && service.coldPerSecond < 1e9 && service.coldTimeMs == 600'000);
}

// Guards against a cold time in an answer that is missed or misread, and against believing another endpoint's.
Test(Codec, coldTimeInAnAnswer)
{
    auto decode = [](unsigned status, const char* value) { return PlatformAdapter::makeCodec().decodeResponseMetadata(status, { { "X-Cold-Ms", value } }).coldLeft.count(); };
    cr_assert_eq(decode(200, " 2500 "), 2'500);
    cr_assert_eq(decode(503, "1"), 1);
    cr_assert_eq(decode(421, "2500"), 0);
    for (const char* bad : { "", "-5", "-99999999999999999999", "1.5", "x" })
        cr_assert_eq(decode(200, bad), 0, "%s", bad);
    // Longer than the cold time of any service and the tolerance for it, so that the relay notices that it cannot be right.
    for (const char* tooLong : { "1200000", "9223372036854775807", "99999999999999999999" })
        cr_assert_eq(decode(200, tooLong), 1'200'000, "%s", tooLong);
}

static const char* const configurationText = R"({"version":7,"routes":[{"name":"r","host":"h","path-prefix":"/p/","route-kind":"streaming","timeout-ms":12000,
    "goal-ms":1200,"priority":1,"split":[{"service":"a","weight":90},{"service":"b","weight":10}],"attempts":2,"public":false,"resumable":true}],
    "services":[{"name":"a","max-conns":370,"engine":{"slots":64,"kv-capacity":444995,"stride":7}},{"name":"b","max-conns":110}],
    "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
    "tenants":[{"name":"w","api-keys":["k1","k2"],"priority":1,"reserved":3065507}]})";

// Each JSON field must be decoded into the matching member of the configuration.
Test(ConfigurationDecoder, decodesAllFields)
{
    Core::Reason reason;
    std::optional<Relay::Configuration> configuration = decodeConfiguration(configurationText, reason);
    cr_assert(configuration, "%s", reason.text().c_str());
    const Relay::Route* route = configuration->findRoute("h", "/p/x");
    cr_assert(route->isStream && route->isResumable && !route->isRepeatable && route->mayRunAgain());
    cr_assert_eq(route->timeoutMs, 12'000);
    cr_assert_eq(route->split.size(), 2);
    cr_assert_eq(configuration->findService("a")->engine->tokensPerEvent, 7);
    cr_assert_not(configuration->findService("b")->engine.has_value());
    cr_assert_eq(configuration->findWorkspace("k2")->budget.value(), 3'065'507);
    cr_assert(configuration->requiresKeys());
    cr_assert_eq(configuration->callerLimits().idleTimeoutMs, 15'000);
}

// Corrupted input must not make the decoders throw, which would end the process.
Test(Decoders, corruptedInputNeverThrows)
{
    std::mt19937_64 random(3);
    Core::Reason reason;
    for (int round = 0; round < 3'000; ++round) {
        std::string text = configurationText;
        for (uint64_t i = 0, count = 1 + random() % 4; i < count; ++i) {
            size_t at = random() % text.size();
            if (random() % 2)
                text[at] = static_cast<char>(random());
            else
                text.erase(at, 1 + random() % 20);
        }
        decodeConfiguration(text, reason);
        decodeEndpoint("servers/x", text, reason);
    }
}

// A huge X-Deadline-Ms once overflowed the time point and gave a deadline in the past; it must be clamped to the limit.
Test(Codec, deadlineIsClampedToLimit)
{
    Core::Reason reason;
    Core::Deadline limit = Core::Deadline::after(std::chrono::minutes(2));
    HTTP::Request request { "POST", "/", { { "Host", "h" }, { "X-Attempt-Id", "1" }, { "X-Deadline-Ms", "9223372036854775807" } }, {} };
    std::optional<Relay::CallerRequest> decoded = PlatformAdapter::makeCodec().decodeRequest(std::move(request), limit, reason);
    cr_assert(decoded && decoded->deadline.remaining() > std::chrono::minutes(1));
}

// An endpoint that leaves says so in any answer; one that answers for another endpoint says nothing about that one.
Test(Codec, leavingEndpointIsRecognized)
{
    auto isLeaving = [](unsigned status, const std::string& value) {
        return makeCodec().decodeResponseMetadata(status, { { "X-Attempt-Id", "r1" }, { "server-leaving", value } }).isLeaving;
    };
    for (unsigned status : { 200u, 404u, 429u, 500u, 503u })
        cr_assert(isLeaving(status, "1"), "%u", status);
    cr_assert(isLeaving(200, " 1 "));
    cr_assert_not(isLeaving(421, "1"));
    for (const char* value : { "", "0", "11", "yes" })
        cr_assert_not(isLeaving(200, value), "%s", value);
    cr_assert_not(makeCodec().decodeResponseMetadata(200, {}).isLeaving);
}

static std::optional<std::chrono::milliseconds> decodePause(unsigned status, const std::string& value)
{
    std::optional<Core::Deadline> until = makeCodec().decodeResponseMetadata(status, { { "X-Attempt-Id", "r1" }, { "Retry-After", value } }).pausedUntil;
    return until ? std::optional<std::chrono::milliseconds>(until->remaining()) : std::nullopt;
}

// An endpoint that refuses with 503 may ask for a pause in seconds, with a fraction. A huge value must not overflow the deadline.
Test(Codec, pauseIsDecoded)
{
    auto isAbout = [](std::optional<std::chrono::milliseconds> pause, int64_t milliseconds) {
        return pause && pause->count() <= milliseconds && pause->count() > milliseconds - 200;
    };
    cr_assert(isAbout(decodePause(503, "2"), 2'000));
    cr_assert(isAbout(decodePause(503, " 0.75 "), 750));
    cr_assert(isAbout(decodePause(503, "0"), 0));
    cr_assert(isAbout(decodePause(503, "86400"), 600'000));
    cr_assert(isAbout(decodePause(503, "99999999999999999999999999"), 600'000));
    for (unsigned status : { 200u, 301u, 413u, 421u, 429u, 500u })
        cr_assert_not(decodePause(status, "2"), "%u", status);
}

// A date, a negative value or text must not be read as a pause.
Test(Codec, invalidPausesAreIgnored)
{
    for (const char* value : { "", " ", "-1", "-0.0", "+2", "2s", "1e3", "0x10", "nan", "inf", "-inf", "1,5", "1 2", "Fri, 31 Dec 1999 23:59:59 GMT" })
        cr_assert_not(decodePause(503, value), "%s", value);
    cr_assert_not(makeCodec().decodeResponseMetadata(503, {}).pausedUntil);
}

// Guards against ignoring the limit that an endpoint names in an answer of any kind, and against taking that of another endpoint, which
// answers with 421, for its limit.
Test(Codec, requestLimitIsDecoded)
{
    auto limit = [](unsigned status, const std::string& value) {
        return makeCodec().decodeResponseMetadata(status, { { "X-Attempt-Id", "r1" }, { "server-limit", value } }).requestLimit;
    };
    for (unsigned status : { 200u, 404u, 429u, 500u, 503u })
        cr_assert_eq(limit(status, "2.5").value_or(-1), 2.5, "%u", status);
    cr_assert_eq(limit(200, " 40 ").value_or(-1), 40);
    cr_assert_eq(limit(200, "0").value_or(-1), 0);
    cr_assert_not(limit(421, "2.5"));
    for (const char* value : { "", "-1", "-0.0", "1e3", "nan", "inf", "4/s", "2,5" })
        cr_assert_not(limit(200, value), "%s", value);
    cr_assert_not(makeCodec().decodeResponseMetadata(200, {}).requestLimit);
}
