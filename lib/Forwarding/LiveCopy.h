#ifndef PERSIMMONTALLY_LIB_FORWARDING_LIVECOPY_H
#define PERSIMMONTALLY_LIB_FORWARDING_LIVECOPY_H

#include "MigrationPlan.h"
#include "persimmontally/Forwarding/ForwardGateway.h"

#include <functional>
#include <memory>
#include <string>

namespace persimmontally {

/// Copies the KV memory of one generation to another engine by live migration:
/// in rounds while the generation runs, until the link is idle, and then, with
/// the generation stopped, the part added since the last round. The caller's
/// stream pauses only for that last, short copy.
class LiveCopy : public std::enable_shared_from_this<LiveCopy>
{
public:
  struct Outcome
  {
    bool m_isCopied = false;
    /// Whether the source has stopped the generation, which must then resume
    /// from `m_handle`.
    bool m_isStopped = false;
    /// Whether the source has answered the last call.
    bool m_isAnswered = false;
    /// Whether the source has answered that no such generation runs there.
    bool m_hasNoRun = false;
    std::string m_handle;
    /// When the source was asked to stop the generation, if it was.
    Instant m_lastPartAt{};
  };
  using Callback = std::function<void(const Outcome&)>;
  /// Returns whether the copy may go on; called before each round.
  using Permission = std::function<bool()>;

  LiveCopy(ForwardGateway& aGateway,
           std::string aRequestId,
           Endpoint aSource,
           Endpoint aTarget,
           Permission aMayGoOn,
           Callback aCallback);

  void Start();
  /// Stops the generation at once, and copies it as a whole.
  void StartWithLastPart();
  /// Cancels the copy without a callback and frees a copy that was made.
  void Cancel();
  /// Whether the source has been asked to stop the generation.
  bool IsLast() const { return m_isLast; }

private:
  void Call();
  void OnResponse(const absl::Status& aStatus, const HttpResponse& aResponse);
  void FreeCopy();

  ForwardGateway& m_gateway;
  std::string m_requestId;
  Endpoint m_source;
  Endpoint m_target;
  Permission m_mayGoOn;
  Callback m_callback;
  std::shared_ptr<HttpCall> m_call;
  std::string m_handle;
  CopyRounds m_rounds;
  bool m_isLast = false;
  Instant m_lastPartAt{};
  bool m_isEnded = false;
};

} // namespace persimmontally

#endif
