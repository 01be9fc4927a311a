#ifndef PERSIMMONTALLY_LIB_STATE_JSONLINES_H
#define PERSIMMONTALLY_LIB_STATE_JSONLINES_H

#include "absl/status/status.h"

#include <map>
#include <string>
#include <string_view>

namespace persimmontally {

/// Maps the JSON pointer (RFC 6901, without escapes) of each value of a JSON
/// text to its line, so that an error in a value can be reported with the line.
class JsonLines
{
public:
  /// Parses the text and records the lines. Fails with `LINE: reason` when the
  /// text is not valid JSON or an object has the same key twice.
  absl::Status Scan(std::string_view aJson);

  /// Returns the line of a value, or of the nearest enclosing value when the
  /// text does not have it; 1 when there is none.
  int LineOf(std::string aPointer) const;

private:
  std::map<std::string, int> m_lines;
};

} // namespace persimmontally

#endif
