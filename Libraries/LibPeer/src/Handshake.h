#pragma once

#include "Frame.h"

namespace Peer {

enum class Role {
    Opener,
    Acceptor,
};

// Computes the HMAC by which the given end proves that it has the key. The input includes both nonces, which prevents
// replay, and the role of the prover, which prevents reflection.
std::string computeProof(const std::string& key, Role prover, const Hello& opener, const Hello& acceptor);

}
