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

// Guards against two events being taken for one because the blank line between them ends differently from the line before: the stream was
// resumed after the first of them, and its caller received the second one twice.
Test(EventStream, lineEndsMayDiffer)
{
    const std::vector<std::string> ends { "\n", "\r\n", "\r" };
    for (const std::string& lineEnd : ends) {
        for (const std::string& blankLine : ends) {
            std::string stream;
            for (int i = 1; i <= 3; ++i)
                stream += "id: " + std::to_string(i) + lineEnd + "event: error" + lineEnd + "data: a" + lineEnd + blankLine;
            // "\r" and "\n" are one line end.
            bool isJoined = lineEnd == "\r" && blankLine == "\n";
            for (size_t chunk = 1; chunk <= stream.size(); ++chunk) {
                EventStreamParser reader;
                std::vector<StreamEvent> events;
                for (size_t at = 0; at < stream.size(); at += chunk) {
                    for (StreamEvent& event : reader.feed(std::string_view(stream).substr(at, chunk)))
                        events.push_back(std::move(event));
                }
                // A last "\r" may be the first half of a line end.
                size_t expected = isJoined ? 0 : blankLine == "\r" ? 2
                                                                   : 3;
                cr_assert_eq(events.size(), expected, "%zu events, chunks of %zu bytes", events.size(), chunk);
                for (size_t i = 0; i < events.size(); ++i) {
                    cr_assert_eq(events[i].id.value_or(0), i + 1);
                    cr_assert(events[i].isError);
                }
            }
        }
    }
}

// Guards against an event having two numbers, of which the daemon checks another one than its caller.
Test(EventStream, eventWithTwoIdsHasNone)
{
    EventStreamParser reader;
    std::vector<StreamEvent> events = reader.feed("id: 1\nid: 7\ndata: a\n\nid: 2\ndata: a\nid: 2\n\n\nid: 3\ndata: id: 4\n\n");
    cr_assert_eq(events.size(), 3);
    cr_assert_not(events[0].id.has_value());
    cr_assert_not(events[1].id.has_value());
    cr_assert_eq(events[2].id.value_or(0), 3);
}
