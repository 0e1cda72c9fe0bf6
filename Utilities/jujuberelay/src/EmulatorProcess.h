#pragma once

#include "LibCore/Address.h"
#include "LibCore/Reason.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

namespace Commands {

// Listens on the address text, prints "listening on IP:PORT" and runs the context until SIGTERM or SIGINT. Returns the
// exit code.
int runEmulator(boost::asio::io_context&, const std::string& addressText,
    const std::function<std::optional<Core::Address>(const Core::Address&, Core::Reason&)>& listen);

}
