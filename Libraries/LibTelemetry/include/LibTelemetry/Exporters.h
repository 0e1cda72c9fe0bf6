#pragma once

#include "LibHTTP/Client.h"
#include "LibTelemetry/Tracer.h"

namespace Telemetry {

// Appends each request as one line to the file, which is opened at once. Nullopt when that fails.
std::optional<Export> exportToFile(const std::string& path, Core::Reason&);

// Posts each request to an OTLP/HTTP collector. The client must outlive the export's use.
Export exportByPost(HTTP::Client&, Core::Address, std::string target = "/v1/traces");

}
