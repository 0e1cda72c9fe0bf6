#pragma once

#include "Transport.h"
#include "WebSocketConfig.h"

namespace Peer {

template <typename Config>
class WebSocketConnection final : public Connection {
public:
    using Pointer = std::shared_ptr<websocketpp::connection<Config>>;

    explicit WebSocketConnection(Pointer connection)
        : m_connection(std::move(connection))
    {
    }

    bool send(const std::string& message) override
    {
        return m_connection && !m_connection->send(message.data(), message.size(), websocketpp::frame::opcode::binary);
    }

    std::string remoteName() const override { return m_connection ? m_connection->get_remote_endpoint() : "closed connection"; }

    size_t queuedBytes() const override { return m_connection ? m_connection->get_buffered_amount() : 0; }

    void limitMessages(size_t maxBytes) override
    {
        if (m_connection)
            m_connection->set_max_message_size(maxBytes);
    }

    void close(const std::string& reason) override
    {
        // Copied because release() may reset the member while the connection is being closed.
        Pointer connection = m_connection;
        if (!connection)
            return;
        // The reason in a WebSocket close frame is limited to 123 bytes.
        websocketpp::lib::error_code error;
        connection->close(websocketpp::close::status::normal, reason.substr(0, 120), error);
        if (error)
            connection->terminate(error);
    }

    // Breaks the reference cycle between this object and the handlers of the connection.
    void release() { m_connection.reset(); }

private:
    Pointer m_connection;
};

// Exposes async_connect of websocketpp, so that the completion handler can hold a reference to the transport.
template <typename Config>
class WebSocketClient final : public websocketpp::client<Config> {
public:
    using Pointer = std::shared_ptr<websocketpp::connection<Config>>;

    void connectAsync(const Pointer& connection, std::function<void(const websocketpp::lib::error_code&)> done)
    {
        using TransportConnection = typename Config::transport_type::transport_con_type;
        this->async_connect(std::static_pointer_cast<TransportConnection>(connection), connection->get_uri(), std::move(done));
    }
};

// Transport based on websocketpp. The handlers of each connection hold a reference to the transport, because pending
// operations of websocketpp access its endpoints.
template <typename Config>
class WebSocketTransport final : public Transport, public std::enable_shared_from_this<WebSocketTransport<Config>> {
public:
    using Pointer = std::shared_ptr<websocketpp::connection<Config>>;
    using Wrapper = WebSocketConnection<Config>;

    WebSocketTransport(const boost::asio::any_io_executor& executor, std::string scheme)
        : m_executor(executor)
        , m_scheme(std::move(scheme))
    {
        auto& context = static_cast<boost::asio::io_context&>(boost::asio::query(executor, boost::asio::execution::context));
        m_server.init_asio(&context);
        m_client.init_asio(&context);
        m_server.set_reuse_addr(true);
    }

    websocketpp::server<Config>& server() { return m_server; }
    WebSocketClient<Config>& client() { return m_client; }

    std::optional<Core::Address> listen(const Core::Address& address, AcceptHook acceptHook, Core::Reason& reason) override
    {
        websocketpp::lib::error_code error;
        boost::system::error_code addressError;
        boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(address.ip, addressError), address.port);
        if (addressError) {
            reason = { Core::FailureKind::Invalid, "listen for peers", address.text(), addressError.message() };
            return std::nullopt;
        }
        m_server.listen(endpoint, error);
        if (error) {
            reason = { Core::FailureKind::Unavailable, "listen for peers", address.text(), error.message() };
            return std::nullopt;
        }
        m_acceptHook = std::move(acceptHook);
        startAccept();
        boost::system::error_code endpointError;
        return Core::Address { address.ip, m_server.get_local_endpoint(endpointError).port() };
    }

