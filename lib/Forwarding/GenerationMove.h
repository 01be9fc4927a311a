#ifndef PERSIMMONTALLY_LIB_FORWARDING_GENERATIONMOVE_H
#define PERSIMMONTALLY_LIB_FORWARDING_GENERATIONMOVE_H

#include "MovePlan.h"
#include "persimmontally/Forwarding/ForwardGateway.h"

#include <functional>
#include <memory>
#include <string>

namespace persimmontally {

/// Copies the memory of one running generation to another engine: first while
/// it runs, in rounds until the link is quiet, then, with the engine stopped,
/// what it has made since. So the pause that the caller sees is that of the
/// last, short copy.
class GenerationMove : public std::enable_shared_from_this<GenerationMove>
{
public:
  struct Outcome
  {
    bool m_isCopied = false;
    /// Whether the source stopped the generation, so that it must go on
    /// elsewhere.
    bool m_isStopped = false;
    std::string m_handle;
  };
  using Callback = std::function<void(const Outcome&)>;

  GenerationMove(ForwardGateway& aGateway,
                 std::string aRequestId,
                 Endpoint aSource,
                 Endpoint aTarget,
                 Callback aCallback);

  void Start();
  /// Ends the move without a callback; a copy that was made is freed.
  void Cancel();

private:
  void Call();
  void OnAnswer(const absl::Status& aStatus, const HttpResponse& aResponse);
  void DropCopy();

  ForwardGateway& m_gateway;
  std::string m_requestId;
  Endpoint m_source;
  Endpoint m_target;
  Callback m_callback;
  std::shared_ptr<HttpCall> m_call;
  std::string m_handle;
  CopyRounds m_rounds;
  bool m_isLast = false;
  bool m_isEnded = false;
};

} // namespace persimmontally

#endif
