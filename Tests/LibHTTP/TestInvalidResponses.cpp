#include "LibHTTP/Client.h"
#include "RawServer.h"
#include "RunTask.h"

#include <cctype>
#include <cstring>
#include <utility>

// Bytes of a faulty server that are no response in the protocol, and responses that end before they are complete, over real sockets.

using TestSupport::RawServer;
using TestSupport::readRawRequest;
using TestSupport::writeRaw;
using tcp = boost::asio::ip::tcp;

namespace {

struct Fixture {
    boost::asio::io_context context;
    HTTP::Client client { context.get_executor() };
    Core::Reason reason;

    std::optional<HTTP::Response> roundTrip(const RawServer& server, HTTP::Request request = { "GET", "/", {}, {} }, std::chrono::milliseconds timeout = std::chrono::seconds(5))
    {
        reason = {};
        return TestSupport::runTask(context, client.roundTrip(server.address(), std::move(request), Core::Deadline::after(timeout), reason));
    }
};

using Cases = std::vector<std::pair<std::string, std::string>>;

}

static const std::string fields = "Keep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nbody";
static const std::string head = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n";
static const std::string chunks = "4\r\nbody\r\n0\r\n\r\n";

// Answers each request on a connection with the bytes, and closes the connection after the first one if its end ends the body.
static RawServer::Script answering(std::string bytes, bool closes)
{
    return [bytes = std::move(bytes), closes](tcp::socket& socket) -> Core::Task<void> {
        while (co_await readRawRequest(socket)) {
            if (!co_await writeRaw(socket, bytes) || closes)
                co_return;
        }
    };
}

// The cases that are not reported as a call with an unknown outcome, or after which the connection is used again.
static std::string findAccepted(const Cases& cases)
{
    std::string accepted;
    for (const auto& [name, bytes] : cases) {
        for (bool closes : { false, true }) {
            Fixture fixture;
            RawServer server(fixture.context, answering(bytes, closes));
            std::optional<HTTP::Response> response = fixture.roundTrip(server, { "GET", "/", {}, {} }, std::chrono::milliseconds(300));
            bool isUnknown = !response && (fixture.reason.kind == Core::FailureKind::OutcomeUnknown || fixture.reason.kind == Core::FailureKind::TimedOut);
            fixture.roundTrip(server, { "GET", "/", {}, {} }, std::chrono::milliseconds(100));
            if (!isUnknown || server.connections != 2)
                accepted += name + (closes ? " (close)" : "") + (response ? " was accepted as " + std::to_string(response->status) + " \"" + response->body + "\"" : ": " + fixture.reason.text()) + ", " + std::to_string(server.connections) + " connections\n";
        }
    }
    return accepted;
}

// Guards against a status that the protocol does not have reaching a caller as an answer.
Test(InvalidResponses, statusOutsideTheProtocolIsNoResponse)
{
    Cases cases;
    for (const char* status : { "000", "001", "010", "099", "600", "601", "700", "999", "20", "2", "2000", "+20", "-20", " 200", "2 0", "0x2", "2O0", "" })
        cases.push_back({ status, "HTTP/1.1 " + std::string(status) + " OK\r\n" + fields });
    std::string accepted = findAccepted(cases);
    cr_assert(accepted.empty(), "%s", accepted.c_str());
}

// Guards against rejecting a status that servers may send.
Test(InvalidResponses, statusOfTheProtocolIsAResponse)
{
    for (unsigned status = 200; status < 600; ++status) {
        Fixture fixture;
        RawServer server(fixture.context, answering("HTTP/1.1 " + std::to_string(status) + " \r\n" + fields, true));
        std::optional<HTTP::Response> response = fixture.roundTrip(server);
        cr_assert(response, "status %u: %s", status, fixture.reason.text().c_str());
        cr_assert_eq(response->status, status);
        cr_assert_eq(response->body, status == 204 || status == 304 ? "" : "body");
    }
}

