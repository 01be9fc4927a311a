#include "Player.h"

#include <boost/json.hpp>

#include <sstream>

namespace persimmontally {

namespace json = boost::json;

static constexpr size_t kBytesPerToken = 4;

Player::Player(EventLoop& aLoop, PlayerOptions aOptions, Trace aTrace)
  : m_loop(aLoop)
  , m_options(std::move(aOptions))
  , m_trace(std::move(aTrace))
  , m_records(m_trace.size())
  , m_calls(m_trace.size())
{
  json::error_code error;
  json::value keys = json::parse(m_options.m_keysJson, error);
  if (!error && keys.is_object()) {
    for (const auto& item : keys.as_object()) {
      m_keys[std::string(item.key())] = std::string(item.value().as_string());
    }
  }
}

Player::~Player() = default;

void Player::Start(std::function<void()> aOnEnd)
{
  m_onEnd = std::move(aOnEnd);
  m_startedAt = m_loop.Now();
  SendDueRequests();
}

void Player::SendDueRequests()
{
  Instant now = m_loop.Now();
  while (m_nextItem < m_trace.size() &&
         m_startedAt + m_trace[m_nextItem].m_at <= now) {
    Send(m_nextItem++);
  }
  if (m_nextItem < m_trace.size()) {
    m_timer = m_loop.RunAfter(m_startedAt + m_trace[m_nextItem].m_at - now,
                              [this] { SendDueRequests(); });
    return;
  }
  m_drainTimer =
    m_loop.RunAfter(m_options.m_drainTimeout, [this] { FetchRunCounts(); });
  if (m_openRequests == 0) {
    FetchRunCounts();
  }
}

/// Returns a prompt of `m_promptTokens` tokens at `kBytesPerToken` bytes each:
/// the prefix shared by the account, then text that is unique to the request.
static std::string MakePrompt(const TraceItem& aItem)
{
  std::string text;
  std::string shared = "[" + aItem.m_account.Value() + "] ";
  while (text.size() < aItem.m_sharedTokens * kBytesPerToken) {
    text += shared;
  }
  text.resize(aItem.m_sharedTokens * kBytesPerToken);
  std::string unique = "<" + aItem.m_id + "> ";
  while (text.size() < aItem.m_promptTokens * kBytesPerToken) {
    text += unique;
  }
  return text;
}

HttpRequest Player::MakeRequest(const TraceItem& aItem) const
{
  HttpRequest request;
  request.m_method = "POST";
  auto key = m_keys.find(aItem.m_account.Value());
  std::string bearer = !m_options.m_directKey.empty() ? m_options.m_directKey
                       : key == m_keys.end()          ? "none"
                                                      : key->second;
  request.m_headers = { { "Authorization", "Bearer " + bearer },
                        { "Content-Type", "application/json" },
                        { "X-Request-Id", aItem.m_id },
                        { "X-Rank", std::string(ToString(aItem.m_rank)) } };
  if (!aItem.m_service.empty()) {
    request.m_target = "/services/" + aItem.m_service + "/new";
    request.m_body = "{\"id\":\"" + aItem.m_idempotencyKey + "\"}";
    if (!aItem.m_idempotencyKey.empty()) {
      request.m_headers.push_back(
        { "Idempotency-Key", aItem.m_idempotencyKey });
      request.m_headers.push_back({ "X-Repeatable", "false" });
    }
    return request;
  }
  request.m_target = "/v1/completions";
  json::object body{ { "model", aItem.m_model },
                     { "prompt", MakePrompt(aItem) },
                     { "stream", aItem.m_isStream },
                     { "max_tokens", 32768 },
                     { "standin_output_tokens", aItem.m_outputTokens } };
  request.m_body = json::serialize(body);
  return request;
}

void Player::Send(size_t aIndex)
{
  CallerRecord& record = m_records[aIndex];
  record.m_item = m_trace[aIndex];
  const Endpoint& host = m_options.m_hosts[aIndex % m_options.m_hosts.size()];
  record.m_host = ToString(host);
  record.m_sentAt = m_loop.Now();
  ++m_openRequests;
  HttpCallEvents events;
  events.m_onHead = [this, aIndex](int aStatus, const HttpHeaders&) {
    m_records[aIndex].m_status = aStatus;
  };
  events.m_onData = [this, aIndex](std::string_view aData) {
    CallerRecord& record = m_records[aIndex];
    bool isStream = record.m_item.m_isStream &&
                    record.m_item.m_service.empty() && record.m_status == 200;
    if (!isStream) {
      record.m_body.append(aData);
      return;
    }
    m_calls[aIndex].m_parser.Feed(
      aData, [&](const SseEvent& aEvent) { OnEvent(aIndex, aEvent); });
  };
  events.m_onEnd = [this, aIndex](const absl::Status& aStatus) {
    OnEnd(aIndex, aStatus);
  };
  m_calls[aIndex].m_call = StartHttpCall(m_loop,
                                         host,
                                         MakeRequest(record.m_item),
                                         { seconds(2), seconds(100) },
                                         std::move(events));
}

static void ReadError(CallerRecord& aRecord, std::string_view aBody)
{
  json::error_code error;
  json::value body = json::parse(aBody, error);
  const json::value* kind =
    error ? nullptr : body.find_pointer("/error/kind", error);
  const json::value* ran =
    kind == nullptr ? nullptr : body.find_pointer("/error/ran", error);
  aRecord.m_errorKind = kind != nullptr && kind->is_string()
                          ? kind->as_string().c_str()
                          : "unreadable";
  aRecord.m_ran =
    ran != nullptr && ran->is_string() ? ran->as_string().c_str() : "";
}

static void AddTokens(CallerRecord& aRecord, std::string_view aText)
{
  std::istringstream words{ std::string(aText) };
  std::string word;
  while (words >> word) {
    aRecord.m_tokens.push_back(word);
  }
}

void Player::OnEvent(size_t aIndex, const SseEvent& aEvent)
{
  CallerRecord& record = m_records[aIndex];
  if (aEvent.m_data == "[DONE]") {
    record.m_sawDone = true;
    return;
  }
  if (aEvent.m_event == "error") {
    ReadError(record, aEvent.m_data);
    return;
  }
  // Token texts of the stand-in engine contain no characters that JSON escapes.
  constexpr std::string_view kText = "\"text\":\"";
  size_t start = aEvent.m_data.find(kText);
  if (start == std::string_view::npos) {
    return;
  }
  start += kText.size();
  std::string_view text =
    aEvent.m_data.substr(start, aEvent.m_data.find('"', start) - start);
  if (!text.empty()) {
    AddTokens(record, text);
    record.m_tokenTimes.push_back(m_loop.Now());
  }
}

void Player::ReadResponse(CallerRecord& aRecord)
{
  if (aRecord.m_status != 200) {
    ReadError(aRecord, aRecord.m_body);
    return;
  }
  if (aRecord.m_item.m_isStream || !aRecord.m_item.m_service.empty()) {
    return;
  }
  json::error_code error;
  json::value body = json::parse(aRecord.m_body, error);
  const json::value* text =
    error ? nullptr : body.find_pointer("/choices/0/text", error);
  if (text != nullptr && text->is_string()) {
    AddTokens(aRecord, text->as_string());
  }
}

void Player::OnEnd(size_t aIndex, const absl::Status& aStatus)
{
  CallerRecord& record = m_records[aIndex];
  record.m_endedAt = m_loop.Now();
  record.m_hasEnded = aStatus.ok();
  if (aStatus.ok()) {
    ReadResponse(record);
  } else if (record.m_status == 0 &&
             aStatus.code() == absl::StatusCode::kUnavailable) {
    record.m_errorKind = "connect_failed";
    record.m_hasEnded = true;
  }
  m_calls[aIndex].m_call.reset();
  --m_openRequests;
  if (m_openRequests == 0 && m_nextItem == m_trace.size()) {
    FetchRunCounts();
  }
}

void Player::FetchRunCounts()
{
  m_drainTimer.Cancel();
  m_pendingRunCounts = m_options.m_upstreams.size() + 1;
  auto finishOne = [this] {
    if (--m_pendingRunCounts == 0) {
      m_onEnd();
    }
  };
  for (const Endpoint& upstream : m_options.m_upstreams) {
    HttpRequest request;
    request.m_method = "GET";
    request.m_target = "/standin/runs";
    StartBufferedHttpCall(
      m_loop,
      upstream,
      std::move(request),
      { seconds(1), seconds(2) },
      [this, finishOne](const absl::Status&, const HttpResponse& aResponse) {
        json::error_code error;
        json::value body = json::parse(aResponse.m_body, error);
        if (!error) {
          for (const auto& item : body.at("runs").as_object()) {
            m_runs[std::string(item.key())] +=
              item.value().to_number<uint64_t>();
          }
          m_preemptions += body.at("preemptions").to_number<uint64_t>();
        }
        finishOne();
      });
  }
  finishOne();
}

std::string Player::HistoryJson() const
{
  std::string out;
  for (const CallerRecord& record : m_records) {
    json::object line{ { "request", record.m_item.m_id },
                       { "account", record.m_item.m_account.Value() },
                       { "rank", ToString(record.m_item.m_rank) },
                       { "host", record.m_host },
                       { "status", record.m_status },
                       { "tokens", record.m_tokens.size() },
                       { "done", record.m_sawDone },
                       { "error", record.m_errorKind },
                       { "ran", record.m_ran },
                       { "sent_us", (record.m_sentAt - m_startedAt).count() },
                       { "ended_us",
                         (record.m_endedAt - m_startedAt).count() } };
    json::array times;
    for (Instant at : record.m_tokenTimes) {
      times.push_back((at - m_startedAt).count());
    }
    line["token_us"] = std::move(times);
    out += json::serialize(line) + "\n";
  }
  return out;
}

} // namespace persimmontally
