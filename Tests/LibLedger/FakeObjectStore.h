#pragma once

#include "LibPlatform/ObjectStore.h"
#include <map>
#include <memory>
#include <random>

// In-memory platform store with fault injection, for tests. Calls complete after a random number of event loop
// iterations, so that concurrent writers interleave.
class FakeObjectStore {
public:
    struct Faults {
        // Probabilities per call, in percent.
        int unavailable { 0 };
        int rateLimited { 0 };
        int replyLostAfterWrite { 0 };
        int requestLostWithUnknownOutcome { 0 };
    };

    explicit FakeObjectStore(uint64_t seed)
        : m_random(seed)
    {
    }

    // Returns the store's interface for one client. The store must outlive it.
    Platform::ObjectStore client(const std::string& name);

    void setFaults(Faults faults) { m_faults = faults; }
    void setOutage(bool isDown) { m_isDown = isDown; }
    void setBlocked(const std::string& client, bool isBlocked) { m_blocked[client] = isBlocked; }
    // The next write to an object whose name has this suffix takes effect, but its reply is lost.
    void loseNextReplyFor(const std::string& nameEnd) { m_loseReplyFor = nameEnd; }
    // Fails writes to objects whose name has this suffix; an empty suffix fails none.
    void failWritesTo(const std::string& nameEnd) { m_failWritesTo = nameEnd; }
    // Called during each write that takes effect.
    std::function<void(const Platform::Object&)> onWrite;
    // After this many further writes, every call fails with an unknown outcome, as for a client that has crashed.
    void stopAfterWrites(int64_t count) { m_writesLeft = count; }

    const std::map<std::string, Platform::Object>& objects() const { return m_objects; }
    uint64_t writes() const { return m_writes; }
    // Number of put calls, with or without effect.
    uint64_t putCalls() const { return m_putCalls; }
    size_t largestValue() const { return m_largestValue; }

private:
    bool chance(int percent) { return percent > 0 && static_cast<int>(m_random() % 100) < percent; }
    Core::Task<void> yieldRandomly();
    bool isReachable(const std::string& client, const std::string& step, Core::Reason&);
    Core::Task<std::optional<Platform::Object>> get(std::string client, std::string name, Core::Reason&);
    Core::Task<std::optional<Platform::Version>> put(std::string client, std::string name, std::string value, Platform::Version, Core::Reason&);
    Core::Task<std::optional<Platform::Listing>> list(std::string client, std::string prefix, Core::Reason&);

    std::mt19937_64 m_random;
    Faults m_faults;
    bool m_isDown { false };
    std::map<std::string, bool> m_blocked;
    std::string m_loseReplyFor;
    std::string m_failWritesTo;
    int64_t m_writesLeft { -1 };
    uint64_t m_writes { 0 };
    uint64_t m_putCalls { 0 };
    size_t m_largestValue { 0 };
    Platform::Version m_revision { 0 };
    std::map<std::string, Platform::Object> m_objects;
};
