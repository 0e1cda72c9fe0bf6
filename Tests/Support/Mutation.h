#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

// Seeded generators of malformed input.
namespace TestSupport {

// Changes, removes, doubles or inserts a few bytes.
inline std::string mutateBytes(std::string text, std::mt19937_64& random)
{
    size_t changes = 1 + random() % 4;
    for (size_t i = 0; i < changes; ++i) {
        size_t at = text.empty() ? 0 : random() % text.size();
        switch (random() % 4) {
        case 0:
            if (!text.empty())
                text[at] = static_cast<char>(random());
            break;
        case 1:
            text.erase(at, 1 + random() % 8);
            break;
        case 2:
            text.insert(at, text.substr(at, 1 + random() % 16));
            break;
        default:
            text.insert(at, 1, static_cast<char>(random()));
        }
    }
    return text;
}

// A value of any type.
inline nlohmann::json anyValue(std::mt19937_64& random)
{
    static const std::vector<nlohmann::json> values { nullptr, true, -1, 0, 1e300, 18'446'744'073'709'551'615U, "", "x", "127.0.0.1:1", nlohmann::json::array(),
        nlohmann::json::object(), nlohmann::json::array({ nullptr }), { { "name", 7 } } };
    return values[random() % values.size()];
}

// Replaces or removes one value anywhere in the document.
inline void mutateValue(nlohmann::json& document, std::mt19937_64& random)
{
    nlohmann::json* place = &document;
    while (place->is_structured() && !place->empty() && random() % 4 != 0) {
        auto child = std::next(place->begin(), static_cast<std::ptrdiff_t>(random() % place->size()));
        if (random() % 8 == 0) {
            place->erase(child);
            return;
        }
        place = &*child;
    }
    *place = anyValue(random);
}

}
