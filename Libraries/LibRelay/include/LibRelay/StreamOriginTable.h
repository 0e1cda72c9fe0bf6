#pragma once

#include "LibCore/Deadline.h"
#include "LibCore/Reason.h"
#include "LibRelay/StreamHandover.h"
#include "LibRelay/StreamOrigin.h"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace Relay {

// Origins of streams by key. A key that has been given to streams of different origins has none.
using StreamOrigins = std::unordered_map<uint64_t, std::optional<StreamOrigin>>;

// Identifies a stream by the request that began it. Different workspaces may choose the same id.
uint64_t streamKeyOf(const std::string& workspace, const std::string& requestId);

// The streams that this daemon began and that may still be taken up.
class StreamOriginTable {
public:
    // How long a complete stream is kept: its caller may not have received the end.
    static constexpr std::chrono::seconds completedRetention { 15 };
    // Bounds the record's size. The streams that end first are dropped.
    static constexpr size_t maxRecordedStreams = 20'000;

    // Adds a stream that may be taken up until the deadline.
    void add(uint64_t key, StreamOrigin, Core::Deadline until);
    // The stream is complete.
    void complete(uint64_t key, Core::SteadyClock::time_point now);
    // Drops streams that are no longer taken up.
    void expire(Core::SteadyClock::time_point now);

    std::optional<StreamOrigin> find(uint64_t key) const;
    bool contains(uint64_t key) const { return m_streams.contains(key); }
    size_t size() const { return m_streams.size(); }
    // Whether there are streams of one of the services.
    bool hasStreamsOf(const std::set<std::string>& services) const;

    // The streams of these services: those with these keys, or all if there are none.
    std::vector<HandedStream> streamsOf(const std::set<std::string>& services, const std::unordered_set<uint64_t>& keys, Core::SteadyClock::time_point now) const;

    // The streams of these services as text.
    std::string encode(const std::set<std::string>& services) const;
    // Adds the streams in such a text to the origins. False with a reason of kind Invalid if the text is malformed.
    static bool decode(const std::string& text, const std::string& name, StreamOrigins&, Core::Reason&);

private:
    struct Stream {
        StreamOrigin origin;
        Core::Deadline until;
    };

    std::unordered_map<uint64_t, Stream> m_streams;
};

}
