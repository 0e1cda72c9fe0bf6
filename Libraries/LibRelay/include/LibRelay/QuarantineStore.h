#pragma once

#include "LibCore/Async.h"
#include "LibPlatform/ObjectStore.h"
#include "LibRelay/PromptQuarantine.h"
#include <vector>

namespace Relay {

struct QuarantineStoreSettings {
    // Time between two writes of this daemon, so that the crash of many engines at once does not flood the store.
    int64_t writeIntervalMs { 400 };
    // Delay after a write that failed.
    int64_t retryDelayMs { 500 };
    int64_t writeTimeoutMs { 1'000 };
    // Number of times that a report is merged with the writes of other daemons.
    int maxWriteAttempts { 4 };
};

// Shares the evidence of a quarantine with the other daemons through the store: one object for each suspect part, which a
// follower of SuspectPart::prefix reports.
class QuarantineStore {
public:
    QuarantineStore(const boost::asio::any_io_executor&, Platform::ObjectStore, PromptQuarantine&, QuarantineStoreSettings = {});

    // Adopt what the follower reports. Objects that are not records are ignored with a log line.
    void replaceAll(const std::vector<Platform::Object>&);
    void adopt(const Platform::Change&);

    // A write may have become due.
    void wake() { m_woken.notifyAll(); }

    // Writes what is due until stop().
    Core::Task<void> run();
    void stop();

private:
    std::optional<SuspectRecord> read(const Platform::Object&) const;
    Core::Task<bool> apply(RecordChange);
    Core::Task<bool> report(RecordChange);
    Core::Task<bool> removeRecord(RecordChange);

    Platform::ObjectStore m_store;
    PromptQuarantine& m_quarantine;
    QuarantineStoreSettings m_settings;
    Core::Signal m_woken;
    bool m_isStopping { false };
};

}
