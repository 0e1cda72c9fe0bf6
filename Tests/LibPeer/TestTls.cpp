#include "Fixture.h"
#include "TestCertificates.h"

namespace {

Peer::Settings tlsSettings(const std::string& host, const TestCertificates& certificates)
{
    Peer::Settings settings = makeSettings(host);
    settings.certificateFile = certificates.certificateFile();
    settings.privateKeyFile = certificates.privateKeyFile();
    settings.authorityFile = certificates.authorityFile();
    return settings;
}

// Sends an echo call between two networks with the given settings.
std::optional<std::string> callBetween(const Peer::Settings& caller, const Peer::Settings& acceptor, std::string body, Core::Reason& reason)
{
    Fixture fixture;
    Peer::Network first(fixture.context.get_executor(), caller);
    Peer::Network second(fixture.context.get_executor(), acceptor);
    Core::Address address = second.listen(reason).value();
    second.onCall("echo", [](Peer::Identity, std::string body, Core::Reason&) -> Core::Task<std::optional<std::string>> {
        co_return body;
    });
    std::optional<std::string> answer;
    fixture.run([](Peer::Network& first, Core::Address address, std::string body, Core::Reason& reason, std::optional<std::string>& answer) -> Core::Task<void> {
        answer = co_await first.call(address, "echo", body, Core::Deadline::after(20s), reason);
    }(first, address, body, reason, answer));
    return answer;
}

}

// Guards against links failing or truncating frames when TLS is enabled.
Test(Tls, callsWithCertificates, .timeout = 60)
{
    TestCertificates certificates;
    Core::Reason reason;
    std::string body(1000000, 'x');
    std::optional<std::string> answer = callBetween(tlsSettings("a", certificates), tlsSettings("b", certificates), body, reason);
    cr_assert(answer, "%s", reason.text().c_str());
    cr_assert(*answer == body);
}

// Guards against accepting a peer whose certificate is from another authority, or one that does not use TLS.
Test(Tls, foreignPeersAreRefused, .timeout = 60)
{
    TestCertificates certificates;
    TestCertificates foreign;
    Core::Reason reason;
    cr_assert_not(callBetween(tlsSettings("a", foreign), tlsSettings("b", certificates), "", reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Unavailable);
    cr_assert_not(callBetween(makeSettings("a"), tlsSettings("b", certificates), "", reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Unavailable);
    // The caller trusts the acceptor's authority, but not the other way round.
    Peer::Settings trustsAcceptor = tlsSettings("a", foreign);
    trustsAcceptor.authorityFile = certificates.authorityFile();
    cr_assert_not(callBetween(trustsAcceptor, tlsSettings("b", certificates), "", reason));
}

// Guards against falling back to unencrypted links when TLS settings are incomplete or invalid.
Test(Tls, wrongSettingsAreErrors, .timeout = 60)
{
    TestCertificates certificates;
    boost::asio::io_context context;
    Peer::Settings incomplete = tlsSettings("a", certificates);
    incomplete.authorityFile.clear();
    Peer::Settings missing = tlsSettings("a", certificates);
    missing.privateKeyFile = "/nonexistent/key.pem";
    Peer::Settings mixed = tlsSettings("a", certificates);
    mixed.certificateFile = certificates.privateKeyFile();
    for (const Peer::Settings& settings : { incomplete, missing, mixed }) {
        Peer::Network network(context.get_executor(), settings);
        Core::Reason reason;
        cr_assert_not(network.listen(reason));
        cr_assert_eq(reason.kind, Core::FailureKind::Invalid);
        cr_assert(!reason.message.empty() && !reason.peer.empty());
    }
}
