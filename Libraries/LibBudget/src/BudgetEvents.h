#pragma once

#include "LibCore/EventLog.h"

namespace Budget {

constexpr Core::Event holderClosed { 1301, Core::Severity::Error, "budget_holder_closed" };
constexpr Core::Event returnFailed { 1302, Core::Severity::Warning, "budget_return_failed" };
constexpr Core::Event billRefused { 1303, Core::Severity::Error, "budget_bill_refused" };
constexpr Core::Event billsDelayed { 1304, Core::Severity::Warning, "budget_bills_delayed" };

}
