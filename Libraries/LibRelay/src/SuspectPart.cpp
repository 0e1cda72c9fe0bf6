#include "LibRelay/SuspectPart.h"

#include "LibCore/Hash.h"
#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>

namespace Relay {

using nlohmann::json;

static constexpr int hexadecimal = 16;
static constexpr size_t keyDigits = 16;

bool SuspectPart::contains(const EngineCrash& crash) const
{
    return std::find(crashes.begin(), crashes.end(), crash) != crashes.end();
}

bool SuspectPart::explains(const SuspectPart& other, size_t maxUnexplained) const
{
    size_t shared = static_cast<size_t>(std::count_if(other.crashes.begin(), other.crashes.end(), [this](const EngineCrash& crash) { return contains(crash); }));
    size_t unexplained = other.crashes.size() - shared;
    return unexplained <= std::min(maxUnexplained, crashes.size() - shared);
}

bool SuspectPart::add(const EngineCrash& crash)
{
    if (contains(crash))
        return false;
    if (crashes.size() >= maxCrashes)
        crashes.pop_back();
    crashes.push_back(crash);
    return true;
}

uint64_t suspectKeyOf(const std::string& partId)
{
    return Core::hash64(partId);
}

std::string suspectNameOf(uint64_t key)
{
    std::array<char, keyDigits> digits {};
    std::to_chars_result end = std::to_chars(digits.data(), digits.data() + digits.size(), key, hexadecimal);
    std::string text(digits.data(), end.ptr);
    return SuspectPart::prefix + std::string(keyDigits - text.size(), '0') + text;
}

std::optional<uint64_t> suspectKeyOfName(const std::string& name)
{
    std::string_view digits = name;
    if (!digits.starts_with(SuspectPart::prefix))
        return std::nullopt;
    digits.remove_prefix(std::string_view(SuspectPart::prefix).size());
    uint64_t key = 0;
    std::from_chars_result result = std::from_chars(digits.data(), digits.data() + digits.size(), key, hexadecimal);
    if (result.ec != std::errc() || result.ptr != digits.data() + digits.size() || suspectNameOf(key) != name)
        return std::nullopt;
    return key;
}

std::string encodeSuspect(const SuspectPart& part)
{
    json crashes = json::array();
    for (const EngineCrash& crash : part.crashes)
        crashes.push_back({ { "endpoint", crash.endpointId }, { "started_at_ms", crash.startedAtMs } });
    return json { { "part", part.id }, { "crashes", std::move(crashes) } }.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<SuspectRecord> decodeSuspect(const Platform::Object& object, Core::Reason& reason)
{
    auto refuse = [&](const std::string& message) {
        reason = { Core::FailureKind::Invalid, "decode suspect part", object.name, message };
        return std::nullopt;
    };
    try {
        const json value = json::parse(object.value);
        SuspectRecord record { {}, object.version };
        record.part.id = value.at("part").get<std::string>();
        if (suspectNameOf(suspectKeyOf(record.part.id)) != object.name)
            return refuse("the name is not that of the part's record");
        for (const json& crash : value.at("crashes")) {
            if (!crash.at("started_at_ms").is_number_integer())
                return refuse("'started_at_ms' must be an integer");
            record.part.add({ crash.at("endpoint").get<std::string>(), crash.at("started_at_ms").get<int64_t>() });
        }
        return record;
    } catch (const json::exception& error) {
        return refuse(error.what());
    }
}

}
