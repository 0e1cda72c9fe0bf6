#pragma once

#include "LibCore/EventLog.h"

namespace Relay::Events {

inline constexpr Core::Event endpointPaused { 1718, Core::Severity::Info, "endpoint_paused" };
inline constexpr Core::Event requestRefused { 1721, Core::Severity::Info, "request_refused" };
inline constexpr Core::Event requestSent { 1722, Core::Severity::Info, "request_sent" };
inline constexpr Core::Event requestRelayed { 1719, Core::Severity::Info, "request_relayed" };
inline constexpr Core::Event attemptFailed { 1723, Core::Severity::Info, "attempt_failed" };
inline constexpr Core::Event requestEnded { 1724, Core::Severity::Info, "request_ended" };
inline constexpr Core::Event streamSilent { 1725, Core::Severity::Info, "stream_silent" };
inline constexpr Core::Event partSuspected { 1726, Core::Severity::Info, "part_suspected" };
inline constexpr Core::Event partQuarantined { 1727, Core::Severity::Warning, "part_quarantined" };
inline constexpr Core::Event partCleared { 1728, Core::Severity::Info, "part_cleared" };
inline constexpr Core::Event suspectIgnored { 1729, Core::Severity::Warning, "suspect_ignored" };
inline constexpr Core::Event suspectNotWritten { 1730, Core::Severity::Warning, "suspect_not_written" };
inline constexpr Core::Event engineChecked { 1734, Core::Severity::Info, "engine_checked" };
inline constexpr Core::Event endpointLimited { 1735, Core::Severity::Info, "endpoint_limited" };
inline constexpr Core::Event serviceBrittle { 1756, Core::Severity::Warning, "service_brittle" };
inline constexpr Core::Event engineLate { 1741, Core::Severity::Info, "engine_late" };
inline constexpr Core::Event streamTakenUp { 1742, Core::Severity::Info, "stream_taken_up" };
inline constexpr Core::Event streamRecordIgnored { 1743, Core::Severity::Warning, "stream_record_ignored" };
inline constexpr Core::Event streamRecordNotWritten { 1744, Core::Severity::Warning, "stream_record_not_written" };
inline constexpr Core::Event grantChanged { 1731, Core::Severity::Info, "grant_changed" };
inline constexpr Core::Event tokensTransferred { 1733, Core::Severity::Info, "tokens_transferred" };
inline constexpr Core::Event ledgerRebuilt { 1736, Core::Severity::Warning, "ledger_rebuilt" };
inline constexpr Core::Event ledgerUnavailable { 1732, Core::Severity::Warning, "ledger_unavailable" };

}
