#include "LibRelay/EventStream.h"

#include <criterion/criterion.h>
#include <random>

using namespace Relay;

// Guards against an event being passed on before its end, which a resumed stream would repeat.
Test(EventStream, cutsAtBlankLines)
{
    EventStreamReader reader;
    cr_assert(reader.feed("id: 4\ndata: a").empty());
    cr_assert(reader.isInsideEvent());
    std::vector<StreamEvent> events = reader.feed("b\n\nid: 5\r\ndata: c\r\n\r\nid:");
    cr_assert_eq(events.size(), 2);
    cr_assert_eq(events[0].id.value(), 4);
    cr_assert_eq(events[0].bytes, "id: 4\ndata: ab\n\n");
    cr_assert_eq(events[1].id.value(), 5);
    cr_assert(reader.isInsideEvent());
}

// Guards against a damaged id being read as a number.
Test(EventStream, damagedIdsAreNone)
{
    EventStreamReader reader;
    std::vector<StreamEvent> events = reader.feed("id: 4x\ndata: a\n\ndata: b\n\n");
    cr_assert_eq(events.size(), 2);
    cr_assert_not(events[0].id.has_value());
    cr_assert_not(events[1].id.has_value());
}

// Guards against bytes lost or added at any cut of the stream.
Test(EventStream, anyCutGivesTheSameBytes)
{
    std::string stream;
    for (int i = 0; i < 40; ++i)
        stream += "id: " + std::to_string(i) + "\ndata: " + std::string(static_cast<size_t>(i), 'x') + "\n\n";
    std::mt19937_64 random(5);
    for (int round = 0; round < 50; ++round) {
        EventStreamReader reader;
        std::string passed;
        uint64_t next = 0;
        for (size_t at = 0; at < stream.size();) {
            size_t length = std::min<size_t>(1 + random() % 60, stream.size() - at);
            for (const StreamEvent& event : reader.feed(std::string_view(stream).substr(at, length))) {
                cr_assert_eq(event.id.value(), next++);
                passed += event.bytes;
            }
            at += length;
        }
        cr_assert_eq(passed, stream);
        cr_assert_not(reader.isInsideEvent());
    }
}
