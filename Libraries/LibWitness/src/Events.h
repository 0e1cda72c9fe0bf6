#pragma once

#include "LibCore/EventLog.h"

namespace Witness {

// Log events of LibWitness.
constexpr Core::Event malformedNotice { 1401, Core::Severity::Warning, "malformed_notice" };
constexpr Core::Event usageDiffers { 1402, Core::Severity::Error, "usage_differs" };
constexpr Core::Event recordsResent { 1403, Core::Severity::Info, "records_resent" };
constexpr Core::Event resendFailed { 1404, Core::Severity::Warning, "resend_failed" };
constexpr Core::Event attemptSettled { 1405, Core::Severity::Info, "attempt_settled" };
constexpr Core::Event streamNotFound { 1406, Core::Severity::Warning, "stream_not_found" };
constexpr Core::Event cancelFailed { 1407, Core::Severity::Warning, "cancel_failed" };
constexpr Core::Event submitFailed { 1408, Core::Severity::Warning, "submit_failed" };
constexpr Core::Event usageRejected { 1409, Core::Severity::Error, "usage_rejected" };

}
