#pragma once

#include "LibCore/EventLog.h"

namespace Budget {

constexpr Core::Event holderClosed { 1351, Core::Severity::Error, "budget_holder_closed" };
constexpr Core::Event returnFailed { 1352, Core::Severity::Warning, "budget_return_failed" };
constexpr Core::Event billRefused { 1353, Core::Severity::Error, "budget_bill_refused" };
constexpr Core::Event billsDelayed { 1354, Core::Severity::Warning, "budget_bills_delayed" };

}
