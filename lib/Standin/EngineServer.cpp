#include "persimmontally/Standin/EngineServer.h"

#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Net/HttpClient.h"
#include "persimmontally/Net/HttpServer.h"
#include "persimmontally/Support/Crypto.h"
#include "persimmontally/Support/Log.h"
#include "persimmontally/Support/Prompt.h"

#include <boost/json.hpp>

#include <charconv>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <deque>
#include <random>
#include <set>

namespace persimmontally {

namespace json = boost::json;

static constexpr Duration kAnnouncePeriod = seconds(1);
/// Exit code of a crash by a poison request or an injected fault: 128 +
/// SIGKILL.
static constexpr int kCrashExitCode = 137;

namespace {

/// State of one generation and its connection.
struct Generation
{
  std::string m_id;
  std::string m_model;
  bool m_isChat = false;
  uint32_t m_totalTokens = 0;
  bool m_hitLimit = false;
  uint32_t m_producedTokens = 0;
  /// Index of the next event to send on the current connection.
  uint32_t m_nextEvent = 0;
  bool m_isFinished = false;
  std::shared_ptr<ResponseWriter> m_writer;
  Timer m_expiryTimer;
};

struct LoadSample
{
  Instant m_at;
  size_t m_running = 0;
  size_t m_waiting = 0;
  uint32_t m_usedBlocks = 0;
};

} // namespace

struct EngineServer::Impl
{
  Impl(EventLoop& aLoop, EngineServerOptions aOptions)
    : m_loop(aLoop)
    , m_options(std::move(aOptions))
    , m_model(m_options.m_engine)
    , m_random(m_options.m_seed)
    , m_server(
        aLoop,
        HttpLimits(),
        [this](HttpRequest aRequest, std::shared_ptr<ResponseWriter> aWriter) {
          Handle(std::move(aRequest), std::move(aWriter));
        })
  {
  }

  using Writer = std::shared_ptr<ResponseWriter>;

  absl::Status Start();
  void Handle(HttpRequest aRequest, Writer aWriter);
  void HandleCompletion(const HttpRequest& aRequest, const Writer& aWriter);
  void HandleGeneration(const HttpRequest& aRequest, const Writer& aWriter);
  void HandleService(const HttpRequest& aRequest, const Writer& aWriter);
  void HandleRuns(const Writer& aWriter);
  void HandleFault(const HttpRequest& aRequest, const Writer& aWriter);
  void Attach(Generation& aGeneration, const Writer& aWriter, uint32_t aFrom);
  void CancelGeneration(const std::string& aId);
  void AdvanceModel();
  void ScheduleStep();
  void SendPendingEvents(Generation& aGeneration);
  std::string EventText(const Generation& aGeneration, uint32_t aIndex) const;
  void Announce();
  void PublishCache();
  void SendToHost(HttpRequest aRequest);
  LoadSample SampleLoad();
  void Leave();

  static void SendJson(const Writer& aWriter, int aStatus, json::object aBody)
  {
    aWriter->SendResponse({ aStatus,
                            { { "Content-Type", "application/json" } },
                            json::serialize(aBody) });
  }

