#pragma once

#include "LibWitness/Record.h"
#include <chrono>
#include <deque>
#include <functional>
#include <map>

namespace Witness {

// A daemon other than the owner that reads the stream of an attempt, on behalf of a retry of the same request.
struct Joiner {
    Ledger::Holder holder;
    Core::Deadline deadline { Core::Deadline::never() };
    bool operator==(const Joiner&) const = default;
};

struct StoredRecord {
    Record record;
    std::vector<Joiner> joiners;
    // Time at which this daemon received the usage; never() while the attempt is open.
    Core::Deadline closedAt { Core::Deadline::never() };
    // Set once the usage is in the ledger. Until this time the record serves only to detect late retries.
    std::optional<Core::Deadline> expiresAt;
    bool operator==(const StoredRecord&) const = default;
};

enum class OpenStatus {
    Stored,
    // The store has an earlier attempt of the same request.
    Existing,
    // The memory limit has been reached.
    Full,
    // The daemon is draining and accepts no new records.
    Draining,
};

struct RecordOpenResult {
    OpenStatus status { OpenStatus::Stored };
    std::optional<Record> existing;
    bool operator==(const RecordOpenResult&) const = default;
};

// In-memory store of the records that this daemon keeps as a witness, bounded by a memory limit.
class RecordStore {
public:
    explicit RecordStore(size_t maxBytes = 32 * 1024 * 1024);

    // Stores a record sent by `caller`. If the attempt is already stored, this only sets its usage, and adds `caller` as
    // a joiner unless it is the owner. With `joinExisting`, an earlier attempt of the same request is returned instead of
    // storing the record, and `caller` becomes a joiner of that attempt.
    RecordOpenResult open(const Record&, bool joinExisting, const Ledger::Holder& caller);

    // Sets the usage of an attempt unless it is already set, and returns the stored usage. Returns nullopt if the attempt
    // is unknown.
    std::optional<Ledger::Usage> close(const std::string& attemptId, const Ledger::Usage&);

    // Removes records without usage, whose attempts were never dispatched. Records with usage, which is now in the ledger,
    // are retained for `retentionPeriod`, so that a late retry of the request finds the attempt instead of running again.
    // If the memory limit is reached, the oldest retained records are evicted first.
    void markFlushed(const std::vector<std::string>& attemptIds);
    static constexpr std::chrono::minutes retentionPeriod { 5 };

    // Removes the records whose retention period has passed.
    void removeExpired();

    std::optional<StoredRecord> findAttempt(const std::string& attemptId) const;
    // Returns the oldest stored attempt of the request.
    std::optional<StoredRecord> findRequest(const std::string& requestId) const;
    // Adds a joiner to an attempt, or extends the deadline of a known one.
    void join(const std::string& attemptId, const Joiner&);

    // Returns the records owned by a holder whose usage is not in the ledger.
    std::vector<Record> recordsOf(const Ledger::Holder&) const;
    // Calls the visitor for each record whose usage is not in the ledger. The visitor must not modify the store.
    void forEach(const std::function<void(const StoredRecord&)>&) const;

    // Refuses new records from now on. Records that are already stored are kept.
    void startDraining() { m_isDraining = true; }

    // Number of records whose usage is not in the ledger.
    size_t recordCount() const { return m_records.size() - m_retained.size(); }
    // Number of records that are retained only to detect late retries.
    size_t retainedCount() const { return m_retained.size(); }
    size_t byteCount() const { return m_byteCount; }

private:
    void erase(const std::string& attemptId);
    void removeOldestRetained();

    size_t m_maxBytes;
    size_t m_byteCount { 0 };
    bool m_isDraining { false };
    std::map<std::string, StoredRecord> m_records;
    // Attempt ids of each request, oldest first.
    std::map<std::string, std::vector<std::string>> m_attemptIdsByRequest;
    // Attempt ids of the retained records in order of expiry, which is the order in which they were flushed.
    std::deque<std::string> m_retained;
};

}
