#pragma once

#include "LibCore/EventLog.h"

namespace RelayEvents {

inline constexpr Core::Event started { 1701, Core::Severity::Info, "relay_started" };
inline constexpr Core::Event stopping { 1702, Core::Severity::Info, "relay_stopping" };
inline constexpr Core::Event stopped { 1703, Core::Severity::Info, "relay_stopped" };
inline constexpr Core::Event reloaded { 1704, Core::Severity::Info, "relay_reloaded" };
inline constexpr Core::Event storeLost { 1705, Core::Severity::Warning, "store_lost" };
inline constexpr Core::Event storeRegained { 1706, Core::Severity::Info, "store_regained" };
inline constexpr Core::Event storeRestored { 1717, Core::Severity::Warning, "store_restored" };
inline constexpr Core::Event configurationAdopted { 1707, Core::Severity::Info, "configuration_adopted" };
inline constexpr Core::Event objectIgnored { 1708, Core::Severity::Warning, "object_ignored" };
inline constexpr Core::Event watchSource { 1714, Core::Severity::Info, "watch_source" };
inline constexpr Core::Event overloaded { 1715, Core::Severity::Warning, "host_overloaded" };
inline constexpr Core::Event overloadEnded { 1716, Core::Severity::Info, "host_overload_ended" };
inline constexpr Core::Event linkFull { 1752, Core::Severity::Warning, "link_full" };
inline constexpr Core::Event linkFree { 1753, Core::Severity::Info, "link_free" };
inline constexpr Core::Event cutOff { 1754, Core::Severity::Warning, "cut_off" };
inline constexpr Core::Event cutOffEnded { 1755, Core::Severity::Info, "cut_off_ended" };
inline constexpr Core::Event announced { 1713, Core::Severity::Info, "relay_announced" };
inline constexpr Core::Event evacuationAdopted { 1745, Core::Severity::Warning, "evacuation_adopted" };
inline constexpr Core::Event evacuationLifted { 1746, Core::Severity::Info, "evacuation_lifted" };
inline constexpr Core::Event endpointAdded { 1709, Core::Severity::Info, "endpoint_added" };
inline constexpr Core::Event endpointLeaving { 1710, Core::Severity::Info, "endpoint_leaving" };
inline constexpr Core::Event endpointRemoved { 1711, Core::Severity::Info, "endpoint_removed" };
inline constexpr Core::Event endpointCold { 1761, Core::Severity::Info, "endpoint_cold" };
inline constexpr Core::Event coldTimeUnreadable { 1762, Core::Severity::Warning, "cold_time_unreadable" };

}
