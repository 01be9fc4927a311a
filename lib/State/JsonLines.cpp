#include "JsonLines.h"

#include <boost/json/basic_parser_impl.hpp>

#include <limits>
#include <vector>

namespace persimmontally {

namespace json = boost::json;

namespace {

/// Handler of Boost.JSON's parser that records the line on which each value
/// begins.
class LineHandler
{
public:
  // The parser requires these names.
  // NOLINTBEGIN(readability-identifier-naming)
  static constexpr size_t max_object_size = std::numeric_limits<size_t>::max();
  static constexpr size_t max_array_size = std::numeric_limits<size_t>::max();
  static constexpr size_t max_key_size = std::numeric_limits<size_t>::max();
  static constexpr size_t max_string_size = std::numeric_limits<size_t>::max();
  // NOLINTEND(readability-identifier-naming)
  using error_code = json::error_code;
  using string_view = json::string_view;

  explicit LineHandler(std::map<std::string, int>& aLines)
    : m_lines(aLines)
  {
  }

  void SetLine(int aLine) { m_line = aLine; }
  /// `LINE: reason` of the first duplicate key, or empty.
  const std::string& DuplicateKeyError() const { return m_duplicateKeyError; }

  // The parser requires these names.
  // NOLINTBEGIN(readability-identifier-naming)
  bool on_document_begin(error_code&) { return true; }
  bool on_document_end(error_code&) { return true; }
  bool on_object_begin(error_code&) { return Open(false); }
  bool on_object_end(size_t, error_code&) { return Close(); }
  bool on_array_begin(error_code&) { return Open(true); }
  bool on_array_end(size_t, error_code&) { return Close(); }
  bool on_key_part(string_view aText, size_t, error_code&)
  {
    m_key.append(aText.data(), aText.size());
    return true;
  }
  bool on_key(string_view aText, size_t, error_code&)
  {
    m_key.append(aText.data(), aText.size());
    m_containers.back().m_memberKey = std::exchange(m_key, {});
    return true;
  }
  bool on_string_part(string_view, size_t, error_code&) { return true; }
  bool on_string(string_view, size_t, error_code&) { return RecordScalar(); }
  bool on_number_part(string_view, error_code&) { return true; }
  bool on_int64(int64_t, string_view, error_code&) { return RecordScalar(); }
  bool on_uint64(uint64_t, string_view, error_code&) { return RecordScalar(); }
  bool on_double(double, string_view, error_code&) { return RecordScalar(); }
  bool on_bool(bool, error_code&) { return RecordScalar(); }
  bool on_null(error_code&) { return RecordScalar(); }
  bool on_comment_part(string_view, error_code&) { return true; }
  bool on_comment(string_view, error_code&) { return true; }
  // NOLINTEND(readability-identifier-naming)

private:
  /// An array or object that is being parsed.
  struct Container
  {
    bool m_isArray = false;
    size_t m_nextIndex = 0;
    std::string m_memberKey;
    std::string m_pointer;
  };

  /// Returns the pointer of the value that begins now.
  std::string NextPointer()
  {
    if (m_containers.empty()) {
      return "";
    }
    Container& container = m_containers.back();
    if (container.m_isArray) {
      return container.m_pointer + "/" +
             std::to_string(container.m_nextIndex++);
    }
    return container.m_pointer + "/" + container.m_memberKey;
  }

  bool RecordScalar()
  {
    RecordLine(NextPointer());
    return true;
  }

  bool Open(bool aIsArray)
  {
    std::string pointer = NextPointer();
    RecordLine(pointer);
    m_containers.push_back({ aIsArray, 0, "", pointer });
    return true;
  }

  bool Close()
  {
    m_containers.pop_back();
    return true;
  }

  void RecordLine(const std::string& aPointer)
  {
    if (!m_lines.emplace(aPointer, m_line).second &&
        m_duplicateKeyError.empty()) {
      m_duplicateKeyError =
        std::to_string(m_line) + ": the key " + aPointer + " stands twice";
    }
  }

  std::map<std::string, int>& m_lines;
  int m_line = 1;
  /// Parts of the key that is being parsed.
  std::string m_key;
  std::vector<Container> m_containers;
  std::string m_duplicateKeyError;
};

} // namespace

absl::Status JsonLines::Scan(std::string_view aJson)
{
  json::basic_parser<LineHandler> parser(json::parse_options(), m_lines);
  int line = 1;
  json::error_code error;
  while (!aJson.empty()) {
    size_t end = aJson.find('\n');
    size_t size = end == std::string_view::npos ? aJson.size() : end + 1;
    parser.handler().SetLine(line);
    size_t consumed = parser.write_some(true, aJson.data(), size, error);
    bool hasTrailingText =
      !error && consumed < size &&
      aJson.substr(consumed, size - consumed).find_first_not_of(" \t\r\n") !=
        std::string_view::npos;
    if (error || hasTrailingText) {
      std::string reason = error ? error.message() : "text after the document";
      return absl::InvalidArgumentError(std::to_string(line) + ": " + reason);
    }
    aJson.remove_prefix(size);
    ++line;
  }
  parser.write_some(false, nullptr, 0, error);
  if (error) {
    return absl::InvalidArgumentError(std::to_string(line - 1) + ": " +
                                      error.message());
  }
  if (!parser.handler().DuplicateKeyError().empty()) {
    return absl::InvalidArgumentError(parser.handler().DuplicateKeyError());
  }
  return absl::OkStatus();
}

int JsonLines::LineOf(std::string aPointer) const
{
  for (;;) {
    auto at = m_lines.find(aPointer);
    if (at != m_lines.end()) {
      return at->second;
    }
    auto slash = aPointer.rfind('/');
    if (slash == std::string::npos) {
      return 1;
    }
    aPointer.erase(slash);
  }
}

} // namespace persimmontally
