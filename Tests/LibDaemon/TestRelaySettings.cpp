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

// Defaults must not change unintentionally.
Test(RelaySettings, defaults)
{
    Core::Reason reason;
    std::optional<RelaySettings> settings = parseRelaySettings(valid, "s.yaml", reason);
    cr_assert(settings, "%s", reason.text().c_str());
    cr_assert_eq(settings->outageLimitMs, 60'000);
    cr_assert_eq(settings->stopLimitMs, 8'000);
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
