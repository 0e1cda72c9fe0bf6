#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Caller {

// Assembles a non-streaming chat completion from the events of a stream.
class AnswerAssembler {
public:
    // Adds complete SSE events. Returns false if one of them cannot be parsed.
    bool addEvents(std::string_view events);

    // Returns the response body, with the finish reason and usage of the last event.
    std::optional<std::string> finish(std::string_view finalEvent);

private:
    std::string m_content;
};

}
