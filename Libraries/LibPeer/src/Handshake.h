#pragma once

#include "Frame.h"

namespace Peer {

enum class Role {
    Opener,
    Acceptor,
};

// The proof of the given end that it holds the key. It covers both nonces, so that it cannot be replayed, and the role,
// so that it cannot be reflected to its sender.
std::string proofOf(const std::string& key, Role prover, const Hello& opener, const Hello& acceptor);

}