  EventLoop& m_loop;
  EngineServerOptions m_options;
  EngineModel m_model;
  std::mt19937_64 m_random;
  HttpServer m_server;
  std::map<std::string, Generation> m_generations;
  std::map<std::string, uint64_t> m_runs;
  size_t m_servicesRunning = 0;
  std::deque<LoadSample> m_samples;
  uint64_t m_incarnation = 0;
  uint64_t m_sequence = 0;
  size_t m_hostIndex = 0;
  bool m_isLeaving = false;
  bool m_isStalled = false;
  Timer m_stepTimer;
  Timer m_announceTimer;
  Timer m_cacheTimer;
  Timer m_sampleTimer;
  Timer m_leaveTimer;
};

absl::Status EngineServer::Impl::Start()
{
  auto port = m_server.Listen(m_options.m_listen);
  if (!port.ok()) {
    return port.status();
  }
  m_options.m_listen.m_port = *port;
  m_incarnation =
    static_cast<uint64_t>(std::chrono::duration_cast<milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count());
  m_announceTimer = m_loop.RunEvery(kAnnouncePeriod, [this] { Announce(); });
  m_cacheTimer =
    m_loop.RunEvery(m_options.m_cacheEventPeriod, [this] { PublishCache(); });
  constexpr Duration kSamplePeriod = milliseconds(100);
  m_sampleTimer = m_loop.RunEvery(kSamplePeriod, [this] { SampleLoad(); });
  Announce();
  return absl::OkStatus();
}

void EngineServer::Impl::Handle(HttpRequest aRequest, Writer aWriter)
{
  const std::string& target = aRequest.m_target;
  if (target == "/healthz") {
    SendJson(aWriter, 200, { { "status", "alive" } });
    return;
  }
  if (target == "/standin/runs") {
    HandleRuns(aWriter);
    return;
  }
  if (target == "/standin/fault") {
    HandleFault(aRequest, aWriter);
    return;
  }
  std::string key = "Bearer " + m_options.m_upstreamKey;
  if (!EqualInConstantTime(aRequest.Header("Authorization"), key)) {
    SendJson(aWriter, 401, { { "error", "invalid upstream key" } });
    return;
  }
  bool isCompletion =
    target == "/v1/completions" || target == "/v1/chat/completions";
  if (isCompletion && m_options.m_service.empty()) {
    HandleCompletion(aRequest, aWriter);
  } else if (target.starts_with("/v1/generations/")) {
    HandleGeneration(aRequest, aWriter);
  } else if (target.starts_with("/services/" + m_options.m_service)) {
    HandleService(aRequest, aWriter);
  } else {
    SendJson(aWriter, 404, { { "error", "unknown path" } });
  }
}

/// Returns the output length for a prompt, drawn from a log-normal distribution
/// with a median of 120 tokens and a long tail. Equal prompts and seeds give
/// equal lengths.
static uint32_t DrawOutputTokens(uint64_t aSeed, const std::string& aPrompt)
{
  std::mt19937_64 random(aSeed ^ StableHash(aPrompt));
  std::lognormal_distribution<double> draw(std::log(120.0), 1.0);
  return static_cast<uint32_t>(std::clamp(draw(random), 1.0, 65536.0));
}

static std::string PromptOf(const json::object& aBody)
{
  if (const json::value* prompt = aBody.if_contains("prompt")) {
    return prompt->is_string() ? std::string(prompt->as_string()) : "";
  }
  std::string text;
  const json::value* messages = aBody.if_contains("messages");
  if (messages == nullptr || !messages->is_array()) {
    return text;
  }
  for (const json::value& message : messages->as_array()) {
    json::error_code error;
    const json::value* content = message.find_pointer("/content", error);
    if (content != nullptr && content->is_string()) {
      text.append(content->as_string()).append("\n");
    }
  }
  return text;
}

/// Returns the id under which a run is counted: the caller's request id if the
/// entry host forwards it, else `X-Request-Id`.
static std::string RunKey(const HttpRequest& aRequest)
{
  std::string_view id = aRequest.Header("X-Caller-Request-Id");
  return std::string(id.empty() ? aRequest.Header("X-Request-Id") : id);
}

void EngineServer::Impl::HandleCompletion(const HttpRequest& aRequest,
                                          const Writer& aWriter)
{
  json::error_code error;
  json::value document = json::parse(aRequest.m_body, error);
  if (error || !document.is_object()) {
    SendJson(aWriter, 400, { { "error", "body is not a JSON object" } });
    return;
  }
  if (m_isLeaving) {
    SendJson(aWriter, 503, { { "error", "leaving" } });
    return;
  }
  const json::object& body = document.as_object();
  std::string prompt = PromptOf(body);
  Generation generation;
  generation.m_id = std::string(aRequest.Header("X-Generation-Id"));
  if (generation.m_id.empty()) {
    generation.m_id = RandomHexId();
  }
  generation.m_isChat = aRequest.m_target == "/v1/chat/completions";
  if (const json::value* model = body.if_contains("model")) {
    generation.m_model = model->is_string() ? model->as_string().c_str() : "";
  }
  uint32_t maxTokens = 1024;
  if (const json::value* value = body.if_contains("max_tokens")) {
    maxTokens = value->to_number<uint32_t>(error);
  }
  uint32_t length = DrawOutputTokens(m_options.m_seed, prompt);
  // The load generator sets the output length in the body.
  if (const json::value* value = body.if_contains("standin_output_tokens")) {
    length = std::max(1U, value->to_number<uint32_t>(error));
  }
  EngineRequest request;
  request.m_id = generation.m_id;
  request.m_promptTokens = std::max(1U, EstimateTokens(prompt));
  uint64_t kvTokens =
    uint64_t(m_options.m_engine.m_kvBlocks) * m_options.m_engine.m_blockTokens;
  if (request.m_promptTokens + 2 > kvTokens) {
    SendJson(aWriter, 400, { { "error", "prompt exceeds the KV memory" } });
    return;
  }
  auto freeTokens =
    static_cast<uint32_t>(kvTokens - request.m_promptTokens - 1);
  uint32_t limit = std::min(maxTokens, freeTokens);
  generation.m_hitLimit = length > limit;
  request.m_outputTokens = std::min(length, limit);
  request.m_priority = aRequest.Header("X-Priority") == "0" ? 0 : 1;
  request.m_prefix =
    PromptBlockHashes(prompt, m_options.m_engine.m_blockTokens);
  generation.m_totalTokens = request.m_outputTokens;
  ++m_runs[RunKey(aRequest)];
  if (prompt.find(m_options.m_poisonText) != std::string::npos) {
    // The delay lets the crash hit other requests that run at the same time.
    m_leaveTimer =
      m_loop.RunAfter(milliseconds(50), [] { std::_Exit(kCrashExitCode); });
  }
  std::string id = generation.m_id;
  Generation& stored = m_generations[id] = std::move(generation);
  Attach(stored, aWriter, 0);
  m_model.Submit(m_loop.Now(), std::move(request));
  ScheduleStep();
}

/// Makes `aWriter` the connection of a generation and sends its events to it,
/// starting with index `aFrom`.
void EngineServer::Impl::Attach(Generation& aGeneration,
                                const Writer& aWriter,
                                uint32_t aFrom)
{
  aGeneration.m_expiryTimer.Cancel();
  aGeneration.m_writer = aWriter;
  aGeneration.m_nextEvent = aFrom;
  aWriter->StartStream(200, { { "Content-Type", "text/event-stream" } });
  aWriter->OnClosed([this, id = aGeneration.m_id, writer = aWriter.get()] {
    auto at = m_generations.find(id);
    if (at == m_generations.end() || at->second.m_writer.get() != writer) {
      return;
    }
    m_loop.Post([kept = at->second.m_writer] {});
    at->second.m_writer.reset();
    at->second.m_expiryTimer = m_loop.RunAfter(
      m_options.m_resumeWindow, [this, id] { CancelGeneration(id); });
  });
  SendPendingEvents(aGeneration);
}

void EngineServer::Impl::CancelGeneration(const std::string& aId)
{
  auto at = m_generations.find(aId);
  if (at == m_generations.end()) {
    return;
  }
  m_model.Cancel(aId);
  // The caller may be the callback of a timer in the generation, which must
  // outlive this call.
  m_loop.Post([kept = std::make_shared<Generation>(std::move(at->second))] {});
  m_generations.erase(at);
}

/// Handles `GET /v1/generations/ID/stream`, which resumes the generation after
/// the event in `Last-Event-ID`, and `DELETE /v1/generations/ID`, which cancels
/// it.
void EngineServer::Impl::HandleGeneration(const HttpRequest& aRequest,
                                          const Writer& aWriter)
{
  std::string id =
    aRequest.m_target.substr(std::string_view("/v1/generations/").size());
  id = id.substr(0, id.find('/'));
  auto at = m_generations.find(id);
  if (at == m_generations.end()) {
    SendJson(aWriter, 404, { { "error", "unknown generation" } });
    return;
  }
  if (aRequest.m_method == "DELETE") {
    CancelGeneration(id);
    SendJson(aWriter, 200, {});
    return;
  }
  std::string_view last = aRequest.Header("Last-Event-ID");
  int64_t lastId = -1;
  std::from_chars(last.data(), last.data() + last.size(), lastId);
  Attach(at->second, aWriter, static_cast<uint32_t>(lastId + 1));
}

/// Returns the server-sent event of one token. Its text holds the generation id
/// and the token index, which lets the history checker detect mixed and lost
/// tokens. The event after the last token has the finish reason.
std::string EngineServer::Impl::EventText(const Generation& aGeneration,
                                          uint32_t aIndex) const
{
  bool isEnd = aIndex == aGeneration.m_totalTokens;
  std::string text =
    isEnd ? "" : " " + aGeneration.m_id + ":" + std::to_string(aIndex);
  std::string reason = "null";
  if (isEnd) {
    reason = aGeneration.m_hitLimit ? "\"length\"" : "\"stop\"";
  }
  std::string choice =
    aGeneration.m_isChat
      ? R"("delta":{"content":)" + json::serialize(json::string(text)) + "}"
      : "\"text\":" + json::serialize(json::string(text));
  std::string event = "id: " + std::to_string(aIndex);
  event += "\ndata: {\"id\":\"" + aGeneration.m_id + "\",\"object\":\"";
  event += aGeneration.m_isChat ? "chat.completion.chunk" : "text_completion";
  event += "\",\"model\":" + json::serialize(json::string(aGeneration.m_model));
  event += ",\"choices\":[{\"index\":0," + choice;
  event += ",\"finish_reason\":" + reason + "}]}\n\n";
  return event;
}

void EngineServer::Impl::SendPendingEvents(Generation& aGeneration)
{
  if (!aGeneration.m_writer) {
    return;
  }
  // Bounds the memory for a connection whose peer reads slowly.
  constexpr size_t kMaxBufferedBytes = 64 * 1024;
  uint32_t end =
    aGeneration.m_producedTokens + (aGeneration.m_isFinished ? 1 : 0);
  std::string out;
  while (aGeneration.m_nextEvent < end &&
         aGeneration.m_writer->BufferedBytes() + out.size() <
           kMaxBufferedBytes) {
    out += EventText(aGeneration, aGeneration.m_nextEvent++);
  }
  bool isComplete = aGeneration.m_isFinished && aGeneration.m_nextEvent == end;
  if (isComplete) {
    out += "data: [DONE]\n\n";
  }
  if (!out.empty()) {
    aGeneration.m_writer->Write(out);
  }
  if (!isComplete) {
    aGeneration.m_writer->OnDrained([this, id = aGeneration.m_id] {
      auto at = m_generations.find(id);
      if (at != m_generations.end()) {
        SendPendingEvents(at->second);
      }
    });
    return;
  }
  aGeneration.m_writer->Finish();
  // Keeps the generation so that a caller that lost the end of the stream can
  // resume it.
  aGeneration.m_expiryTimer =
    m_loop.RunAfter(m_options.m_resumeWindow,
                    [this, id = aGeneration.m_id] { CancelGeneration(id); });
}

void EngineServer::Impl::ScheduleStep()
{
  Instant at;
  if (m_isStalled || !m_model.NextStepEnd(at)) {
    return;
  }
  Duration wait = std::max<Duration>(Duration(0), at - m_loop.Now());
  m_stepTimer = m_loop.RunAfter(wait, [this] { AdvanceModel(); });
}

void EngineServer::Impl::AdvanceModel()
{
  std::set<std::string> changed;
  for (const EngineEvent& event : m_model.Advance(m_loop.Now())) {
    auto at = m_generations.find(event.m_id);
    if (at == m_generations.end()) {
      continue;
    }
    if (event.m_kind == EngineEventKind::Token) {
      at->second.m_producedTokens =
        std::max(at->second.m_producedTokens, event.m_index + 1);
    } else if (event.m_kind == EngineEventKind::Finished) {
      at->second.m_isFinished = true;
    }
    changed.insert(event.m_id);
  }
  for (const std::string& id : changed) {
    auto at = m_generations.find(id);
    if (at != m_generations.end()) {
      SendPendingEvents(at->second);
    }
  }
  ScheduleStep();
}

void EngineServer::Impl::HandleService(const HttpRequest& aRequest,
                                       const Writer& aWriter)
{
  std::string key(aRequest.Header("Idempotency-Key"));
  if (key.empty()) {
    key = RunKey(aRequest);
  }
  uint64_t run = ++m_runs[key];
  ++m_servicesRunning;
  auto timer = std::make_shared<Timer>();
  *timer =
    m_loop.RunAfter(m_options.m_serviceTime, [this, aWriter, key, run, timer] {
      --m_servicesRunning;
      SendJson(aWriter,
               200,
               { { "service", m_options.m_service },
                 { "key", key },
                 { "run", run },
                 { "upstream", m_options.m_id } });
    });
}

void EngineServer::Impl::HandleRuns(const Writer& aWriter)
{
  json::object runs;
  for (const auto& [key, count] : m_runs) {
    runs[key] = count;
  }
  SendJson(aWriter,
           200,
           { { "runs", runs }, { "preemptions", m_model.Preemptions() } });
}

/// Injects the fault named in the body:
/// `{"kind": "stall" | "unstall" | "leave" | "crash"}`.
void EngineServer::Impl::HandleFault(const HttpRequest& aRequest,
                                     const Writer& aWriter)
{
  json::error_code error;
  json::value body = json::parse(aRequest.m_body, error);
  const json::value* kind = error ? nullptr : body.find_pointer("/kind", error);
  std::string name =
    kind != nullptr && kind->is_string() ? kind->as_string().c_str() : "";
  if (name == "crash") {
    std::_Exit(kCrashExitCode);
  }
  if (name == "stall") {
    m_isStalled = true;
    m_stepTimer.Cancel();
  } else if (name == "unstall") {
    m_isStalled = false;
    ScheduleStep();
  } else if (name == "leave") {
    Leave();
  } else {
    SendJson(aWriter, 400, { { "error", "unknown kind of fault" } });
    return;
  }
  SendJson(aWriter, 200, {});
}

/// Records a sample of the load and returns the sample that is `m_reportLag`
/// old, since real engines report their load with a delay.
LoadSample EngineServer::Impl::SampleLoad()
{
  Instant now = m_loop.Now();
  m_samples.push_back(
    { now, m_model.Running(), m_model.Waiting(), m_model.BlocksUsed() });
  while (m_samples.size() > 1 &&
         m_samples[1].m_at <= now - m_options.m_reportLag) {
    m_samples.pop_front();
  }
  return m_samples.front();
}

void EngineServer::Impl::Announce()
{
  LoadSample load = SampleLoad();
  json::array models;
  for (const std::string& model : m_options.m_models) {
    models.emplace_back(model);
  }
  bool isEngine = m_options.m_service.empty();
  json::object body{
    { "address",
      ToString(m_options.m_advertise.m_port != 0 ? m_options.m_advertise
                                                 : m_options.m_listen) },
    { "data_centre", m_options.m_dataCentre },
    { "region", m_options.m_region },
    { "kind", isEngine ? "engine" : "service" },
    { "models", models },
    { "service", m_options.m_service },
    { "slots", m_options.m_engine.m_slots },
    { "kv_blocks", m_options.m_engine.m_kvBlocks },
    { "block_tokens", m_options.m_engine.m_blockTokens },
    { "checks_fencing", m_options.m_checksFencing },
    { "incarnation", m_incarnation },
    { "sequence", ++m_sequence },
    { "state", m_isLeaving ? "leaving" : "serving" },
    { "load",
      { { "running", isEngine ? load.m_running : m_servicesRunning },
        { "waiting", load.m_waiting },
        { "kv_blocks_used", load.m_usedBlocks } } },
  };
  HttpRequest request;
  request.m_method = "PUT";
  request.m_target = "/upstream/v1/" + m_options.m_id;
  request.m_body = json::serialize(body);
  SendToHost(std::move(request));
}

/// Sends a request to one entry host. If it fails, the next call uses the next
/// host of the list.
void EngineServer::Impl::SendToHost(HttpRequest aRequest)
{
  if (m_options.m_entryHosts.empty()) {
    return;
  }
  const Endpoint& host =
    m_options.m_entryHosts[m_hostIndex % m_options.m_entryHosts.size()];
  aRequest.m_headers.push_back(
    { "Authorization", "Bearer " + m_options.m_upstreamKey });
  StartBufferedHttpCall(
    m_loop,
    host,
    std::move(aRequest),
    { milliseconds(300), milliseconds(700) },
    [this](const absl::Status& aStatus, const HttpResponse& aResponse) {
      if (!aStatus.ok() || aResponse.m_status != 200) {
        ++m_hostIndex;
      }
    });
}

void EngineServer::Impl::PublishCache()
{
  CacheChanges changes = m_model.TakeCacheChanges();
  if (changes.m_added.empty() && changes.m_removed.empty()) {
    return;
  }
  std::uniform_real_distribution<double> draw(0, 1);
  if (draw(m_random) < m_options.m_cacheEventLossProbability) {
    return;
  }
  auto list = [](const std::vector<uint64_t>& aBlocks) {
    json::array array;
    for (uint64_t block : aBlocks) {
      array.emplace_back(block);
    }
    return array;
  };
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = "/upstream/v1/" + m_options.m_id + "/cache-events";
  request.m_body =
    json::serialize(json::object{ { "incarnation", m_incarnation },
                                  { "first_sequence", changes.m_firstSequence },
                                  { "added", list(changes.m_added) },
                                  { "removed", list(changes.m_removed) } });
  SendToHost(std::move(request));
}

void EngineServer::Impl::Leave()
{
  if (!std::exchange(m_isLeaving, true)) {
    Announce();
  }
  bool isIdle =
    m_model.Running() + m_model.Waiting() == 0 && m_servicesRunning == 0;
  for (const auto& [id, generation] : m_generations) {
    isIdle = isIdle && generation.m_isFinished;
  }
  constexpr Duration kIdleCheckPeriod = milliseconds(100);
  if (!isIdle) {
    m_leaveTimer = m_loop.RunAfter(kIdleCheckPeriod, [this] { Leave(); });
    return;
  }
  HttpRequest request;
  request.m_method = "DELETE";
  request.m_target = "/upstream/v1/" + m_options.m_id;
  SendToHost(std::move(request));
  constexpr Duration kFinalWriteTime = milliseconds(500);
  m_leaveTimer = m_loop.RunAfter(kFinalWriteTime, [this] { m_loop.Stop(); });
}

EngineServer::EngineServer(EventLoop& aLoop, EngineServerOptions aOptions)
  : m_impl(std::make_unique<Impl>(aLoop, std::move(aOptions)))
{
}

EngineServer::~EngineServer() = default;

absl::Status EngineServer::Start()
{
  return m_impl->Start();
}

void EngineServer::Leave()
{
  m_impl->Leave();
}

} // namespace persimmontally
