#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace Emulator {

struct TokenCount {
    int64_t promptTokens { 0 };
    int64_t completionTokens { 0 };
    int64_t runs { 0 };
};

// Counts the tokens that the engine generated. Entries outlive the engine's streams, so that an audit can compare them
// with the bills.
class EngineCounters {
public:
    void countRun(const std::string& workspace, const std::string& streamId, int64_t promptTokens);
    void countToken(const std::string& workspace, const std::string& streamId);
    void countRefusal() { ++m_refused; }

    TokenCount stream(const std::string& streamId) const;
    // {"workspaces": {NAME: {"prompt_tokens", "completion_tokens", "runs"}}, "streams": {ID: the same
    // fields and "workspace"}, "refused"}
    nlohmann::json toJson() const;

private:
    struct StreamCount : TokenCount {
        std::string workspace;
    };

    std::map<std::string, TokenCount> m_workspaces;
    std::map<std::string, StreamCount> m_streams;
    int64_t m_refused { 0 };
};

}
