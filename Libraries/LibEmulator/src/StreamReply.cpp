#include "StreamReply.h"

#include "JsonReply.h"
#include <algorithm>

namespace Emulator {

using Json = nlohmann::json;
using Phase = GeneratedStream::Phase;

Json usageOf(const GeneratedStream& stream)
{
    return { { "prompt_tokens", stream.usedPromptTokens }, { "completion_tokens", stream.generatedTokens },
        { "total_tokens", stream.usedPromptTokens + stream.generatedTokens } };
}

namespace {

// Formats the events of one stream. Only the token differs between chunks, and tokens need no JSON escaping.
class EventFormatter {
public:
    explicit EventFormatter(const GeneratedStream& stream)
        : m_stream(stream)
        , m_head("data: {\"id\":" + Json(stream.id).dump() + ",\"object\":\"chat.completion.chunk\",\"model\":" + Json(stream.model).dump()
              + ",\"choices\":[{\"index\":0,\"delta\":{")
    {
    }

    std::string chunks(int64_t from, int64_t to) const
    {
        std::string events;
        for (int64_t index = from; index < to; ++index)
            events += m_head + "\"content\":\"" + m_stream.answer.token(index) + "\"},\"finish_reason\":null}]}\n\n";
        return events;
    }

    std::string end() const
    {
        return m_head + "},\"finish_reason\":\"" + m_stream.answer.finishReason() + "\"}],\"usage\":" + usageOf(m_stream).dump() + "}\n\ndata: [DONE]\n\n";
    }

private:
    const GeneratedStream& m_stream;
    std::string m_head;
};

}

static HTTP::Headers headersOf(const GeneratedStream& stream, const char* contentType)
{
    return { { "Content-Type", contentType }, { "X-Stream-Id", stream.id } };
}

static void abortReply(EngineEmulator::State& state, const std::shared_ptr<GeneratedStream>& stream, HTTP::ResponseWriter& writer)
{
    if (state.faults.loseBrokenStreams)
        state.scheduler->removeStream(stream);
    writer.abort();
}

// Waits until the token at the index has been generated or the stream has ended.
static Core::Task<void> awaitTokens(EngineEmulator::State& state, GeneratedStream& stream, int64_t index)
{
    co_await state.waitWhileAnsweringStopped();
    while (stream.generatedTokens <= index && !stream.hasEnded())
        co_await stream.changed.wait(Core::Deadline::never());
    co_await state.waitWhileAnsweringStopped();
}

Core::Task<void> replyWithEventStream(std::shared_ptr<EngineEmulator::State> state, std::shared_ptr<GeneratedStream> stream, int64_t from, HTTP::ResponseWriter& writer)
{
    Core::Reason ignored;
    bool mustBreak = state->faults.breakStreams.consume();
    int64_t breakIndex = mustBreak ? from + state->faults.breakAfterChunks : INT64_MAX;
    if (breakIndex == from) {
        abortReply(*state, stream, writer);
        co_return;
    }
    if (!co_await writer.startStream(200, headersOf(*stream, "text/event-stream"), ignored))
        co_return;
    EventFormatter formatter(*stream);
    int64_t index = from;
    for (;;) {
        co_await awaitTokens(*state, *stream, index);
        int64_t end = std::min(stream->generatedTokens, breakIndex);
        if (index < end) {
            std::string events = formatter.chunks(index, end);
            if (!co_await writer.writeChunk(events, ignored))
                co_return;
            index = end;
        }
        if (index == breakIndex) {
            abortReply(*state, stream, writer);
            co_return;
        }
        if (stream->hasEnded() && index >= stream->generatedTokens)
            break;
    }
    // The answer of a cancelled stream is incomplete, so the response must not end regularly.
    if (mustBreak || stream->phase == Phase::Cancelled) {
        abortReply(*state, stream, writer);
        co_return;
    }
    std::string end = formatter.end();
    if (co_await writer.writeChunk(end, ignored))
        co_await writer.finishStream(ignored);
}

Core::Task<void> replyWithCompletion(std::shared_ptr<EngineEmulator::State> state, std::shared_ptr<GeneratedStream> stream, HTTP::ResponseWriter& writer)
{
    Core::Reason ignored;
    bool mustBreak = state->faults.breakStreams.consume();
    int64_t breakIndex = mustBreak ? state->faults.breakAfterChunks : INT64_MAX;
    while (!stream->hasEnded() && stream->generatedTokens < breakIndex)
        co_await stream->changed.wait(Core::Deadline::never());
    co_await state->waitWhileAnsweringStopped();
    if (mustBreak || stream->phase == Phase::Cancelled) {
        abortReply(*state, stream, writer);
        co_return;
    }
    Json message = { { "role", "assistant" }, { "content", stream->answer.whole() } };
    Json choice = { { "index", 0 }, { "message", std::move(message) }, { "finish_reason", stream->answer.finishReason() } };
    HTTP::Response response = jsonReply(200,
        { { "id", stream->id }, { "object", "chat.completion" }, { "model", stream->model }, { "choices", Json::array({ std::move(choice) }) },
            { "usage", usageOf(*stream) } });
    response.headers.push_back({ "X-Stream-Id", stream->id });
    co_await writer.send(std::move(response), ignored);
}

}
