#include "Handshake.h"

#include "LibCore/Hash.h"

namespace Peer {

// Fields are length-prefixed, so that different field boundaries cannot give the same input to the HMAC.
static void appendField(std::string& message, const std::string& field)
{
    message += std::to_string(field.size()) + ":" + field;
}

static void appendHello(std::string& message, const Hello& hello)
{
    appendField(message, std::to_string(hello.version));
    appendField(message, hello.identity.host);
    appendField(message, std::to_string(hello.identity.incarnation));
    appendField(message, hello.identity.failureDomain);
    appendField(message, hello.nonce);
}

std::string computeProof(const std::string& key, Role prover, const Hello& opener, const Hello& acceptor)
{
    std::string message;
    appendField(message, prover == Role::Opener ? "opener" : "acceptor");
    appendHello(message, opener);
    appendHello(message, acceptor);
    return Core::hmacSha256Hex(key, message);
}

}
