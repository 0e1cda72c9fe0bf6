#pragma once

#include "LibEmulator/AnswerText.h"
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace Emulator {

// Parses a streamed or complete answer on the client's side. Shares no code with the router's stream parser, so that the
// checks of the load generator are independent of it.
class ReceivedAnswer {
public:
    // Parses the next bytes of an event stream. Returns the number of new tokens.
    int64_t appendBytes(std::string_view);

    // Parses the body of a non-streaming response.
    void setBody(const std::string& body);

    // Whether the end marker or the complete body has been received.
    bool hasEnded() const { return m_hasEnded; }
    // The code of an error event; empty if there was none.
    const std::string& errorCode() const { return m_errorCode; }
    int64_t promptTokens() const { return m_promptTokens; }
    int64_t completionTokens() const { return m_completionTokens; }

    // Describes how the answer differs from the expected one; empty if it does not. An answer that has not ended must be
    // a prefix of the expected one.
    std::string findMismatch(const AnswerText& expected) const;

private:
    int64_t parseEvent(std::string_view event);
    int64_t parseChunk(const nlohmann::json&);
    void parseUsage(const nlohmann::json&);

    std::string m_buffer;
    std::string m_id;
    std::string m_content;
    std::string m_finishReason;
    std::string m_errorCode;
    // Description of the last protocol violation; empty if there was none.
    std::string m_protocolError;
    int64_t m_promptTokens { -1 };
    int64_t m_completionTokens { -1 };
    bool m_hasEnded { false };
};

}
