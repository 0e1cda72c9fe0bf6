#include "EngineCounters.h"

namespace Emulator {

void EngineCounters::countRun(const std::string& workspace, const std::string& streamId, int64_t promptTokens)
{
    StreamCount& stream = m_streams[streamId];
    stream.workspace = workspace;
    stream.promptTokens += promptTokens;
    ++stream.runs;
    TokenCount& total = m_workspaces[workspace];
    total.promptTokens += promptTokens;
    ++total.runs;
}

void EngineCounters::countToken(const std::string& workspace, const std::string& streamId)
{
    ++m_streams[streamId].completionTokens;
    ++m_workspaces[workspace].completionTokens;
}

TokenCount EngineCounters::stream(const std::string& streamId) const
{
    std::map<std::string, StreamCount>::const_iterator found = m_streams.find(streamId);
    if (found == m_streams.end())
        return {};
    return found->second;
}

static nlohmann::json jsonOf(const TokenCount& count)
{
    return { { "prompt_tokens", count.promptTokens }, { "completion_tokens", count.completionTokens }, { "runs", count.runs } };
}

nlohmann::json EngineCounters::toJson() const
{
    nlohmann::json workspaces = nlohmann::json::object();
    for (const std::pair<const std::string, TokenCount>& entry : m_workspaces)
        workspaces[entry.first] = jsonOf(entry.second);
    nlohmann::json streams = nlohmann::json::object();
    for (const std::pair<const std::string, StreamCount>& entry : m_streams) {
        nlohmann::json count = jsonOf(entry.second);
        count["workspace"] = entry.second.workspace;
        streams[entry.first] = std::move(count);
    }
    return { { "workspaces", std::move(workspaces) }, { "streams", std::move(streams) }, { "refused", m_refused } };
}

}
