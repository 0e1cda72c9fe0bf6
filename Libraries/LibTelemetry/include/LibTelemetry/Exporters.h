#pragma once

#include "LibHTTP/Client.h"
#include "LibTelemetry/Tracer.h"

namespace Telemetry {

// Appends each export request to the file as one line of JSON. Opens the file immediately and returns nullopt on failure.
std::optional<SpanExporter> exportToFile(const std::string& path, Core::Reason&);

// Posts each export request to an OTLP/HTTP collector. The client must outlive the exporter.
SpanExporter exportOverHttp(HTTP::Client&, Core::Address, std::string target = "/v1/traces");

}
