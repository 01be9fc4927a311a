#ifndef PERSIMMONTALLY_NET_HTTPMESSAGE_H
#define PERSIMMONTALLY_NET_HTTPMESSAGE_H

#include <memory>
#include <string>
#include <string_view>
#include <utility>
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
  /// Body that copies of the request share, instead of `m_body`.
  std::shared_ptr<const std::string> m_sharedBody = nullptr;

  std::string_view Header(std::string_view aName) const
  {
    return FindHeader(m_headers, aName);
  }
  /// Lets copies of the request that are made from now on share its body.
  void ShareBody()
  {
    if (!m_sharedBody) {
      m_sharedBody = std::make_shared<const std::string>(std::move(m_body));
      m_body.clear();
    }
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
