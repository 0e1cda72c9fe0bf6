#include "Frame.h"
#include "LibCore/Cbor.h"
#include <criterion/criterion.h>
#include <random>

using namespace Peer;

static std::vector<Frame> sampleFrames()
{
    std::string bytes("\0\xff body \x80", 8);
    return {
        Hello { 1, { "host", 42, "domain" }, "0123456789abcdef", "proof" },
        Proof { "proof" },
        Refusal { "why" },
        Call { UINT64_MAX, "open", bytes, 1500 },
        Notice { "flushed", bytes },
        Answer { 3, std::string(100000, 'x') },
        Failure { 4, "message" },
    };
}

// Guards against fields being lost or swapped by the codec.
Test(Frame, roundTrip)
{
    for (const Frame& frame : sampleFrames()) {
        std::string message;
        std::optional<Frame> decoded = decodeFrame(encodeFrame(frame), message);
        cr_assert(decoded, "%s", message.c_str());
        cr_assert(*decoded == frame);
    }
}

// Guards against truncated or corrupted frames that crash the decoder, or are rejected without a message.
Test(Frame, truncatedAndMutatedBytes)
{
    std::mt19937 random(20240611);
    for (const Frame& frame : sampleFrames()) {
        std::string bytes = encodeFrame(frame).substr(0, 300);
        for (int round = 0; round < 3000; ++round) {
            std::string changed = bytes.substr(0, 1 + random() % bytes.size());
            for (unsigned flips = random() % 4; flips > 0; --flips)
                changed[random() % changed.size()] = static_cast<char>(random());
            std::string message;
            std::optional<Frame> decoded = decodeFrame(changed, message);
            cr_assert(decoded || !message.empty());
        }
    }
}

// Guards against deeply nested items overflowing the stack of the recursive decoder.
Test(Frame, deepNestingIsRefused)
{
    std::string message;
    for (unsigned char initial : { 0x81, 0xa1, 0x9f, 0xbf, 0x7f, 0x5f, 0xc1, 0xd8 })
        cr_assert_not(decodeFrame(std::string(maxFrameBytes, static_cast<char>(initial)), message));
}

// Guards against allocating memory for a declared length that exceeds the input.
Test(Frame, hugeLengthsAreRefused)
{
    std::string message;
    for (unsigned char initial : { 0x5b, 0x7b, 0x9b, 0xbb })
        cr_assert_not(decodeFrame(static_cast<char>(initial) + std::string(8, '\xff') + "abc", message));
    cr_assert_not(Core::isPlainCbor(std::string("\xbb\x80\0\0\0\0\0\0\0", 9), 4));
}

// Guards against negative numbers being silently converted to unsigned ones.
Test(Frame, numbersMustBeUnsigned)
{
    std::string bytes = encodeFrame(Answer { 1, "" });
    size_t position = bytes.find("bid") + 3;
    cr_assert_eq(bytes[position], 1);
    bytes[position] = 0x20;
    std::string message;
    cr_assert_not(decodeFrame(bytes, message));
}

// Guards against off-by-one errors in the depth limit, and against counting siblings as nesting.
Test(Cbor, depthLimit)
{
    cr_assert(Core::isPlainCbor("\x81\x81\x01", 2));
    cr_assert_not(Core::isPlainCbor("\x81\x81\x01", 1));
    cr_assert(Core::isPlainCbor("\x83\x81\x01\x81\x02\x80", 2));
    cr_assert_not(Core::isPlainCbor("\x01\x02", 2));
    cr_assert_not(Core::isPlainCbor("", 2));
    cr_assert(Core::isPlainCbor("\xa2\x01\x02\x03\x04", 1));
    cr_assert_not(Core::isPlainCbor("\xa2\x01\x02\x03", 1));
}
