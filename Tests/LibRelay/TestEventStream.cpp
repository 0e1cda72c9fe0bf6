#include "LibRelay/EventStream.h"

#include <criterion/criterion.h>
#include <random>

using namespace Relay;

// Guards against forwarding an incomplete event, which a resumed stream would repeat.
Test(EventStream, splitsAtBlankLines)
{
    EventStreamParser reader;
    cr_assert(reader.feed("id: 4\ndata: a").empty());
    cr_assert(reader.hasIncompleteEvent());
    std::vector<StreamEvent> events = reader.feed("b\n\nid: 5\r\ndata: c\r\n\r\nid:");
    cr_assert_eq(events.size(), 2);
    cr_assert_eq(events[0].id.value(), 4);
    cr_assert_eq(events[0].bytes, "id: 4\ndata: ab\n\n");
    cr_assert_eq(events[1].id.value(), 5);
    cr_assert(reader.hasIncompleteEvent());
}

// Guards against parsing a malformed id as a number.
Test(EventStream, malformedIdsAreIgnored)
{
    EventStreamParser reader;
    std::vector<StreamEvent> events = reader.feed("id: 4x\ndata: a\n\ndata: b\n\n");
    cr_assert_eq(events.size(), 2);
    cr_assert_not(events[0].id.has_value());
    cr_assert_not(events[1].id.has_value());
}

// Guards against taking data that mentions an error for an error, and against missing one.
Test(EventStream, errorsAreRecognizedByTheirType)
{
    EventStreamParser reader;
    std::vector<StreamEvent> events = reader.feed("id: 1\nevent: error\ndata: a\n\nevent:error\r\nid:2\r\n\r\nid: 3\ndata: event: error\n\nid: 4\nevent: errors\n\n");
    cr_assert_eq(events.size(), 4);
    cr_assert(events[0].isError);
    cr_assert(events[1].isError);
    cr_assert_not(events[2].isError);
    cr_assert_not(events[3].isError);
}

// Guards against losing or adding bytes at any chunk boundary of the stream.
Test(EventStream, chunkBoundariesDoNotChangeTheBytes)
{
    std::string stream;
    for (int i = 0; i < 40; ++i)
        stream += "id: " + std::to_string(i) + "\ndata: " + std::string(static_cast<size_t>(i), 'x') + "\n\n";
    std::mt19937_64 random(5);
    for (int round = 0; round < 50; ++round) {
        EventStreamParser reader;
        std::string output;
        uint64_t next = 0;
        for (size_t at = 0; at < stream.size();) {
            size_t length = std::min<size_t>(1 + random() % 60, stream.size() - at);
            for (const StreamEvent& event : reader.feed(std::string_view(stream).substr(at, length))) {
                cr_assert_eq(event.id.value(), next++);
                output += event.bytes;
            }
            at += length;
        }
        cr_assert_eq(output, stream);
        cr_assert_not(reader.hasIncompleteEvent());
    }
}

// Guards against buffering without limit, and searching again and again, what an endpoint sends without ever ending its event.
Test(EventStream, eventWithoutEndIsOversized)
{
    EventStreamParser reader;
    std::string block(16 * 1024, 'x');
    for (int i = 0; i < 4'096 && !reader.isOversized(); ++i)
        cr_assert(reader.feed(block).empty());
    cr_assert(reader.isOversized());
    // What follows is neither kept nor taken for events.
    cr_assert(reader.feed("\n\nid: 1\ndata: a\n\n").empty());
}
