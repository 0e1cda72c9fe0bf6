#include "LibRelay/StreamOriginTable.h"

#include "LibCore/Hash.h"
#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

namespace Relay {

using nlohmann::json;

// Keys are written as hexadecimal digits without separators.
static constexpr int hexadecimal = 16;
static constexpr size_t keyDigits = 16;

uint64_t streamKeyOf(const std::string& workspace, const std::string& requestId)
{
    return Core::hash64(requestId, Core::hash64(workspace));
}

static void appendKey(std::string& text, uint64_t key)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    static constexpr unsigned bitsPerDigit = 4;
    for (size_t i = keyDigits; i-- > 0;)
        text += digits[(key >> (i * bitsPerDigit)) % hexadecimal];
}

void StreamOriginTable::add(uint64_t key, StreamOrigin origin, Core::Deadline until)
{
    m_streams.insert_or_assign(key, Stream { std::move(origin), until });
}

void StreamOriginTable::complete(uint64_t key, Core::SteadyClock::time_point now)
{
    auto it = m_streams.find(key);
    if (it != m_streams.end())
        it->second.until = std::min(it->second.until, Core::Deadline(now + completedRetention));
}

void StreamOriginTable::expire(Core::SteadyClock::time_point now)
{
    std::erase_if(m_streams, [now](const auto& entry) { return entry.second.until.at() <= now; });
}

std::optional<StreamOrigin> StreamOriginTable::find(uint64_t key) const
{
    auto it = m_streams.find(key);
    return it == m_streams.end() ? std::nullopt : std::optional<StreamOrigin>(it->second.origin);
}

bool StreamOriginTable::hasStreamsOf(const std::set<std::string>& services) const
{
    return std::any_of(m_streams.begin(), m_streams.end(), [&services](const auto& entry) { return services.contains(entry.second.origin.service); });
}

std::vector<HandedStream> StreamOriginTable::streamsOf(const std::set<std::string>& services, const std::unordered_set<uint64_t>& keys, Core::SteadyClock::time_point now) const
{
    std::vector<HandedStream> streams;
    for (const auto& [key, stream] : m_streams) {
        if (services.contains(stream.origin.service) && (keys.empty() || keys.contains(key)))
            streams.push_back({ key, stream.origin, std::chrono::duration_cast<std::chrono::milliseconds>(stream.until.at() - now) });
    }
    return streams;
}

std::string StreamOriginTable::encode(const std::set<std::string>& services) const
{
    std::vector<std::pair<Core::Deadline, uint64_t>> keys;
    for (const auto& [key, stream] : m_streams) {
        if (services.contains(stream.origin.service))
            keys.emplace_back(stream.until, key);
    }
    if (keys.size() > maxRecordedStreams) {
        std::nth_element(keys.begin(), keys.begin() + maxRecordedStreams, keys.end(), std::greater<>());
        keys.erase(keys.begin() + maxRecordedStreams, keys.end());
    }
    std::map<StreamOrigin, std::string> texts;
    for (const auto& [until, key] : keys)
        appendKey(texts[m_streams.at(key).origin], key);
    json streams = json::array();
    for (auto& [origin, text] : texts)
        streams.push_back({ { "service", origin.service }, { "version", origin.softwareVersion }, { "streams", std::move(text) } });
    return json { { "origins", std::move(streams) } }.dump();
}

static bool decodeKeys(std::string_view text, const StreamOrigin& origin, StreamOrigins& origins)
{
    for (; text.size() >= keyDigits; text.remove_prefix(keyDigits)) {
        uint64_t key = 0;
        std::from_chars_result result = std::from_chars(text.data(), text.data() + keyDigits, key, hexadecimal);
        if (result.ec != std::errc() || result.ptr != text.data() + keyDigits)
            return false;
        std::optional<StreamOrigin>& known = origins.try_emplace(key, origin).first->second;
        if (known != origin)
            known = std::nullopt;
    }
    return text.empty();
}

bool StreamOriginTable::decode(const std::string& text, const std::string& name, StreamOrigins& origins, Core::Reason& reason)
{
    static constexpr const char* step = "decode stream origins";
    try {
        const json record = json::parse(text);
        for (const json& entry : record.at("origins")) {
            StreamOrigin origin { entry.at("service").get<std::string>(), entry.at("version").get<std::string>() };
            if (!decodeKeys(entry.at("streams").get_ref<const std::string&>(), origin, origins)) {
                reason = { Core::FailureKind::Invalid, step, name, "malformed list of streams" };
                return false;
            }
        }
        return true;
    } catch (const json::exception& error) {
        reason = { Core::FailureKind::Invalid, step, name, error.what() };
        return false;
    }
}

}
