#ifndef PERSIMMONTALLY_LIB_NET_REQUESTREADER_H
#define PERSIMMONTALLY_LIB_NET_REQUESTREADER_H

#include "persimmontally/Net/HttpServer.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace persimmontally {

/// Parses requests from the bytes of a connection and bounds what is kept and
/// what is read of each. Does no I/O.
class RequestReader
{
public:
  enum class Progress
  {
    NeedsMore,
    Complete,
    Failed,
  };

  /// Begins the next request, of which bytes may have been received already.
  void Begin(const HttpLimits& aLimits);
  /// Returns where the next bytes go.
  boost::asio::mutable_buffer Prepare();
  /// Parses `aReceived` further bytes.
  Progress Feed(size_t aReceived);
  /// Returns why the request failed.
  const boost::system::error_code& Error() const { return m_error; }
  /// Whether a byte of the request, or of the next one, was received.
  bool HasStarted() const
  {
    return m_buffer.size() > 0 || (m_parser && m_parser->got_some());
  }
  bool HasBufferedBytes() const { return m_buffer.size() > 0; }
  /// Returns the bytes of memory held.
  size_t HeldBytes() const;
  boost::beast::http::request<boost::beast::http::string_body> Release()
  {
    return m_parser->release();
  }
  /// Releases what is held of a request that is not used.
  void Drop();

private:
  boost::beast::flat_buffer m_buffer;
  std::optional<
    boost::beast::http::request_parser<boost::beast::http::string_body>>
    m_parser;
  boost::system::error_code m_error;
  size_t m_maxHeaderBytes = 0;
  /// Bytes that the parser has taken of this request.
  size_t m_taken = 0;
};

} // namespace persimmontally

#endif
