#pragma once

#include "LibWitness/Record.h"
#include <chrono>
#include <deque>
#include <functional>
#include <map>

namespace Witness {

// A further daemon that reads the stream of an attempt for a retry of the same request.
struct Joiner {
    Ledger::Holder holder;
    Core::Deadline deadline { Core::Deadline::never() };
    bool operator==(const Joiner&) const = default;
};

struct KeptRecord {
    Record record;
    std::vector<Joiner> joiners;
    // When the usage became known here.
    Core::Deadline closedAt { Core::Deadline::never() };
    // Set once the usage is in the ledger: the record only tells retries that the request ran, until then.
    std::optional<Core::Deadline> dropAt;
    bool operator==(const KeptRecord&) const = default;
};

enum class OpenStatus {
    Stored,
    // The store holds another attempt of the same request.
    Existing,
    // The memory limit is reached.
    Full,
    // The daemon is draining and takes no new records.
    Draining,
};

struct OpenAnswer {
    OpenStatus status { OpenStatus::Stored };
    std::optional<Record> existing;
    bool operator==(const OpenAnswer&) const = default;
};

// The records that this daemon keeps for other daemons, in memory up to a limit.
class RecordStore {
public:
    explicit RecordStore(size_t maxBytes = 32 * 1024 * 1024);

    // Keeps the record of the daemon `from`. The same attempt again only adds its usage, or `from` as a joiner. With
    // `joins`, an earlier attempt of the same request is returned instead, and `from` becomes its joiner.
    OpenAnswer open(const Record&, bool joins, const Ledger::Holder& from);

    // Sets the usage of an attempt and returns the usage that is kept: the first one stays. Empty when the attempt is
    // not known.
    std::optional<Ledger::Usage> close(const std::string& attemptId, const Ledger::Usage&);

    // Drops records whose attempt was never dispatched. Records whose usage is in the ledger are kept for `retention`
    // more, so that a late retry of the request joins the attempt instead of running again; the oldest of them make room
    // for new records.
    void flushed(const std::vector<std::string>& attemptIds);
    static constexpr std::chrono::minutes retention { 5 };

    // Drops the records whose retention has passed.
    void dropExpired();

    std::optional<KeptRecord> findAttempt(const std::string& attemptId) const;
    // The oldest attempt of the request that is kept.
    std::optional<KeptRecord> findRequest(const std::string& requestId) const;
    // Adds a joiner to an attempt, or extends its deadline.
    void join(const std::string& attemptId, const Joiner&);

    // The records owned by a holder.
    std::vector<Record> recordsOf(const Ledger::Holder&) const;
    // Calls the hook for each record whose usage is not in the ledger; the hook must not change the store.
    void forEach(const std::function<void(const KeptRecord&)>&) const;

    // Refuses new records from now on.
    void startDraining() { m_isDraining = true; }

    // Records whose usage is not in the ledger.
    size_t recordCount() const { return m_records.size() - m_retained.size(); }
    // Records that are kept for late retries only.
    size_t retainedCount() const { return m_retained.size(); }
    size_t byteCount() const { return m_bytes; }

private:
    void erase(const std::string& attemptId);
    void dropOldestRetained();

    size_t m_maxBytes;
    size_t m_bytes { 0 };
    bool m_isDraining { false };
    std::map<std::string, KeptRecord> m_records;
    // Attempt identities by request identity, oldest first.
    std::map<std::string, std::vector<std::string>> m_attempts;
    // Records with a dropAt, in the order of that time, which is the order in which they were flushed.
    std::deque<std::string> m_retained;
};

}
