#include "Handshake.h"

#include "LibCore/Hash.h"

namespace Peer {

// Length prefixes keep the boundaries of the fields unambiguous.
static void addField(std::string& message, const std::string& field)
{
    message += std::to_string(field.size()) + ":" + field;
}

static void addHello(std::string& message, const Hello& hello)
{
    addField(message, std::to_string(hello.version));
    addField(message, hello.identity.host);
    addField(message, std::to_string(hello.identity.incarnation));
    addField(message, hello.identity.failureDomain);
    addField(message, hello.nonce);
}

std::string proofOf(const std::string& key, Role prover, const Hello& opener, const Hello& acceptor)
{
    std::string message;
    addField(message, prover == Role::Opener ? "opener" : "acceptor");
    addHello(message, opener);
    addHello(message, acceptor);
    return Core::hmacSha256Hex(key, message);
}

}
