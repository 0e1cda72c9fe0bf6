#pragma once

#include "LibCore/Async.h"
#include "LibPlatform/ObjectStore.h"
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>

namespace Platform {

// Changes kept for watches; the oldest are dropped when either limit is exceeded.
struct HistoryLimits {
    size_t maxChanges { 10'000 };
    size_t maxBytes { 64 * 1024 * 1024 };
};

// Objects in memory with the platform's rules for versions, conditional writes and watches.
class ObjectTable {
public:
    explicit ObjectTable(const boost::asio::any_io_executor&, HistoryLimits = {});
    ObjectTable(const ObjectTable&) = delete;
    ObjectTable& operator=(const ObjectTable&) = delete;

    // The revision of the last write.
    Version revision() const { return m_revision; }

    // Fails with NotFound.
    std::optional<Object> get(const std::string& name, Core::Reason&) const;

    // Fails with Conflict, or with Invalid for a value over maxValueBytes.
    std::optional<Version> put(const std::string& name, std::string value, Version expected, Core::Reason&);

    // Fails with NotFound or Conflict.
    bool remove(const std::string& name, Version expected, Core::Reason&);

    Listing list(const std::string& prefix) const;

    // Fails with NotFound when changes after `since` have been dropped, or when `since` is above the revision, as
    // after a restart of the store with older content.
    std::optional<Changes> changesAfter(const std::string& prefix, Version since, Core::Reason&) const;

    // Replaces the content with a listing of all objects that was made earlier, as a restored store does, and begins a new era. Ends
    // the waiting watches.
    void restore(const Listing& copy);

    // Waits for changes after `since`; without any, ends empty at the deadline. Fails as changesAfter does, and with
    // Unavailable when interrupted. The table must outlive the task.
    Core::Task<std::optional<Changes>> watch(std::string watcher, std::string prefix, Version since, Core::Deadline, Core::Reason&);

    // Ends the waiting watches whose watcher fits.
    void interruptWatches(const std::function<bool(const std::string& watcher)>&);
    size_t waitingWatches() const { return m_waiters.size(); }

private:
    struct Waiter {
        std::string watcher;
        std::string prefix;
        Core::Signal signal;
        std::vector<Change> changes;
        bool isInterrupted { false };
    };

    Version currentVersion(const std::string& name) const;
    void record(Change);

    boost::asio::any_io_executor m_executor;
    HistoryLimits m_limits;
    Version m_revision { 0 };
    std::map<std::string, Object> m_objects;
    std::deque<Change> m_history;
    size_t m_historyBytes { 0 };
    std::list<std::shared_ptr<Waiter>> m_waiters;
};

}
