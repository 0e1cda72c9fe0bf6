#pragma once

#include "Frame.h"
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>
#include <websocketpp/transport/asio/endpoint.hpp>

namespace Peer {

// NOLINTBEGIN(readability-identifier-naming): the names are required by websocketpp.

// Single-threaded websocketpp configuration for clients and servers. Logging is disabled; Link logs failures.
template <typename Socket>
struct WebSocketConfig : public websocketpp::config::core_client {
    using type = WebSocketConfig;
    using base = websocketpp::config::core_client;
    using concurrency_type = websocketpp::concurrency::none;
    using elog_type = websocketpp::log::stub;
    using alog_type = websocketpp::log::stub;
    using rng_type = websocketpp::random::random_device::int_generator<uint32_t, concurrency_type>;

    static constexpr bool enable_multithreading = false;
    static constexpr size_t max_message_size = maxFrameBytes;
    static constexpr size_t max_http_body_size = 16 * 1024;
    static constexpr long timeout_open_handshake = 5000;
    static constexpr long timeout_close_handshake = 2000;

    struct transport_config : public base::transport_config {
        using concurrency_type = type::concurrency_type;
        using elog_type = type::elog_type;
        using alog_type = type::alog_type;
        using request_type = type::request_type;
        using response_type = type::response_type;
        using socket_type = Socket;
        static constexpr bool enable_multithreading = false;
    };

    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;
};

// NOLINTEND(readability-identifier-naming)

}