// Guards against an informational response being taken for the final one, and against reading on as HTTP after a switch to another
// protocol that was not asked for.
Test(InvalidResponses, informationalResponseIsNotTheFinalOne)
{
    Cases cases;
    for (int status = 100; status < 200; ++status)
        cases.push_back({ std::to_string(status), "HTTP/1.1 " + std::to_string(status) + " Odd\r\n\r\n" });
    cases.push_back({ "101 and a response", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n" + head + "Content-Length: 4\r\n\r\nbody" });
    cases.push_back({ "body after 100", "HTTP/1.1 100 Continue\r\nContent-Length: 4\r\n\r\nbody" + head + "Content-Length: 4\r\n\r\nbody" });
    std::string accepted = findAccepted(cases);
    cr_assert(accepted.empty(), "%s", accepted.c_str());
    for (const char* status : { "100 Continue", "102 Processing", "103 Early Hints" }) {
        Fixture fixture;
        RawServer server(fixture.context, answering("HTTP/1.1 " + std::string(status) + "\r\nLink: a\r\n\r\n" + head + "Content-Length: 4\r\n\r\nbody", true));
        std::optional<HTTP::Response> response = fixture.roundTrip(server);
        cr_assert(response, "%s: %s", status, fixture.reason.text().c_str());
        cr_assert_eq(response->body, "body");
        cr_assert_not(HTTP::findHeader(response->headers, "Link"));
    }
}

// Guards against a head with a line that is no field being passed on, or read with a body that is not the server's: a line that begins
// with a blank would be joined to the line before, with the length of the body in it.
Test(InvalidResponses, lineThatIsNoFieldIsNoResponse)
{
    Cases cases;
    for (int byte = 0; byte < 256; ++byte) {
        char character = static_cast<char>(byte);
        bool isToken = std::isalnum(static_cast<unsigned char>(character)) || (character != 0 && std::strchr("!#$%&'*+-.^_`|~", character));
        if (isToken)
            continue;
        std::string name = "byte " + std::to_string(byte);
        // A name that ends at a colon leaves a value.
        if (character != ':')
            cases.push_back({ name + " in a name", head + "Od" + character + "d: a\r\n" + fields });
        cases.push_back({ name + " before a name", head + character + "Odd: a\r\n" + fields });
        if (character != ':')
            cases.push_back({ name + " before a colon", head + "Odd" + character + ": a\r\n" + fields });
        bool isInValue = byte == '\t' || (byte >= ' ' && byte != 127);
        if (!isInValue)
            cases.push_back({ name + " in a value", head + "Odd: a" + character + "b\r\n" + fields });
        if (!isInValue)
            cases.push_back({ name + " in a reason", std::string("HTTP/1.1 200 O") + character + "K\r\n" + fields });
    }
    cases.push_back({ "no name", head + ": a\r\n" + fields });
    cases.push_back({ "no colon", head + "Odd\r\n" + fields });
    cases.push_back({ "folded length", head + "Odd: a\r\n Content-Length: 4\r\n\r\nbody, and more" });
    cases.push_back({ "folded length after an empty value", head + "Odd:\r\n\tContent-Length: 4\r\n\r\nbody, and more" });
    cases.push_back({ "folded blank line", head + "Content-Length: 4\r\nOdd: a\r\n \r\n\r\nbody" });
    cases.push_back({ "folded first line", "HTTP/1.1 200 OK\r\n Odd: a\r\n" + fields });
    cases.push_back({ "line feeds only", "HTTP/1.1 200 OK\nContent-Length: 4\n\nbody" });
    std::string accepted = findAccepted(cases);
    cr_assert(accepted.empty(), "%s", accepted.c_str());
}

// Guards against lengths that contradict each other or are no numbers.
Test(InvalidResponses, invalidLengthIsNoResponse)
{
    Cases cases;
    for (const char* length : { "", "-4", "+4", "4 4", "4,5", "4,", ",4", "0x4", "4.0", "4;", "\"4\"", "99999999999999999999", "18446744073709551616", "4\r\nContent-Length: 5", "4\r\nContent-Length: ", "4\r\nTransfer-Encoding: chunked" })
        cases.push_back({ length, head + "Content-Length: " + length + "\r\n\r\nbody" });
    cases.push_back({ "both, chunked first", head + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n" + chunks });
    std::string accepted = findAccepted(cases);
    cr_assert(accepted.empty(), "%s", accepted.c_str());
}

// Guards against a body in a transfer coding that is not undone reaching a caller as the server's body.
Test(InvalidResponses, transferCodingOtherThanChunkedIsNoResponse)
{
    Cases cases;
    for (const char* coding : { "gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "identity", "identity, chunked", "", "\"chunked\"", "chunked;a=b", "xchunked", "chunkedx", "chunke d", "gzip\r\nTransfer-Encoding: chunked", "chunked\r\nTransfer-Encoding: chunked", "\r\nTransfer-Encoding: chunked" }) {
        cases.push_back({ coding, head + "Transfer-Encoding: " + coding + "\r\n\r\n" + chunks });
        cases.push_back({ std::string(coding) + " with a length", head + "Transfer-Encoding: " + coding + "\r\nContent-Length: 4\r\n\r\nbody" });
    }
    cases.push_back({ "HTTP/1.0", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks });
    std::string accepted = findAccepted(cases);
    cr_assert(accepted.empty(), "%s", accepted.c_str());
}

// Guards against reading a body whose chunks are not valid.
Test(InvalidResponses, invalidChunkIsNoResponse)
{
    Cases cases;
    std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    for (const char* size : { "", "+4", "-4", " 4", "4 ", "0x4", "4;", "4;=", "4 a", "4h", "10000000000000000", "fffffffffffffffff", "4\n" })
        cases.push_back({ size, chunked + size + "\r\nbody\r\n0\r\n\r\n" });
    cases.push_back({ "long chunk", chunked + "4\r\nbody, and more\r\n0\r\n\r\n" });
    cases.push_back({ "short chunk", chunked + "4\r\nbod\r\n0\r\n\r\n" });
    cases.push_back({ "odd end", chunked + "4\r\nbody\r\n0x\r\n\r\n" });
    cases.push_back({ "blank in a trailer", chunked + "4\r\nbody\r\n0\r\nO dd: a\r\n\r\n" });
    cases.push_back({ "length in a trailer", chunked + "4\r\nbody\r\n0\r\nContent-Length: 4\r\n\r\n" });
    cases.push_back({ "transfer coding in a trailer", chunked + "4\r\nbody\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n" });
    std::string accepted = findAccepted(cases);
    cr_assert(accepted.empty(), "%s", accepted.c_str());
}

// Guards against other versions, and bytes before the status line, being read as a response.
Test(InvalidResponses, otherProtocolIsNoResponse)
{
    Cases cases;
    for (const char* version : { "HTTP/0.9", "HTTP/1.2", "HTTP/1.9", "HTTP/2.0", "HTTP/2", "HTTP/11", "HTTP/1,1", "HTTP/1.10", "HTTP/01.1", "http/1.1", "HTTPS/1.1", "ICY", " HTTP/1.1", "\r\nHTTP/1.1", "xHTTP/1.1", "body\r\nHTTP/1.1" })
        cases.push_back({ version, std::string(version) + " 200 OK\r\n" + fields });
    cases.push_back({ "HTTP/0.9 body", "body" });
    cases.push_back({ "tab after the version", "HTTP/1.1\t200 OK\r\n" + fields });
    std::string accepted = findAccepted(cases);
    cr_assert(accepted.empty(), "%s", accepted.c_str());
}

// Guards against an encoded body reaching a caller that did not ask for it, as if it were the server's body.
Test(InvalidResponses, contentCodingThatWasNotRequestedIsNoResponse)
{
    Cases cases;
    for (const char* coding : { "gzip", "identity", "br, gzip", "", "odd", "gzip\r\nContent-Encoding: br" })
        cases.push_back({ coding, head + "Content-Encoding: " + coding + "\r\nContent-Length: 4\r\n\r\nbody" });
    std::string accepted = findAccepted(cases);
    cr_assert(accepted.empty(), "%s", accepted.c_str());
    struct Case {
        const char* requested;
        const char* used;
        bool isAccepted;
    };
    for (const Case& example : { Case { "gzip", "gzip", true }, { "br;q=0.5, GZIP", "gzip", true }, { "gzip, br", "gzip, br", true }, { "gzip", "br", false },
             { "gzip", "gzip, br", false }, { "identity", "identity", false }, { "*", "gzip", false }, { "xgzip", "gzip", false }, { "gzip;q=0", "gzip", false } }) {
        Fixture fixture;
        RawServer server(fixture.context, answering(head + "Content-Encoding: " + example.used + "\r\nContent-Length: 4\r\n\r\nbody", true));
        bool isAccepted = fixture.roundTrip(server, { "GET", "/", { { "Accept-Encoding", example.requested } }, {} }).has_value();
        cr_assert_eq(isAccepted, example.isAccepted, "\"%s\" after a request of \"%s\"", example.used, example.requested);
    }
}

// Guards against a reset that ends a body without a length being taken for its end, since a look at the open connections has read the
// error before.
Test(InvalidResponses, resetIsNotHiddenByALookAtTheConnection)
{
    Fixture fixture;
    RawServer server(fixture.context, [](tcp::socket& socket) -> Core::Task<void> {
        co_await readRawRequest(socket);
        co_await writeRaw(socket, "HTTP/1.1 200 OK\r\n\r\npart of the bo");
        co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(30)));
        TestSupport::resetConnection(socket);
    });
    Core::Deadline deadline = Core::Deadline::after(std::chrono::seconds(5));
    std::optional<std::unique_ptr<HTTP::ResponseStream>> stream
        = TestSupport::runTask(fixture.context, fixture.client.open(server.address(), { "GET", "/", {}, {} }, deadline, fixture.reason));
    cr_assert(stream);
    cr_assert_eq(TestSupport::runTask(fixture.context, (*stream)->readSome(deadline, fixture.reason)).value_or(""), "part of the bo");
    cr_assert(fixture.client.hasOpenConnection(server.address(), Core::SteadyClock::now()));
    fixture.context.restart();
    fixture.context.run_for(std::chrono::milliseconds(100));
    cr_assert_not(fixture.client.hasOpenConnection(server.address(), Core::SteadyClock::now()));
    cr_assert_not(TestSupport::runTask(fixture.context, (*stream)->readSome(deadline, fixture.reason)), "the part was taken for the whole body");
    cr_assert_eq(fixture.reason.kind, Core::FailureKind::OutcomeUnknown);
}

namespace {

// How a server that has answered before it has read the whole request ends the connection.
enum class End {
    Reset,
    LateReset,
    // Ends its side only and does not read on.
    HalfClose,
    HalfCloseAndReset,
    // Closes after having read what has arrived.
    Close,
};

}

static Core::Task<void> pause(std::chrono::milliseconds duration)
{
    co_await Core::sleepUntil(Core::Deadline::after(duration));
}

// Reads up to this many bytes, then answers and ends the connection. Counts the bytes read.
static RawServer::Script answeringEarly(size_t readBytes, std::string bytes, End end, size_t& read)
{
    return [readBytes, bytes = std::move(bytes), end, &read](tcp::socket& socket) -> Core::Task<void> {
        boost::system::error_code ignored;
        std::vector<char> buffer(64 * 1024);
        while (read < readBytes) {
            auto [error, size] = co_await socket.async_read_some(boost::asio::buffer(buffer.data(), std::min(buffer.size(), readBytes - read)), TestSupport::rawTuple);
            if (error)
                co_return;
            read += size;
        }
        co_await writeRaw(socket, bytes);
        if (end == End::LateReset)
            co_await pause(std::chrono::milliseconds(30));
        if (end == End::Reset || end == End::LateReset)
            TestSupport::resetConnection(socket);
        if (end == End::HalfClose || end == End::HalfCloseAndReset)
            socket.shutdown(tcp::socket::shutdown_send, ignored);
        if (end == End::HalfClose)
            co_await pause(std::chrono::milliseconds(500));
        if (end == End::HalfCloseAndReset) {
            co_await pause(std::chrono::milliseconds(30));
            TestSupport::resetConnection(socket);
        }
        if (end == End::Close) {
            while (socket.available(ignored) > 0)
                read += socket.read_some(boost::asio::buffer(buffer), ignored);
            socket.close(ignored);
        }
    };
}

// Guards against a part of a body without a length being taken for the whole body, if the server ends the connection before it has
// read the request.
Test(InvalidResponses, bodyThatEndsBeforeTheRequestIsReadIsIncomplete)
{
    std::string part = "HTTP/1.1 200 OK\r\n\r\npart of the bo";
    std::string accepted;
    for (size_t uploadBytes : { 100'000U, 400'000U, 3'000'000U }) {
        for (size_t readBytes : { size_t { 0 }, size_t { 500 }, uploadBytes / 2 }) {
            for (End end : { End::Reset, End::LateReset, End::HalfClose, End::HalfCloseAndReset, End::Close }) {
                for (bool isNarrow : { false, true }) {
                    // The client cannot tell what the server's host has received from what the server has read, if the server ends its
                    // side of the connection in order.
                    if (!isNarrow && (end == End::HalfClose || end == End::HalfCloseAndReset))
                        continue;
                    Fixture fixture;
                    size_t read = 0;
                    RawServer server(fixture.context, answeringEarly(readBytes, part, end, read));
                    if (isNarrow)
                        server.acceptor.set_option(boost::asio::socket_base::receive_buffer_size(4'096));
                    std::optional<HTTP::Response> response = fixture.roundTrip(server, { "POST", "/", {}, std::string(uploadBytes, 'x') }, std::chrono::milliseconds(300));
                    if (response && read <= uploadBytes)
                        accepted += std::to_string(uploadBytes) + " bytes, " + std::to_string(readBytes) + " read, end " + std::to_string(static_cast<int>(end)) + (isNarrow ? ", narrow" : "") + "\n";
                }
            }
        }
    }
    cr_assert(accepted.empty(), "%s", accepted.c_str());
}

// Guards against rejecting responses that servers may send before they have read the whole request, and bodies that end with the
// connection after it.
Test(InvalidResponses, earlyResponseWithALengthIsComplete)
{
    for (const char* status : { "413 Content Too Large", "503 Service Unavailable", "200 OK" }) {
        for (size_t uploadBytes : { 100'000U, 3'000'000U }) {
            Fixture fixture;
            RawServer server(fixture.context, [&](tcp::socket& socket) -> Core::Task<void> {
                std::vector<char> buffer(64 * 1024);
                co_await socket.async_read_some(boost::asio::buffer(buffer), TestSupport::rawTuple);
                co_await writeRaw(socket, "HTTP/1.1 " + std::string(status) + "\r\n" + fields);
                co_await pause(std::chrono::milliseconds(20));
                for (;;) {
                    auto [error, size] = co_await socket.async_read_some(boost::asio::buffer(buffer), TestSupport::rawTuple);
                    if (error)
                        co_return;
                }
            });
            std::optional<HTTP::Response> response = fixture.roundTrip(server, { "POST", "/", {}, std::string(uploadBytes, 'x') });
            cr_assert(response, "%s: %s", status, fixture.reason.text().c_str());
            cr_assert_eq(response->body, "body");
        }
    }
    for (size_t uploadBytes : { 0U, 1U, 100'000U, 3'000'000U }) {
        Fixture fixture;
        RawServer server(fixture.context, answering("HTTP/1.1 200 OK\r\n\r\nbody", true));
        std::optional<HTTP::Response> response = fixture.roundTrip(server, { "POST", "/", {}, std::string(uploadBytes, 'x') });
        cr_assert(response, "%zu bytes: %s", uploadBytes, fixture.reason.text().c_str());
        cr_assert_eq(response->body, "body");
    }
}

// Guards against the body of a response that has none, sent late, being taken for the answer to the next request on the connection.
Test(InvalidResponses, bodyAfterAResponseWithoutOneIsNotTheNextResponse)
{
    std::string copy = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 6\r\n\r\nforged";
    struct Case {
        const char* name;
        const char* method;
        std::string response;
        // Whether the body is sent with the head, or after the next request.
        bool isLate;
    };
    std::string length = "Keep-Alive: timeout=5\r\nContent-Length: " + std::to_string(copy.size()) + "\r\n\r\n";
    std::string chunked = "Keep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const Case& example : { Case { "HEAD", "HEAD", "HTTP/1.1 200 OK\r\n" + length, false }, { "204", "GET", "HTTP/1.1 204 No Content\r\n" + length, false },
             { "204, late", "GET", "HTTP/1.1 204 No Content\r\n" + length, true }, { "204, chunked", "GET", "HTTP/1.1 204 No Content\r\n" + chunked, false },
             { "204, chunked, late", "GET", "HTTP/1.1 204 No Content\r\n" + chunked, true }, { "304", "GET", "HTTP/1.1 304 Not Modified\r\n" + length, false } }) {
        Fixture fixture;
        bool isFirst = true;
        RawServer server(fixture.context, [&](tcp::socket& socket) -> Core::Task<void> {
            while (co_await readRawRequest(socket)) {
                if (!std::exchange(isFirst, false)) {
                    co_await writeRaw(socket, (example.isLate && server.connections == 1 ? copy : "") + head + "Content-Length: 4\r\n\r\nbody");
                    continue;
                }
                co_await writeRaw(socket, example.response + (example.isLate ? "" : copy));
            }
        });
        std::optional<HTTP::Response> first = fixture.roundTrip(server, { example.method, "/", {}, {} });
        cr_assert(first, "%s: %s", example.name, fixture.reason.text().c_str());
        cr_assert(first->body.empty(), "%s", example.name);
        std::optional<HTTP::Response> second = fixture.roundTrip(server);
        cr_expect(second && second->body == "body", "%s: %s", example.name, second ? second->body.c_str() : fixture.reason.text().c_str());
    }
}
