#ifndef PERSIMMONTALLY_LIB_DAEMON_HOSTRESOURCES_H
#define PERSIMMONTALLY_LIB_DAEMON_HOSTRESOURCES_H

#include "persimmontally/Admission/CallerBudget.h"
#include "persimmontally/Support/Settings.h"

namespace persimmontally {

/// What the process may use of its machine.
struct HostResources
{
  size_t m_memoryBytes = 0;
  size_t m_descriptors = 0;

  bool operator==(const HostResources&) const = default;
};

/// Returns what the settings state, or else what the system does.
HostResources FindHostResources(const Settings& aSettings);

/// Returns the part of the resources that callers may use together.
CallerBudgetOptions MakeCallerBudgetOptions(const HostResources& aResources);

/// Returns the part that connections of other hosts may use together.
CallerBudgetOptions MakePeerBudgetOptions(const HostResources& aResources);

/// Returns the bytes of upstreams' responses that may be kept until they are
/// complete: one of the largest size, and more on hosts with more memory.
size_t MaxKeptResponseBytes(const HostResources& aResources,
                            size_t aMaxResponseBytes);

/// Bounds of the ports for readiness probes and metrics.
inline constexpr CallerBudgetOptions kProbeBudgetOptions = { size_t(2) << 20,
                                                             32 };

/// Keeps the allocator from keeping freed bodies: it maps blocks of some size
/// directly, but raises that size with each such block that is freed.
void KeepLargeBlocksMapped();

} // namespace persimmontally

#endif
