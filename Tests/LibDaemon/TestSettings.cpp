#include "Settings.h"

#include <criterion/criterion.h>
#include <random>

static const char* const valid = R"(host: entry-1
failure_domain: quebec-a
region: quebec
caller_address: 127.0.0.1:0
peer_address: 127.0.0.1:0
operator_address: 127.0.0.1:0
platform_address: 127.0.0.1:9000
peer_key: secret
operator_key_sha256: 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
)";

static void expectFailure(const std::string& text, const char* location, const char* message)
{
    Core::Reason reason;
    cr_assert_not(parseSettings(text, "s.yaml", reason), "accepted: %s", text.c_str());
    cr_assert(reason.peer.find(location) != std::string::npos, "location is '%s'", reason.peer.c_str());
    cr_assert(reason.message.find(message) != std::string::npos, "message is '%s'", reason.message.c_str());
}

// Defaults must not change unintentionally.
Test(Settings, defaults)
{
    Core::Reason reason;
    std::optional<Settings> settings = parseSettings(valid, "s.yaml", reason);
    cr_assert(settings, "%s", reason.text().c_str());
    cr_assert_eq(settings->isolatedLimitMs, 6000);
    cr_assert_eq(settings->outageLimitMs, 3'600'000);
    cr_assert_str_eq(settings->host.c_str(), "entry-1");
}

// A misspelt key or invalid value must be reported with its location; ignoring it would leave a limit at its default.
Test(Settings, errorsGiveLocationAndReason)
{
    std::string text(valid);
    expectFailure(text + "drain_limt_ms: 5\n", "line 10", "unknown key 'drain_limt_ms'");
    expectFailure(text + "drain_limit_ms: soon\n", "line 10", "expected an integer from 0");
    expectFailure(text + "drain_limit_ms: -1\n", "line 10", "from 0");
    expectFailure(text + "host: again\n", "line 10", "duplicate key 'host'");
    expectFailure(text + "log_level: loud\n", "line 10", "one of debug");
    expectFailure(text + "certificate_file: a\n", "s.yaml", "must be set together");
    expectFailure("host: a\n", "s.yaml", "missing required key");
    expectFailure("- a\n", "s.yaml", "mapping");
    expectFailure("a: [\n", "line 2", "");
    expectFailure("", "s.yaml", "mapping");
    expectFailure("caller_address: localhost:80\n", "line 1", "expected an IP address and port");
}

// Arbitrary bytes must not cause an exception or crash.
Test(Settings, mutatedTextNeverThrows)
{
    std::mt19937_64 generator(7);
    for (int round = 0; round < 3000; ++round) {
        std::string text(valid);
        size_t changes = 1 + generator() % 6;
        for (size_t change = 0; change < changes; ++change)
            text[generator() % text.size()] = static_cast<char>(generator());
        Core::Reason reason;
        if (!parseSettings(text, "s.yaml", reason))
            cr_assert_not(reason.message.empty());
    }
}
