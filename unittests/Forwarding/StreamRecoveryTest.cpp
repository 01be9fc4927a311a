/// Tests of the decision how a stream goes on that was broken off.

#include "../../lib/Forwarding/StreamRecovery.h"

#include <doctest/doctest.h>

namespace persimmontally {

TEST_CASE("a broken stream goes on at its backup, in a new run, or not at all")
{
  using enum StreamRecovery;
  const Duration time = seconds(5);
  struct Row
  {
    const char* m_name;
    BrokenStream m_stream;
    StreamRecovery m_recovery;
  };
  for (const Row& row : {
         Row{ "backup", { true, false, 1, 1, time, true, true }, Backup },
         Row{ "backup, late", { true, true, 2, 2, {}, true, true }, Backup },
         Row{
           "backup, harmful", { true, false, 1, 1, time, false, true }, None },
         Row{ "neither", { false, false, 1, 2, time, true, true }, None },
         Row{ "new run", { false, true, 1, 2, time, true, true }, NewRun },
         Row{ "new run, died", { false, true, 1, 2, time, true }, NewRun },
         Row{
           "no attempt left", { false, true, 2, 2, time, true, true }, None },
         Row{ "late", { false, true, 1, 2, kMinTimeLeft, true, true }, None },
         Row{ "lives on", { false, true, 1, 2, time, false, true }, NewRun },
         Row{
           "harmful, backup", { true, true, 1, 2, time, false, true }, NewRun },
         Row{ "harmful, died", { false, true, 1, 2, time }, None },
       }) {
    CAPTURE(row.m_name);
    CHECK(DecideRecovery(row.m_stream) == row.m_recovery);
  }
}

} // namespace persimmontally
