#include "HostResources.h"

#include <algorithm>
#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

namespace persimmontally {

static constexpr size_t kMegabyte = size_t(1) << 20;
/// Assumed where the system does not state it.
static constexpr size_t kAssumedMemoryBytes = 256 * kMegabyte;
static constexpr size_t kAssumedDescriptors = 1024;
/// Part of the memory that callers may use; the rest is for the program, what
/// it knows of the other hosts, and responses that are kept.
static constexpr double kCallerMemoryShare = 0.3;
static constexpr size_t kMaxCallerBytes = size_t(4096) * kMegabyte;
/// Part of the memory for responses that are kept until they are complete.
static constexpr double kKeptMemoryShare = 0.25;
static constexpr size_t kMaxKeptBytes = 32 * kMegabyte;
/// Descriptors for files, peers and listeners, at most a quarter of all. Half
/// of the others are for callers, because each of their requests may need a
/// connection to an upstream.
static constexpr size_t kReservedDescriptors = 200;
/// Part of the memory for frames that other hosts are sending, and of the
/// descriptors for their connections.
static constexpr double kPeerMemoryShare = 0.2;
static constexpr size_t kPeerDescriptorPart = 4;
/// Blocks from this size are mapped one by one.
static constexpr int kMappedBlockBytes = 256 << 10;

static size_t SystemLimit(int aResource, size_t aDefault)
{
  rlimit limit{};
  bool isStated =
    ::getrlimit(static_cast<__rlimit_resource_t>(aResource), &limit) == 0 &&
    limit.rlim_cur != RLIM_INFINITY;
  return isStated ? limit.rlim_cur : aDefault;
}

static size_t SystemMemory()
{
  long pages = ::sysconf(_SC_PHYS_PAGES);
  long pageBytes = ::sysconf(_SC_PAGESIZE);
  size_t machine = pages > 0 && pageBytes > 0
                     ? static_cast<size_t>(pages) * pageBytes
                     : kAssumedMemoryBytes;
  return std::min(machine, SystemLimit(RLIMIT_AS, machine));
}

HostResources FindHostResources(const Settings& aSettings)
{
  HostResources resources;
  resources.m_memoryBytes = aSettings.m_memoryMb > 0
                              ? aSettings.m_memoryMb * kMegabyte
                              : SystemMemory();
  resources.m_descriptors = SystemLimit(RLIMIT_NOFILE, kAssumedDescriptors);
  if (aSettings.m_maxDescriptors > 0) {
    resources.m_descriptors = std::min(
      resources.m_descriptors, static_cast<size_t>(aSettings.m_maxDescriptors));
  }
  return resources;
}

CallerBudgetOptions MakeCallerBudgetOptions(const HostResources& aResources)
{
  CallerBudgetOptions options;
  auto bytes = static_cast<size_t>(
    static_cast<double>(aResources.m_memoryBytes) * kCallerMemoryShare);
  options.m_maxBytes = std::min(bytes, kMaxCallerBytes);
  size_t reserved =
    std::min(kReservedDescriptors, aResources.m_descriptors / 4);
  options.m_maxConnections =
    std::max<size_t>(1, (aResources.m_descriptors - reserved) / 2);
  return options;
}

CallerBudgetOptions MakePeerBudgetOptions(const HostResources& aResources)
{
  CallerBudgetOptions options;
  options.m_maxBytes = static_cast<size_t>(
    static_cast<double>(aResources.m_memoryBytes) * kPeerMemoryShare);
  options.m_maxConnections =
    std::max<size_t>(1, aResources.m_descriptors / kPeerDescriptorPart);
  return options;
}

size_t MaxKeptResponseBytes(const HostResources& aResources,
                            size_t aMaxResponseBytes)
{
  auto bytes = static_cast<size_t>(
    static_cast<double>(aResources.m_memoryBytes) * kKeptMemoryShare);
  return std::clamp(bytes, aMaxResponseBytes, kMaxKeptBytes);
}

void KeepLargeBlocksMapped()
{
  ::mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
}

} // namespace persimmontally
