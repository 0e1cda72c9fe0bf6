#pragma once

#include "LibEndpoint/EngineClient.h"

namespace Endpoint {

// Reads an engine's server-sent events. Only the first and the last event are parsed; all others are compared with the
// first one's bytes up to its id.
class SSEEngineStream final : public EngineStream {
public:
    SSEEngineStream(std::unique_ptr<HTTP::ResponseStream>, std::string streamId, std::string peer);

    Core::Task<std::optional<std::string>> readEvents(Core::Deadline, Core::Reason&) override;
    std::optional<UsageCount> usage() const override { return m_usage; }
    const std::string& finalEvent() const override { return m_finalEvent; }
    uint64_t eventCount() const override { return m_eventCount; }

private:
    // Moves the complete events of m_buffer that may be forwarded to m_ready.
    void consumeBuffer();
    // Whether the event may be forwarded. Sets m_isDone, the final event or m_failure otherwise.
    bool accept(std::string_view event);
    bool hasOwnId(std::string_view event, std::string_view data);
    void takeFinalEvent(std::string_view event, std::string_view data);
    void fail(std::string message);
    Core::Task<void> releaseConnection();

    std::unique_ptr<HTTP::ResponseStream> m_body;
    std::string m_streamId;
    std::string m_peer;
    std::string m_buffer;
    std::string m_ready;
    // The first event's bytes up to and including its id.
    std::string m_ownPrefix;
    std::string m_finalEvent;
    std::optional<UsageCount> m_usage;
    std::optional<Core::Reason> m_failure;
    uint64_t m_eventCount { 0 };
    bool m_isDone { false };
};

}
