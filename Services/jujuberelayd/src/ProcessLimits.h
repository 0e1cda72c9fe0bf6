#pragma once

#include "LibHTTP/ClientCapacity.h"

// Divides the memory and the file descriptors of the process among the clients of its addresses. What one address does not use is not
// given to another, so that callers can't take what operators, endpoints, other daemons and the store need.
namespace ProcessLimits {

// Memory that the process may use, from the setting `memory_mb` (0: that of the host, up to a maximum).
size_t memoryBytes(double memoryMb);

// File descriptors that the process may use, from the setting `descriptor_limit` (0: unknown) and the limit of the process.
size_t descriptors(double descriptorLimit);

HTTP::ClientCapacity callerCapacity(double memoryMb, double descriptorLimit);

HTTP::ClientCapacity operatorCapacity(double memoryMb, double descriptorLimit);

// For the address of the balancer or of metrics.
HTTP::ClientCapacity statusCapacity(double memoryMb, double descriptorLimit);

// Returns freed blocks of requests to the system, also after larger ones have been freed. Call once at the start of main.
void limitAllocator();

}
