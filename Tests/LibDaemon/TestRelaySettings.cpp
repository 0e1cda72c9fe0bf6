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
