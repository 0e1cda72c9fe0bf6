#include "WebSocketTransport.h"
#include <boost/asio/ssl/context.hpp>
#include <websocketpp/transport/asio/security/tls.hpp>

namespace Peer {

using TlsConfig = WebSocketConfig<websocketpp::transport::asio::tls_socket::endpoint>;
using Context = boost::asio::ssl::context;

static bool checkTlsStep(const boost::system::error_code& error, const std::string& step, const std::string& file, Core::Reason& reason)
{
    if (!error)
        return true;
    reason = { Core::FailureKind::Invalid, step, file, error.message() };
    return false;
}

static bool hasAllTlsFiles(const Settings& settings, Core::Reason& reason)
{
    if (!settings.certificateFile.empty() && !settings.privateKeyFile.empty() && !settings.authorityFile.empty())
        return true;
    reason = { Core::FailureKind::Invalid, "configure links", settings.self.host,
        "TLS requires certificate_file, private_key_file and authority_file, but at least one of them is not set" };
    return false;
}

static std::shared_ptr<Context> loadContext(const Settings& settings, Core::Reason& reason)
{
    std::shared_ptr<Context> context = std::make_shared<Context>(Context::tls);
    boost::system::error_code error;
    context->set_options(Context::default_workarounds | Context::no_sslv2 | Context::no_sslv3 | Context::no_tlsv1 | Context::no_tlsv1_1, error);
    if (!checkTlsStep(error, "configure TLS", settings.self.host, reason))
        return nullptr;
    context->use_certificate_chain_file(settings.certificateFile, error);
    if (!checkTlsStep(error, "load certificate", settings.certificateFile, reason))
        return nullptr;
    context->use_private_key_file(settings.privateKeyFile, Context::pem, error);
    if (!checkTlsStep(error, "load private key", settings.privateKeyFile, reason))
        return nullptr;
    context->load_verify_file(settings.authorityFile, error);
    if (!checkTlsStep(error, "load certificates of the authority", settings.authorityFile, reason))
        return nullptr;
    // Only the certificate chain is verified, not a host name: peers are addressed by IP address and authenticate their
    // host name with the shared key.
    context->set_verify_mode(boost::asio::ssl::verify_peer | boost::asio::ssl::verify_fail_if_no_peer_cert, error);
    if (!checkTlsStep(error, "configure TLS", settings.self.host, reason))
        return nullptr;
    return context;
}

std::shared_ptr<Transport> createTlsTransport(const boost::asio::any_io_executor& executor, const Settings& settings, Core::Reason& reason)
{
    if (!hasAllTlsFiles(settings, reason))
        return nullptr;
    std::shared_ptr<Context> context = loadContext(settings, reason);
    if (!context)
        return nullptr;
    auto transport = std::make_shared<WebSocketTransport<TlsConfig>>(executor, "wss");
    transport->server().set_tls_init_handler([context](websocketpp::connection_hdl) { return context; });
    transport->client().set_tls_init_handler([context](websocketpp::connection_hdl) { return context; });
    return transport;
}

}
