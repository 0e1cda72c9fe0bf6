#pragma once

#include "Frame.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/websocket.hpp>

// A WebSocket peer that can send arbitrary bytes. It uses neither websocketpp nor the handshake code under test.
class RawPeer {
public:
    using tcp = boost::asio::ip::tcp;

    explicit RawPeer(const boost::asio::any_io_executor& executor)
        : m_stream(tcp::socket(executor))
    {
        m_stream.binary(true);
    }

    Core::Task<void> connect(const Core::Address& address)
    {
        co_await m_stream.next_layer().async_connect(endpointOf(address), boost::asio::use_awaitable);
        m_stream.next_layer().set_option(tcp::no_delay(true));
        co_await m_stream.async_handshake(address.text(), "/", boost::asio::use_awaitable);
    }

    Core::Task<void> accept(tcp::acceptor& acceptor)
    {
        m_stream.next_layer() = co_await acceptor.async_accept(boost::asio::use_awaitable);
        m_stream.next_layer().set_option(tcp::no_delay(true));
        co_await m_stream.async_accept(boost::asio::use_awaitable);
    }

    Core::Task<bool> send(std::string bytes)
    {
        auto [error, size] = co_await m_stream.async_write(boost::asio::buffer(bytes), boost::asio::as_tuple(boost::asio::use_awaitable));
        co_return !error;
    }

    Core::Task<bool> sendFrame(Peer::Frame frame) { co_return co_await send(Peer::encodeFrame(frame)); }

    // Returns the next message, or nullopt if the connection is closed.
    Core::Task<std::optional<std::string>> receive()
    {
        boost::beast::flat_buffer buffer;
        auto [error, size] = co_await m_stream.async_read(buffer, boost::asio::as_tuple(boost::asio::use_awaitable));
        if (error)
            co_return std::nullopt;
        co_return boost::beast::buffers_to_string(buffer.data());
    }

    template <typename Expected>
    Core::Task<std::optional<Expected>> receiveFrame()
    {
        std::optional<std::string> bytes = co_await receive();
        if (!bytes)
            co_return std::nullopt;
        std::string message;
        std::optional<Peer::Frame> frame = Peer::decodeFrame(*bytes, message);
        if (!frame || !std::holds_alternative<Expected>(*frame))
            co_return std::nullopt;
        co_return std::get<Expected>(*frame);
    }

    static tcp::endpoint endpointOf(const Core::Address& address)
    {
        return tcp::endpoint(boost::asio::ip::make_address(address.ip), address.port);
    }

private:
    boost::beast::websocket::stream<tcp::socket> m_stream;
};
