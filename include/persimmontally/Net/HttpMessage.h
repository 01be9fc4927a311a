#ifndef PERSIMMONTALLY_NET_HTTPMESSAGE_H
#define PERSIMMONTALLY_NET_HTTPMESSAGE_H

#include <string>
#include <string_view>
#include <vector>

namespace persimmontally {

struct HttpHeader
{
  std::string m_name;
  std::string m_value;

  bool operator==(const HttpHeader&) const = default;
};

using HttpHeaders = std::vector<HttpHeader>;

/// Returns the value of the first header with this name, or an empty view if
/// there is none. Names are compared without regard to case.
std::string_view FindHeader(const HttpHeaders& aHeaders,
                            std::string_view aName);

struct HttpRequest
{
  std::string m_method;
  std::string m_target;
  HttpHeaders m_headers;
  std::string m_body;

  std::string_view Header(std::string_view aName) const
  {
    return FindHeader(m_headers, aName);
  }
};

struct HttpResponse
{
  int m_status = 200;
  HttpHeaders m_headers;
  std::string m_body;

  std::string_view Header(std::string_view aName) const
  {
    return FindHeader(m_headers, aName);
  }
};

} // namespace persimmontally

#endif
