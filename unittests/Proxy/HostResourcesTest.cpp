/// Tests of the part of a host's resources that callers may use.

#include "../../lib/Daemon/HostResources.h"

#include <doctest/doctest.h>

using namespace persimmontally;

TEST_CASE("callers and peers get a part of the host's memory and descriptors")
{
  constexpr size_t kMegabyte = size_t(1) << 20;
  constexpr size_t kMaxResponseBytes = 16 * kMegabyte;
  constexpr size_t kProgramBytes = 13 * kMegabyte;
  struct Row
  {
    size_t m_memoryMb;
    size_t m_descriptors;
    size_t m_callerConnections;
  };
  for (const Row& row : { Row{ 88, 4100, 1950 },
                          Row{ 110, 4100, 1950 },
                          Row{ 256, 1024, 412 },
                          Row{ 65536, 20000, 9900 },
                          Row{ 88, 200, 75 } }) {
    CAPTURE(row.m_memoryMb);
    HostResources resources{ row.m_memoryMb * kMegabyte, row.m_descriptors };
    CallerBudgetOptions callers = MakeCallerBudgetOptions(resources);
    CallerBudgetOptions peers = MakePeerBudgetOptions(resources);
    CHECK(callers.m_maxConnections == row.m_callerConnections);
    CHECK(callers.m_maxConnections + peers.m_maxConnections <
          row.m_descriptors * 3 / 4 + 1);
    size_t kept = MaxKeptResponseBytes(resources, kMaxResponseBytes);
    CHECK(kept >= kMaxResponseBytes);
    CHECK(kProgramBytes + kept + callers.m_maxBytes + peers.m_maxBytes <
          resources.m_memoryBytes);
  }
}

TEST_CASE("the settings state the host's resources, else the system does")
{
  Settings settings;
  HostResources system = FindHostResources(settings);
  CHECK(system.m_memoryBytes > 0);
  CHECK(system.m_descriptors > 0);
  settings.m_memoryMb = 88;
  settings.m_maxDescriptors = 20;
  CHECK(FindHostResources(settings) == HostResources{ size_t(88) << 20, 20 });
  settings.m_maxDescriptors = 16777216;
  CHECK(FindHostResources(settings).m_descriptors == system.m_descriptors);
}
