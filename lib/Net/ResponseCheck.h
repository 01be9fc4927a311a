#ifndef PERSIMMONTALLY_LIB_NET_RESPONSECHECK_H
#define PERSIMMONTALLY_LIB_NET_RESPONSECHECK_H

#include "absl/status/status.h"

#include <string_view>

namespace persimmontally {

/// Returns whether a status announces a further response to the same request
/// (RFC 9110, section 15.2). Not so 101, since no call asks for an upgrade.
bool IsInterimStatus(int aStatus);

/// Returns OK if the head of a response, up to and including its blank line, is
/// valid as a whole: the status line, the names and values of the fields, and
/// one way at most to find the end of the body (RFC 9112, sections 4 to 6).
/// Otherwise `InvalidArgument` with the first violation. Folded values and
/// lengths that are stated twice are refused too.
absl::Status CheckResponseHead(std::string_view aHead);

} // namespace persimmontally

#endif
