#include "WebSocketTransport.h"
#include <websocketpp/transport/asio/security/none.hpp>

namespace Peer {

using PlainConfig = WebSocketConfig<websocketpp::transport::asio::basic_socket::endpoint>;

std::shared_ptr<Transport> createPlainTransport(const boost::asio::any_io_executor& executor)
{
    return std::make_shared<WebSocketTransport<PlainConfig>>(executor, "ws");
}

}