    std::shared_ptr<Connection> connect(const Core::Address& address, ConnectionEvents events, Core::Reason& reason) override
    {
        bool isIpv6 = address.ip.find(':') != std::string::npos;
        std::string host = isIpv6 ? "[" + address.ip + "]" : address.ip;
        websocketpp::lib::error_code error;
        Pointer connection = m_client.get_connection(m_scheme + "://" + host + ":" + std::to_string(address.port) + "/", error);
        if (error) {
            reason = { Core::FailureKind::Unavailable, "connect to peer", address.text(), error.message() };
            return nullptr;
        }
        std::shared_ptr<Wrapper> wrapper = std::make_shared<Wrapper>(connection);
        attach(connection, wrapper, std::move(events));
        m_client.connectAsync(connection, [self = this->shared_from_this(), connection](const websocketpp::lib::error_code& error) {
            if (error)
                connection->terminate(error);
            else
                connection->start();
        });
        return wrapper;
    }

    void stopListening() override
    {
        websocketpp::lib::error_code ignored;
        if (m_server.is_listening())
            m_server.stop_listening(ignored);
        m_acceptHook = nullptr;
    }

private:
    void startAccept()
    {
        Pointer connection = m_server.get_connection();
        if (!connection)
            return;
        websocketpp::lib::error_code startError;
        m_server.async_accept(
            connection, [self = this->shared_from_this(), connection](const websocketpp::lib::error_code& error) { self->handleAccept(connection, error); }, startError);
        if (startError)
            connection->terminate(startError);
    }

    void handleAccept(const Pointer& connection, const websocketpp::lib::error_code& error)
    {
        if (!m_acceptHook || !m_server.is_listening()) {
            connection->terminate(error);
            return;
        }
        if (error) {
            connection->terminate(error);
            scheduleAccept();
            return;
        }
        std::shared_ptr<Wrapper> wrapper = std::make_shared<Wrapper>(connection);
        attach(connection, wrapper, m_acceptHook(wrapper));
        connection->start();
        startAccept();
    }

    // Delays the next accept after an error such as running out of file descriptors, to avoid a busy loop.
    void scheduleAccept()
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(m_executor, std::chrono::milliseconds(50));
        timer->async_wait([self = this->shared_from_this(), timer](const boost::system::error_code&) {
            if (self->m_acceptHook)
                self->startAccept();
        });
    }

    void attach(const Pointer& connection, const std::shared_ptr<Wrapper>& wrapper, ConnectionEvents events)
    {
        using MessagePointer = typename Config::message_type::ptr;
        auto eventHandlers = std::make_shared<ConnectionEvents>(std::move(events));
        auto self = this->shared_from_this();
        websocketpp::connection<Config>* raw = connection.get();
        connection->set_tcp_post_init_handler([raw](websocketpp::connection_hdl) {
            boost::system::error_code ignored;
            raw->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        });
        connection->set_open_handler([eventHandlers](websocketpp::connection_hdl) { eventHandlers->opened(); });
        connection->set_message_handler([eventHandlers, wrapper](websocketpp::connection_hdl, MessagePointer message) {
            if (message->get_opcode() == websocketpp::frame::opcode::binary)
                eventHandlers->received(message->get_payload());
            else
                wrapper->close("only binary messages are allowed");
        });
        auto handleEnd = [self, eventHandlers, wrapper, raw](websocketpp::connection_hdl) {
            std::string reason = raw->get_ec().message();
            if (raw->get_transport_ec())
                reason += ": " + raw->get_transport_ec().message();
            if (!raw->get_remote_close_reason().empty())
                reason = raw->get_remote_close_reason();
            wrapper->release();
            eventHandlers->closed(reason);
        };
        connection->set_close_handler(handleEnd);
        connection->set_fail_handler(handleEnd);
    }

    boost::asio::any_io_executor m_executor;
    std::string m_scheme;
    websocketpp::server<Config> m_server;
    WebSocketClient<Config> m_client;
    AcceptHook m_acceptHook;
};

}
