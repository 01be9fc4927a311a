#include "persimmontally/Net/HttpMessage.h"

#include <boost/algorithm/string/predicate.hpp>

namespace persimmontally {

std::string_view FindHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  for (const HttpHeader& header : aHeaders) {
    if (boost::algorithm::iequals(header.m_name, aName)) {
      return header.m_value;
    }
  }
  return {};
}

} // namespace persimmontally
