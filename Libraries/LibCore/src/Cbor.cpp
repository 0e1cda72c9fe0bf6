#include "LibCore/Cbor.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Core {

namespace {

struct Head {
    unsigned majorType;
    unsigned information;
    uint64_t argument;
};

}

// Reads the initial byte of an item and its argument, and removes them from the bytes.
static std::optional<Head> takeHead(std::string_view& bytes)
{
    if (bytes.empty())
        return std::nullopt;
    unsigned char initial = static_cast<unsigned char>(bytes.front());
    bytes.remove_prefix(1);
    Head head { static_cast<unsigned>(initial >> 5), static_cast<unsigned>(initial & 31), static_cast<uint64_t>(initial & 31) };
    if (head.information < 24)
        return head;
    if (head.information > 27)
        return std::nullopt;
    size_t size = size_t(1) << (head.information - 24);
    if (bytes.size() < size)
        return std::nullopt;
    head.argument = 0;
    for (size_t i = 0; i < size; ++i)
        head.argument = head.argument << 8 | static_cast<unsigned char>(bytes[i]);
    bytes.remove_prefix(size);
    return head;
}

bool isPlainCbor(std::string_view bytes, size_t maxDepth)
{
    // The number of items still expected at each open level.
    std::vector<uint64_t> expected { 1 };
    while (!expected.empty()) {
        if (expected.back() == 0) {
            expected.pop_back();
            continue;
        }
        --expected.back();
        std::optional<Head> head = takeHead(bytes);
        if (!head)
            return false;
        switch (head->majorType) {
        case 2:
        case 3:
            if (bytes.size() < head->argument)
                return false;
            bytes.remove_prefix(head->argument);
            break;
        case 4:
        case 5:
            // Each item takes at least one byte.
            if (head->argument > bytes.size() || expected.size() > maxDepth)
                return false;
            expected.push_back(head->majorType == 5 ? head->argument * 2 : head->argument);
            break;
        case 6:
            return false;
        default:
            break;
        }
    }
    return bytes.empty();
}

}
