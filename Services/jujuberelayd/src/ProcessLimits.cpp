#include "ProcessLimits.h"

#include <algorithm>
#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

namespace ProcessLimits {

static constexpr double bytesPerMb = 1'000'000;
// Without a setting, a host is taken to have no more than this for the daemon.
static constexpr size_t maxDefaultMemoryBytes = size_t { 320 } * 1'000'000;
// A number beyond it is taken as no limit.
static constexpr double maxNumber = 1e15;
// Parts of the memory. Operators send notes, which are larger than requests for metrics.
static constexpr size_t callerMemorySixteenths = 5;
static constexpr size_t operatorMemoryDivisor = 16;
static constexpr size_t statusMemoryDivisor = 32;
// With less, a single body of the documented size would be refused.
static constexpr size_t minCallerBytes = size_t { 8 } * 1024 * 1024;
// With less, the request of the balancer or of the scraper would be refused.
static constexpr size_t minStatusBytes = size_t { 256 } * 1024;
// Parts of the descriptors. A request needs a second one for its endpoint.
static constexpr size_t callerDescriptorEighths = 5;
static constexpr size_t otherDescriptorDivisor = 32;
static constexpr size_t minConnections = 4;
// Blocks of this size and more are taken from the system one by one.
static constexpr int directAllocationBytes = 128 * 1024;

static size_t hostMemoryBytes()
{
    long pages = ::sysconf(_SC_PHYS_PAGES);
    long pageBytes = ::sysconf(_SC_PAGESIZE);
    return pages > 0 && pageBytes > 0 ? static_cast<size_t>(pages) * static_cast<size_t>(pageBytes) : maxDefaultMemoryBytes;
}

size_t memoryBytes(double memoryMb)
{
    if (memoryMb > 0)
        return static_cast<size_t>(std::min(memoryMb * bytesPerMb, maxNumber));
    return std::min(hostMemoryBytes(), maxDefaultMemoryBytes);
}

size_t descriptors(double descriptorLimit)
{
    double limit = descriptorLimit >= 1 ? std::min(descriptorLimit, maxNumber) : maxNumber;
    rlimit process {};
    if (::getrlimit(RLIMIT_NOFILE, &process) == 0 && process.rlim_cur != RLIM_INFINITY)
        limit = std::min(limit, static_cast<double>(process.rlim_cur));
    return static_cast<size_t>(limit);
}

static HTTP::ClientCapacity otherCapacity(size_t bytes, double descriptorLimit)
{
    HTTP::ClientCapacity capacity;
    capacity.maxBytes = std::max(bytes, minStatusBytes);
    capacity.maxConnections = std::max(minConnections, descriptors(descriptorLimit) / otherDescriptorDivisor);
    return capacity;
}

HTTP::ClientCapacity callerCapacity(double memoryMb, double descriptorLimit)
{
    HTTP::ClientCapacity capacity;
    capacity.maxBytes = std::max(minCallerBytes, memoryBytes(memoryMb) / 16 * callerMemorySixteenths);
    capacity.maxConnections = std::max(minConnections, descriptors(descriptorLimit) / 8 * callerDescriptorEighths);
    return capacity;
}

HTTP::ClientCapacity operatorCapacity(double memoryMb, double descriptorLimit)
{
    return otherCapacity(memoryBytes(memoryMb) / operatorMemoryDivisor, descriptorLimit);
}

HTTP::ClientCapacity statusCapacity(double memoryMb, double descriptorLimit)
{
    return otherCapacity(memoryBytes(memoryMb) / statusMemoryDivisor, descriptorLimit);
}

void limitAllocator()
{
    ::mallopt(M_MMAP_THRESHOLD, directAllocationBytes);
    ::mallopt(M_TRIM_THRESHOLD, directAllocationBytes);
}

}
