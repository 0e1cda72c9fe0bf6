#pragma once

#include <cstddef>
#include <string_view>

namespace Core {

// True when the bytes are exactly one CBOR value of at most the given nesting depth, without tags and without items of
// indefinite length. The decoder of nlohmann/json recurses for each nested item and chunk, so that bytes from the
// network which were not checked before could exhaust the stack.
bool isPlainCbor(std::string_view bytes, size_t maxDepth);

}
