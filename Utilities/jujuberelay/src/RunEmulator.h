#pragma once

#include "LibCore/Address.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <gflags/gflags_declare.h>
#include <optional>

// The listen address of an emulator; the kernel assigns a port if it is 0.
DECLARE_string(listen);

namespace Commands {

// Calls `listen` with the address from --listen, prints the one line `listening on IP:PORT` to standard output, runs
// until SIGTERM or SIGINT, and then calls `close`. Returns the exit code.
int runEmulator(
    boost::asio::io_context&,
    const std::function<std::optional<Core::Address>(const Core::Address&, Core::Reason&)>& listen,
    const std::function<void()>& close);

}
