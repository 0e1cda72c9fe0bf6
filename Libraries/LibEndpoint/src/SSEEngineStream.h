#pragma once

#include "LibEndpoint/EngineClient.h"

namespace Endpoint {

// Parses an engine's server-sent events. To avoid parsing each event as JSON, only the first and last are parsed. The
// others are accepted if they start with the same bytes as the first one, up to and including the id.
class SSEEngineStream final : public EngineStream {
public:
    SSEEngineStream(std::unique_ptr<HTTP::ResponseStream>, std::string streamId, std::string peer);

    Core::Task<std::optional<std::string>> readEvents(Core::Deadline, Core::Reason&) override;
    std::optional<UsageCount> usage() const override { return m_usage; }
    const std::string& finalEvent() const override { return m_finalEvent; }
    uint64_t eventCount() const override { return m_eventCount; }

private:
    // Moves complete events from m_buffer to m_forwardable, without those that are withheld.
    void consumeBuffer();
    // Returns whether the event is to be forwarded. Otherwise sets m_isDone, the final event or m_failure.
    bool processEvent(std::string_view event);
    bool hasStreamId(std::string_view event, std::string_view data);
    void parseFinalEvent(std::string_view event, std::string_view data);
    void fail(std::string message);
    Core::Task<void> releaseConnection();

    std::unique_ptr<HTTP::ResponseStream> m_body;
    std::string m_streamId;
    std::string m_peer;
    std::string m_buffer;
    std::string m_forwardable;
    // Bytes of the first event up to and including its id.
    std::string m_idPrefix;
    std::string m_finalEvent;
    std::optional<UsageCount> m_usage;
    std::optional<Core::Reason> m_failure;
    uint64_t m_eventCount { 0 };
    bool m_isDone { false };
};

}
