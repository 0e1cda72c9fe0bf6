#pragma once

#include "LibPlatform/ObjectTable.h"

namespace Platform {

// An ObjectStore in memory with fault switches, for tests and for embedders that need no durability.
// Every call suspends at least once, so that concurrent tasks interleave as with a remote store.
class InMemoryObjectStore {
public:
    explicit InMemoryObjectStore(const boost::asio::any_io_executor&, HistoryLimits = {});

    // Functions that remain valid after this object is gone.
    ObjectStore hooks() const;

    // While set, every call fails with Unavailable; waiting watches end with it.
    void setOutage(bool);

    // Time between a call and its effect. A write whose deadline is earlier fails with OutcomeUnknown and still takes
    // effect later.
    void setDelay(std::chrono::milliseconds);

    // The next writes that take effect fail with OutcomeUnknown.
    void loseReplies(size_t count);

    // The next writes fail with OutcomeUnknown and have no effect.
    void loseRequests(size_t count);

    // The next writes fail with Conflict and have no effect.
    void failWithConflict(size_t count);

    // The next reads and writes fail with RateLimited.
    void limitRate(size_t count);

    // Calls so far, including failed ones; a watch counts as one read.
    size_t reads() const;
    size_t writes() const;

    // The content, for checks and for writes past the faults.
    ObjectTable& table();

    struct State;

private:
    std::shared_ptr<State> m_state;
};

}
