#include "StreamRecovery.h"

namespace persimmontally {

StreamRecovery DecideRecovery(const BrokenStream& aStream)
{
  if (aStream.m_hasBackup && aStream.m_isHarmless) {
    return StreamRecovery::Backup;
  }
  if (!aStream.m_isRepeatable || aStream.m_sends >= aStream.m_maxAttempts ||
      aStream.m_timeLeft <= kMinTimeLeft) {
    return StreamRecovery::None;
  }
  // A request under which an upstream lives on has not crashed it.
  bool maySend = aStream.m_isHarmless || aStream.m_hasSurvived;
  return maySend ? StreamRecovery::NewRun : StreamRecovery::None;
}

} // namespace persimmontally
