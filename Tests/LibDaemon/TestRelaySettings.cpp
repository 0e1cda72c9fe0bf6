#include "Mutation.h"
#include "RelaySettings.h"

#include <criterion/criterion.h>

static const char* const valid = R"(host: entry-1
failure_domain: zone-a
caller_address: 127.0.0.1:8001
readiness_address: 127.0.0.1:8002
metrics_address: 127.0.0.1:8003
store_address: 127.0.0.1:8004
peer_address: 127.0.0.1:8005
peer_key: secret
)";

// Guards against defaults that change silently.
Test(RelaySettings, defaults)
{
    Core::Reason reason;
    std::optional<RelaySettings> settings = parseRelaySettings(valid, "s.yaml", reason);
    cr_assert(settings, "%s", reason.text().c_str());
    cr_assert_eq(settings->outageLimitMs, 60'000);
    cr_assert_eq(settings->stopLimitMs, 8'000);
}

// Guards against seeds that are not read as the deploy template writes them: joined by commas without spaces, or none.
Test(RelaySettings, seedPeers)
{
    Core::Reason reason;
    std::optional<RelaySettings> settings = parseRelaySettings(std::string(valid) + "seed_peers: [10.1.0.40:8229,10.2.0.29:8229]\n", "s.yaml", reason);
    cr_assert(settings, "%s", reason.text().c_str());
    cr_assert_eq(settings->seedPeers.size(), 2);
    cr_assert_eq(settings->seedPeers[1].port, 8229);
    cr_assert(parseRelaySettings(std::string(valid) + "seed_peers: []\n", "s.yaml", reason)->seedPeers.empty());
}

// Guards against a wrong value that is taken as a default instead of being named.
Test(RelaySettings, everyMistakeNamesPlaceAndReason)
{
    Core::Reason reason;
    cr_assert_not(parseRelaySettings(std::string(valid) + "retry_share: 7\n", "s.yaml", reason));
    cr_assert(reason.text().find("s.yaml line 9") != std::string::npos && reason.text().find("retry_share") != std::string::npos, "%s", reason.text().c_str());
    cr_assert_not(parseRelaySettings(std::string(valid) + "retry_shar: 0.2\n", "s.yaml", reason));
    cr_assert(reason.text().find("unknown key 'retry_shar'") != std::string::npos);
    cr_assert_not(parseRelaySettings("host: a\n", "s.yaml", reason));
    cr_assert(reason.text().find("is missing") != std::string::npos);
}

// Guards against a settings file that ends the process instead of being refused with its place and reason.
Test(RelaySettings, generatedFiles)
{
    static constexpr int cases = 2'000;
    std::mt19937_64 random(1);
    for (int i = 0; i < cases; ++i) {
        Core::Reason reason;
        std::string text = TestSupport::mutateBytes(valid, random);
        std::optional<RelaySettings> settings = parseRelaySettings(text, "s.yaml", reason);
        cr_assert(settings || reason.text().find("s.yaml") != std::string::npos, "case %d: %s\n%s", i, reason.text().c_str(), text.c_str());
    }
}
