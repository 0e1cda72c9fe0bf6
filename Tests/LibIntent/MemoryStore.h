#pragma once

#include "LibCore/Async.h"
#include "LibPlatform/ObjectStore.h"
#include <map>
#include <memory>

// In-memory object store with fault injection.
class MemoryStore {
public:
    explicit MemoryStore(const boost::asio::any_io_executor&);

    Platform::ObjectStore hooks();

    struct Faults {
        bool isDown { false };
        // Number of writes that take effect but whose reply is lost.
        int lostReplies { 0 };
        // Number of writes whose reply is lost and that take effect only immediately before the next write.
        int delayedWrites { 0 };
        // Number of calls that fail with RateLimited.
        int rateLimited { 0 };
        // Watches that start before this revision fail with NotFound.
        Platform::Version oldestRevision { 0 };
    };
    Faults faults;

    struct Counters {
        int gets { 0 };
        int puts { 0 };
        int lists { 0 };
        int watches { 0 };
    };
    Counters counters;

    // Called before each put takes effect.
    std::function<void()> beforePut;

    const std::map<std::string, Platform::Object>& objects() const { return m_objects; }
    // Unconditional write.
    void set(const std::string& name, std::string value);

private:
    bool injectFault(Core::Reason&);
    std::optional<Platform::Version> write(const std::string& name, std::string value, Platform::Version expected, Core::Reason&);

    Core::Task<std::optional<Platform::Object>> get(std::string name, Core::Reason&);
    Core::Task<std::optional<Platform::Version>> put(std::string name, std::string value, Platform::Version expected, Core::Reason&);
    Core::Task<std::optional<Platform::Listing>> list(std::string prefix, Core::Reason&);
    Core::Task<std::optional<Platform::Changes>> watch(std::string prefix, Platform::Version since, Core::Deadline, Core::Reason&);

    std::map<std::string, Platform::Object> m_objects;
    Platform::Version m_revision { 0 };
    Core::Signal m_changed;
    std::function<void()> m_delayedWrite;
};
