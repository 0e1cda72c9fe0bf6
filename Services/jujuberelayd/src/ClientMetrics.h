#pragma once

#include "LibHTTP/Server.h"
#include "LibTelemetry/Metrics.h"

// Registers metrics of what the clients of a listener take of the process. The server must outlive the last scrape.
void registerClientMetrics(Telemetry::Metrics&, const char* listener, const HTTP::Server&);
