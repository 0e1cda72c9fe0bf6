#pragma once

#include "LibCore/Address.h"
#include "LibCore/Async.h"
#include "LibCore/Reason.h"
#include "LibHTTP/BufferBudget.h"
#include "LibHTTP/Message.h"
#include <functional>
#include <memory>
#include <optional>

namespace HTTP {

// A response whose body is read incrementally.
// Destroying it before the end of the body closes the connection instead of returning it to the pool.
class ResponseStream {
public:
    virtual ~ResponseStream() = default;

    virtual unsigned status() const = 0;
    virtual const Headers& headers() const = 0;
    // Whether the end of the connection is the end of the body, as for a response in neither chunks nor a length.
    virtual bool endsWithConnection() const { return false; }

    // Returns the next part of the body, or an empty string once the body is complete. Fails with OutcomeUnknown if the
    // body was truncated and with TimedOut if the deadline passed.
    virtual Core::Task<std::optional<std::string>> readSome(Core::Deadline, Core::Reason&) = 0;

    // Accounts for bytes of the body that the reader keeps, in place of those of the call before. Returns false if memory for
    // responses is short; nothing more should be kept then.
    virtual bool reserve(size_t) { return true; }

    // Reads the rest of the body; fails if it exceeds maxBytes, or if memory for responses is short. The body counts as kept until
    // the stream is destroyed.
    Core::Task<std::optional<std::string>> readAll(size_t maxBytes, Core::Deadline, Core::Reason&);

    // Reads the rest of the body without keeping it, so that its connection can be reused; gives up after maxBytes.
    Core::Task<void> discardAll(size_t maxBytes, Core::Deadline);
};

enum class ConnectionUse {
    // Reuses an idle connection if there is one.
    Pooled,
    // Always opens a new connection, so that a stale one cannot leave the outcome of the request unknown.
    Fresh,
};

// Cancels a call from another task by closing its connection.
class Cancellation {
public:
    void cancel();
    bool isCancelled() const { return m_isCancelled; }

    // Called by the client when a connection is assigned to the call. An empty function removes the assignment.
    void attach(std::function<void()> closeConnection);

private:
    std::function<void()> m_closeConnection;
    bool m_isCancelled { false };
};

// Called immediately before the request is written to the socket, without suspending in between. If it returns false,
// nothing is sent and the call fails with Refused.
using SendGuard = std::function<bool()>;

struct CallOptions {
    ConnectionUse use { ConnectionUse::Pooled };
    SendGuard guard {};
    std::shared_ptr<Cancellation> cancellation {};
    // Returns false for a response that belongs to another request. Such a response is discarded and the next one on the
    // connection is read.
    std::function<bool(unsigned status, const Headers&)> isExpected {};
    // Deadline for connecting, if earlier than the deadline of the call.
    Core::Deadline connectDeadline { Core::Deadline::never() };
    // Called if a reused connection failed before any byte of the response was received, as happens when the peer closes an
    // idle connection at the moment at which it is reused. Whether the request is sent again is the caller's decision.
    std::function<void()> reusedConnectionFailed {};
    // Called if the peer's host refused the connection, as it does when no process listens at the address.
    std::function<void()> connectionRefused {};
};

// How an attempt to open a connection ended.
struct ConnectAttempt {
    enum class Outcome {
        Established,
        // The peer's host answered that no process listens at the address, or reset the connection.
        Refused,
        TimedOut,
    };

    Core::Address address;
    Outcome outcome { Outcome::Established };
    Core::SteadyClock::time_point startedAt {};
    Core::SteadyClock::time_point endedAt {};

    std::chrono::milliseconds elapsed() const { return std::chrono::duration_cast<std::chrono::milliseconds>(endedAt - startedAt); }
    bool operator==(const ConnectAttempt&) const = default;
};

// An HTTP/1.1 client with a pool of idle connections per address.
class Client {
public:
    // Memory for responses if no budget is given.
    static constexpr size_t defaultBufferBytes = 64 * 1024 * 1024;

    explicit Client(const boost::asio::any_io_executor&, std::shared_ptr<BufferBudget> = std::make_shared<BufferBudget>(defaultBufferBytes));
    ~Client();

    // Sends the request and reads the response headers. Unavailable means that nothing was sent, OutcomeUnknown that the
    // request may have reached the peer.
    Core::Task<std::optional<std::unique_ptr<ResponseStream>>> open(
        Core::Address, Request, Core::Deadline, Core::Reason&, ConnectionUse = ConnectionUse::Pooled);

    // Sends the request and reads the whole response.
    Core::Task<std::optional<Response>> roundTrip(
        Core::Address, Request, Core::Deadline, Core::Reason&, ConnectionUse = ConnectionUse::Pooled);

    // Like open(), with options. A `Host` header in the request overrides the one derived from the address.
    Core::Task<std::optional<std::unique_ptr<ResponseStream>>> call(
        Core::Address, Request, Core::Deadline, CallOptions, Core::Reason&);

    // Opens a connection and closes it again, to measure how long that takes; see onConnectAttempt().
    Core::Task<bool> testConnect(Core::Address, Core::Deadline);

    // Whether a connection to the address that was established before the given time has not been closed by the peer since, so
    // that the process that accepted it still runs.
    bool hasOpenConnection(const Core::Address&, Core::SteadyClock::time_point establishedBefore) const;

    // Called at the end of each attempt to open a connection, except for those that the caller cancelled.
    void onConnectAttempt(std::function<void(const ConnectAttempt&)>);

    // Number of connection attempts since construction.
    uint64_t connectionsOpened() const;

private:
    struct Pool;
    boost::asio::any_io_executor m_executor;
    std::shared_ptr<Pool> m_pool;
};

}
