#include "Mutation.h"
#include "ProcessLimits.h"
#include "RelaySettings.h"

#include <criterion/criterion.h>
#include <fstream>
#include <regex>
#include <sstream>

static const char* const valid = R"(host: entry-1
failure_domain: zone-a
caller_address: 127.0.0.1:8001
readiness_address: 127.0.0.1:8002
metrics_address: 127.0.0.1:8003
store_address: 127.0.0.1:8004
peer_address: 127.0.0.1:8005
peer_key: secret
)";

// Defaults must not change unintentionally.
Test(RelaySettings, defaults)
{
    Core::Reason reason;
    std::optional<RelaySettings> settings = parseRelaySettings(valid, "s.yaml", reason);
    cr_assert(settings, "%s", reason.text().c_str());
    cr_assert_eq(settings->outageLimitMs, 60'000);
    cr_assert_eq(settings->stopLimit(), std::chrono::seconds(8));
}

// Seeds must be accepted as written by the deploy template: separated by commas without spaces, or an empty list.
Test(RelaySettings, seedPeers)
{
    Core::Reason reason;
    std::optional<RelaySettings> settings = parseRelaySettings(std::string(valid) + "seed_peers: [10.1.0.40:8229,10.2.0.29:8229]\n", "s.yaml", reason);
    cr_assert(settings, "%s", reason.text().c_str());
    cr_assert_eq(settings->seedPeers.size(), 2);
    cr_assert_eq(settings->seedPeers[1].port, 8229);
    cr_assert(parseRelaySettings(std::string(valid) + "seed_peers: []\n", "s.yaml", reason)->seedPeers.empty());
}

// Features must be accepted as written by the deploy template, also if the platform names none.
Test(RelaySettings, features)
{
    Core::Reason reason;
    std::optional<RelaySettings> settings = parseRelaySettings(std::string(valid) + "features: [base,pressure]\n", "s.yaml", reason);
    cr_assert(settings, "%s", reason.text().c_str());
    cr_assert_eq(settings->features.size(), 2);
    cr_assert_eq(settings->features[1], "pressure");
    cr_assert(parseRelaySettings(std::string(valid) + "features: []\n", "s.yaml", reason)->features.empty());
    cr_assert_not(parseRelaySettings(std::string(valid) + "features: pressure\n", "s.yaml", reason));
}

// An invalid value must be reported with its location instead of being replaced by the default.
Test(RelaySettings, errorsGiveLocationAndReason)
{
    Core::Reason reason;
    cr_assert_not(parseRelaySettings(std::string(valid) + "retry_share: 7\n", "s.yaml", reason));
    cr_assert(reason.text().find("s.yaml line 9") != std::string::npos && reason.text().find("retry_share") != std::string::npos, "%s", reason.text().c_str());
    cr_assert_not(parseRelaySettings(std::string(valid) + "retry_shar: 0.2\n", "s.yaml", reason));
    cr_assert(reason.text().find("unknown key 'retry_shar'") != std::string::npos);
    cr_assert_not(parseRelaySettings("host: a\n", "s.yaml", reason));
    cr_assert(reason.text().find("missing required key") != std::string::npos);
}

// A malformed settings file must be rejected with its location and reason and not end the process.
Test(RelaySettings, generatedFiles)
{
    static constexpr int caseCount = 2'000;
    std::mt19937_64 random(1);
    for (int i = 0; i < caseCount; ++i) {
        Core::Reason reason;
        std::string text = TestSupport::mutateBytes(valid, random);
        std::optional<RelaySettings> settings = parseRelaySettings(text, "s.yaml", reason);
        cr_assert(settings || reason.text().find("s.yaml") != std::string::npos, "case %d: %s\n%s", i, reason.text().c_str(), text.c_str());
    }
}

// The deploy template with each placeholder replaced by the value that the function returns for its field.
static std::string renderTemplate(const std::function<std::string(const std::string& field)>& valueOf)
{
    std::ifstream file(RELAY_TEMPLATE);
    std::stringstream source;
    source << file.rdbuf();
    std::string text = source.str();
    // A section is left out if its field has no value. Within it, the field is a dot.
    static const std::regex section(R"(\{\{#([^}]*)\}\}([^\n]*)\{\{/\1\}\})");
    for (std::smatch found; std::regex_search(text, found, section);) {
        std::string value = valueOf(found[1].str());
        std::string content = value.empty() ? "" : std::regex_replace(found[2].str(), std::regex(R"(\{\{\.\}\})"), value);
        text = found.prefix().str() + content + found.suffix().str();
    }
    static const std::regex placeholder(R"(\{\{([^}]*)\}\})");
    std::string rendered;
    std::sregex_iterator end;
    std::string::const_iterator position = text.cbegin();
    for (std::sregex_iterator it(text.cbegin(), text.cend(), placeholder); it != end; ++it) {
        rendered.append(position, (*it)[0].first);
        rendered += valueOf((*it)[1].str());
        position = (*it)[0].second;
    }
    return rendered.append(position, text.cend());
}

// Values of the fields that are not numbers.
static std::string textOf(const std::string& field)
{
    if (field == "seeds")
        return "10.1.0.40:8229,10.2.0.29:8229";
    if (field == "ip")
        return "10.1.0.40";
    if (field.starts_with("listen.") || field == "platform.address")
        return "10.1.0.40:8227";
    if (field == "platform.writes-per-s")
        return "400";
    return "entry-1";
}

// A daemon must start with any number that a deployment gives: the scaled-down deployments give fractions, on which no daemon
// started, and others may leave a field out.
Test(RelaySettings, templateAcceptsAnyNumber)
{
    static constexpr int caseCount = 500;
    static const std::vector<std::string> numbers { "0", "1", "54", "2.8421052631578947", "0.25", "8.5", "20", "1000.0", "1e3", "99999999999", "" };
    std::mt19937_64 random(7);
    for (int i = 0; i < caseCount; ++i) {
        std::string text = renderTemplate([&random](const std::string& field) {
            bool isNumber = field.starts_with("bounds.") || field.starts_with("limits.") || field == "platform.writes-per-s";
            if (!isNumber)
                return textOf(field);
            // Limits of the reader that hold by meaning: a share is at most 1, and the time to stop at most an hour.
            if (field == "bounds.retry-budget")
                return std::string(random() % 2 ? "0.2" : "1");
            if (field == "bounds.grace-s")
                return std::string(random() % 2 ? "8.5" : "30");
            return numbers[random() % numbers.size()];
        });
        Core::Reason reason;
        cr_assert(parseRelaySettings(text, "relay.yaml", reason), "%s\n%s", reason.text().c_str(), text.c_str());
    }
}

// A fraction of a second of the time to stop must not be read as another number.
Test(RelaySettings, timeToStopMayBeAFraction)
{
    std::string text = renderTemplate([](const std::string& field) {
        bool isNumber = field.starts_with("bounds.") || field.starts_with("limits.");
        return field == "bounds.grace-s" ? std::string("8.5") : isNumber ? std::string("1")
                                                                         : textOf(field);
    });
    Core::Reason reason;
    std::optional<RelaySettings> settings = parseRelaySettings(text, "relay.yaml", reason);
    cr_assert(settings, "%s", reason.text().c_str());
    cr_assert_eq(settings->stopLimit(), std::chrono::milliseconds(8'500));
}

// Evacuations must be followed only where the deployment gives a limit for them, whichever number it gives.
Test(RelaySettings, evacuationsAreFollowedWhereTheDeploymentGivesALimit)
{
    auto parse = [](const std::string& limit) {
        Core::Reason reason;
        std::optional<RelaySettings> settings = parseRelaySettings(renderTemplate([&limit](const std::string& field) {
            bool isNumber = field.starts_with("bounds.") || field.starts_with("limits.");
            return field == "bounds.evacuate-ms" ? limit : isNumber ? std::string("1")
                                                                    : textOf(field);
        }),
            "relay.yaml", reason);
        cr_assert(settings, "%s: %s", limit.c_str(), reason.text().c_str());
        return *settings;
    };
    cr_assert_not(parse("").followsEvacuations());
    cr_assert_not(parse("0").followsEvacuations());
    for (const char* limit : { "5000", "5000.0", "5e3", "5000.75" })
        cr_assert_eq(parse(limit).evacuateLimit(), std::chrono::milliseconds(5'000), "%s", limit);
    cr_assert(parse("0.5").followsEvacuations());
    cr_assert(parse("999999999999").followsEvacuations());
    // A limit beyond the range must not keep the daemon from starting.
    for (const char* limit : { "1e13", "1e300", "1e400", "inf", ".inf", "Infinity" })
        cr_assert_eq(parse(limit).evacuateLimit(), std::chrono::milliseconds(1'000'000'000'000), "%s", limit);
    Core::Reason reason;
    for (const char* limit : { "-1", "-inf", "nan", "5000x", "[5000]" })
        cr_assert_not(parseRelaySettings(std::string(valid) + "evacuate_limit_ms: " + limit + "\n", "s.yaml", reason), "%s", limit);
    cr_assert_not(parseRelaySettings(valid, "s.yaml", reason)->followsEvacuations());
}

// The limits for cold endpoints must be read as fractions, and have their defaults where the platform leaves them out.
Test(RelaySettings, limitsForColdEndpoints)
{
    struct Example {
        std::string overage;
        std::string extra;
        double expectedOverage;
        double expectedExtra;
    };
    for (const Example& example : { Example { "1.25", "2.5", 1.25, 2.5 }, Example { "", "", 1.5, 5 }, Example { "0", "99999999999", 0, 99'999'999'999 } }) {
        std::string text = renderTemplate([&example](const std::string& field) {
            if (field == "bounds.cold-overage")
                return example.overage;
            if (field == "bounds.cold-extra")
                return example.extra;
            bool isNumber = field.starts_with("bounds.") || field.starts_with("limits.");
            return isNumber ? std::string("1") : textOf(field);
        });
        Core::Reason reason;
        std::optional<RelaySettings> settings = parseRelaySettings(text, "relay.yaml", reason);
        cr_assert(settings, "%s", reason.text().c_str());
        cr_assert(settings->coldOverage == example.expectedOverage && settings->coldExtra == example.expectedExtra);
    }
}

// Guards against limits that clients within the documented ones reach on the smallest host: bodies of 4 MiB, 1,000 callers at once.
Test(RelaySettings, capacityOfTheSmallestHost)
{
    Core::Reason reason;
    std::optional<RelaySettings> settings = parseRelaySettings(std::string(valid) + "memory_mb: 160.5\ndescriptor_limit: 4100.0\n", "s.yaml", reason);
    cr_assert(settings, "%s", reason.text().c_str());
    HTTP::ClientCapacity callers = settings->callerCapacity();
    cr_assert_geq(callers.maxBytes, 50'000'000);
    size_t descriptors = ProcessLimits::descriptors(4'100);
    cr_assert_geq(callers.maxConnections, descriptors / 2);
    cr_assert_leq(callers.maxConnections + 2 * settings->statusCapacity().maxConnections, descriptors * 3 / 4);
}

// Guards against numbers of the platform that leave a daemon without room for a single request.
Test(RelaySettings, anyNumberLeavesRoomForARequest)
{
    for (const char* number : { "", "0", "0.25", "1", "99999999999", "1e300", "1e999" }) {
        Core::Reason reason;
        std::string text = std::string(valid) + "memory_mb: " + number + "\ndescriptor_limit: " + number + "\n";
        std::optional<RelaySettings> settings = parseRelaySettings(text, "s.yaml", reason);
        cr_assert(settings, "%s", reason.text().c_str());
        cr_assert_geq(settings->callerCapacity().maxBytes, size_t { 8 } << 20, "%s", number);
        cr_assert_geq(settings->callerCapacity().maxConnections, 4, "%s", number);
        cr_assert_geq(settings->statusCapacity().maxConnections, 4, "%s", number);
    }
}

// Guards against a smaller budget for responses on deployments whose platform names the memory of its hosts.
Test(RelaySettings, hostMemoryLeavesTheResponsesUnchanged)
{
    Core::Reason reason;
    std::optional<RelaySettings> without = parseRelaySettings(valid, "s.yaml", reason);
    std::optional<RelaySettings> with = parseRelaySettings(std::string(valid) + "host_memory_mb: 160\n", "s.yaml", reason);
    cr_assert(without && with, "%s", reason.text().c_str());
    cr_assert_eq(with->responseBytes(), without->responseBytes());
    cr_assert_eq(with->callerCapacity().maxBytes, 50'000'000);
    cr_assert_eq(with->statusCapacity().maxBytes, 5'000'000);
}
