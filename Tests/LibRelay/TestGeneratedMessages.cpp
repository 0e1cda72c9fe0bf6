#include "LibRelay/EventStream.h"
#include "LibRelay/PermitService.h"
#include "LibRelay/SharedWatch.h"
#include "LibRelay/WorkspaceLedger.h"
#include "Mutation.h"
#include <criterion/criterion.h>

using namespace Relay;

static constexpr int cases = 3'000;

// Guards against a malformed ledger or peer message crashing the process or failing with another kind than Invalid.
Test(GeneratedMessages, malformedMessagesAreRefusedWithAReason)
{
    std::mt19937_64 random(1);
    LedgerShard shard;
    shard["w"].apply({ "w", "host", 3, 1, 100, 1, 1, 1'000 });
    const std::string ledger = encodeShard(shard);
    const std::string request = encodeTransfer({ "w", "host", 3, 4, 100, 10 });
    const std::string reply = encodeReply({ 50, 900, 100 });
    const std::string watchRequest = encodeWatchRequest({ "servers/", 7, std::chrono::milliseconds(5) });
    const std::string watchReply = encodeWatchReply({ { 9, { { "servers/a", 8, "{}" } }, { "servers/b" } }, std::chrono::milliseconds(1), std::chrono::milliseconds(2) });
    const std::string permitRequest = encodePermitRequest({ "e", 2.5 });
    const std::string permitReply = encodePermitReply({ false, 40 });
    for (int i = 0; i < cases; ++i) {
        Core::Reason reason;
        bool isDecoded = false;
        switch (i % 7) {
        case 0:
            isDecoded = decodeShard(TestSupport::mutateBytes(ledger, random), reason).has_value();
            break;
        case 1:
            isDecoded = decodeTransfer(TestSupport::mutateBytes(request, random), reason).has_value();
            break;
        case 2:
            isDecoded = decodeReply(TestSupport::mutateBytes(reply, random), reason).has_value();
            break;
        case 3:
            isDecoded = decodeWatchRequest(TestSupport::mutateBytes(watchRequest, random), reason).has_value();
            break;
        case 4:
            isDecoded = decodePermitRequest(TestSupport::mutateBytes(permitRequest, random), reason).has_value();
            break;
        case 5:
            isDecoded = decodePermitReply(TestSupport::mutateBytes(permitReply, random), reason).has_value();
            break;
        default:
            isDecoded = decodeWatchReply(TestSupport::mutateBytes(watchReply, random), reason).has_value();
        }
        cr_assert(isDecoded || reason.kind == Core::FailureKind::Invalid, "case %d: %s", i, reason.text().c_str());
    }
}

// Guards against malformed event streams crashing the process, and against losing or adding bytes while parsing them.
Test(GeneratedMessages, eventParserPreservesTheBytes)
{
    std::mt19937_64 random(2);
    const std::string valid = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: x\n\n";
    for (int i = 0; i < cases; ++i) {
        std::string bytes = TestSupport::mutateBytes(valid, random);
        EventStreamParser reader;
        std::string output;
        for (size_t at = 0; at < bytes.size();) {
            size_t length = 1 + random() % 7;
            for (const StreamEvent& event : reader.feed(bytes.substr(at, length)))
                output += event.bytes;
            at += length;
        }
        cr_assert(bytes.starts_with(output), "case %d", i);
    }
}
