#include "ResponseCheck.h"

#include "persimmontally/Net/HttpMessage.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <string>

namespace persimmontally {

static constexpr std::string_view kLineEnd = "\r\n";
static constexpr int kFirstInterimStatus = 100;
static constexpr int kSwitchingProtocols = 101;
static constexpr int kFirstFinalStatus = 200;
static constexpr int kLastStatus = 599;

static bool IsDigit(char aCharacter)
{
  return aCharacter >= '0' && aCharacter <= '9';
}

static bool IsNameCharacter(char aCharacter)
{
  constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  bool isLetter = (aCharacter >= 'a' && aCharacter <= 'z') ||
                  (aCharacter >= 'A' && aCharacter <= 'Z');
  return isLetter || IsDigit(aCharacter) ||
         kOthers.find(aCharacter) != std::string_view::npos;
}

/// Whether a byte may stand in a value or in the reason of a status line.
static bool IsTextCharacter(char aCharacter)
{
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  auto byte = static_cast<unsigned char>(aCharacter);
  return aCharacter == '\t' || (byte >= kFirstPrintable && byte != kDelete);
}

static bool IsText(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), IsTextCharacter);
}

static std::string_view Trim(std::string_view aText)
{
  size_t start = aText.find_first_not_of(" \t");
  if (start == std::string_view::npos) {
    return {};
  }
  return aText.substr(start, aText.find_last_not_of(" \t") + 1 - start);
}

/// Removes the first line from the head and returns it without its end.
static std::string_view TakeLine(std::string_view& aHead)
{
  size_t end = std::min(aHead.find(kLineEnd), aHead.size());
  std::string_view line = aHead.substr(0, end);
  aHead.remove_prefix(std::min(end + kLineEnd.size(), aHead.size()));
  return line;
}

static absl::Status CheckStatusLine(std::string_view aLine)
{
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr size_t kStatusAt = 9;
  constexpr size_t kReasonAt = 12;
  bool isVersion =
    aLine.size() >= kReasonAt && aLine.starts_with(kVersion) &&
    (aLine[kVersion.size()] == '0' || aLine[kVersion.size()] == '1') &&
    aLine[kStatusAt - 1] == ' ';
  if (!isVersion) {
    return absl::InvalidArgumentError("invalid status line");
  }
  std::string_view digits = aLine.substr(kStatusAt, kReasonAt - kStatusAt);
  std::string_view reason = aLine.substr(kReasonAt);
  if (!std::all_of(digits.begin(), digits.end(), IsDigit) || !IsText(reason) ||
      (!reason.empty() && reason.front() != ' ')) {
    return absl::InvalidArgumentError("invalid status line");
  }
  int status = std::stoi(std::string(digits));
  bool isFinal = status >= kFirstFinalStatus && status <= kLastStatus;
  return isFinal || IsInterimStatus(status)
           ? absl::OkStatus()
           : absl::InvalidArgumentError("invalid status " +
                                        std::string(digits));
}

static absl::Status ParseField(std::string_view aLine, HttpHeaders& aHeaders)
{
  size_t colon = aLine.find(':');
  std::string_view name = aLine.substr(0, std::min(colon, aLine.size()));
  if (colon == std::string_view::npos || name.empty() ||
      !std::all_of(name.begin(), name.end(), IsNameCharacter)) {
    return absl::InvalidArgumentError("invalid field name");
  }
  std::string_view value = Trim(aLine.substr(colon + 1));
  if (!IsText(value)) {
    return absl::InvalidArgumentError("invalid value of " + std::string(name));
  }
  aHeaders.push_back({ std::string(name), std::string(value) });
  return absl::OkStatus();
}

static size_t CountFields(const HttpHeaders& aHeaders, std::string_view aName)
{
  return static_cast<size_t>(std::count_if(
    aHeaders.begin(), aHeaders.end(), [&](const HttpHeader& aHeader) {
      return boost::algorithm::iequals(aHeader.m_name, aName);
    }));
}

/// Checks the fields that delimit the body.
static absl::Status CheckFraming(bool aIsHttp11, const HttpHeaders& aHeaders)
{
  size_t codings = CountFields(aHeaders, "Transfer-Encoding");
  size_t lengths = CountFields(aHeaders, "Content-Length");
  if (codings + lengths > 1) {
    return absl::InvalidArgumentError("the body is delimited more than once");
  }
  std::string_view coding = FindHeader(aHeaders, "Transfer-Encoding");
  bool isChunked = boost::algorithm::iequals(coding, "chunked");
  if (codings == 1 && !(isChunked && aIsHttp11)) {
    return absl::InvalidArgumentError("unsupported transfer coding");
  }
  std::string_view length = FindHeader(aHeaders, "Content-Length");
  bool isLength =
    !length.empty() && std::all_of(length.begin(), length.end(), IsDigit);
  if (lengths == 1 && !isLength) {
    return absl::InvalidArgumentError("invalid length of the body");
  }
  return absl::OkStatus();
}

bool IsInterimStatus(int aStatus)
{
  return aStatus >= kFirstInterimStatus && aStatus < kFirstFinalStatus &&
         aStatus != kSwitchingProtocols;
}

absl::Status CheckResponseHead(std::string_view aHead)
{
  constexpr std::string_view kHttp11 = "HTTP/1.1";
  bool isHttp11 = aHead.starts_with(kHttp11);
  absl::Status status = CheckStatusLine(TakeLine(aHead));
  HttpHeaders headers;
  while (status.ok() && !aHead.empty()) {
    std::string_view line = TakeLine(aHead);
    if (line.empty()) {
      break;
    }
    status = ParseField(line, headers);
  }
  return status.ok() ? CheckFraming(isHttp11, headers) : status;
}

} // namespace persimmontally
