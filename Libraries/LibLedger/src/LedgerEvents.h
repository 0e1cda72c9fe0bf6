#pragma once

#include "LibCore/EventLog.h"

namespace Ledger {

constexpr Core::Event entryRejected { 1201, Core::Severity::Warning, "ledger_entry_rejected" };
constexpr Core::Event commitFailed { 1202, Core::Severity::Warning, "ledger_commit_failed" };
constexpr Core::Event checkpointFailed { 1203, Core::Severity::Warning, "ledger_checkpoint_failed" };

}
