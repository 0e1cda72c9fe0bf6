#include "ClientMetrics.h"

void registerClientMetrics(Telemetry::Metrics& metrics, const char* listener, const HTTP::Server& server)
{
    Telemetry::Labels labels { { "listener", listener } };
    metrics.observe(
        "jujuberelay_client_bytes", "Memory in use for requests and unsent responses, by listener; see memory_mb.", [&server] { return static_cast<double>(server.clientBytes()); }, labels);
    metrics.observe(
        "jujuberelay_client_connections", "Connections of clients, by listener; see descriptor_limit.", [&server] { return static_cast<double>(server.connections()); }, labels);
    metrics.observeCounter(
        "jujuberelay_client_memory_refusals_total", "Requests that were refused before they were read, since the memory for requests was short.", [&server] { return server.memoryRefusals(); }, labels);
    metrics.observeCounter(
        "jujuberelay_client_unread_responses_total", "Responses that were ended since their client did not read them and memory was short.", [&server] { return server.unreadResponses(); }, labels);
    metrics.observeCounter(
        "jujuberelay_client_connections_closed_total", "Connections that were closed or refused since the clients had too many.", [&server] { return server.displacedConnections(); }, labels);
}
