#include "RequestReader.h"

#include <algorithm>

namespace persimmontally {

namespace http = boost::beast::http;
using boost::system::error_code;

/// Bytes that a connection reads at a time.
static constexpr size_t kHeadReadBytes = size_t(4) << 10;
static constexpr size_t kBodyReadBytes = size_t(64) << 10;
/// Line ends before a request that do not count toward its limit.
static constexpr size_t kFreeEmptyBytes = 4;
/// Bytes of chunk sizes and line ends for each byte of a body, if each chunk
/// has one byte.
static constexpr size_t kFrameBytesPerByte = 8;

void RequestReader::Begin(const HttpLimits& aLimits)
{
  m_maxHeaderBytes = aLimits.m_maxHeaderBytes;
  // Chunk sizes and trailers are parsed as a whole and have no other limit.
  m_buffer.max_size(
    std::max(m_maxHeaderBytes + kBodyReadBytes, m_buffer.size()));
  m_parser.emplace();
  m_parser->eager(true);
  m_parser->header_limit(static_cast<uint32_t>(m_maxHeaderBytes));
  m_parser->body_limit(aLimits.m_maxBodyBytes);
  m_error = {};
  m_taken = 0;
}

boost::asio::mutable_buffer RequestReader::Prepare()
{
  size_t wanted = m_parser->is_header_done() ? kBodyReadBytes : kHeadReadBytes;
  return m_buffer.prepare(
    std::min(wanted, m_buffer.max_size() - m_buffer.size()));
}

RequestReader::Progress RequestReader::Feed(size_t aReceived)
{
  m_buffer.commit(aReceived);
  while (m_buffer.size() > 0 && !m_parser->is_done()) {
    size_t taken = m_parser->put(m_buffer.data(), m_error);
    m_buffer.consume(taken);
    m_taken += taken;
    if (m_error == http::error::need_more) {
      m_error = {};
      break;
    }
    if (m_error) {
      return Progress::Failed;
    }
    if (taken == 0) {
      break;
    }
  }
  if (m_parser->is_done()) {
    return Progress::Complete;
  }
  size_t body = m_parser->get().body().size();
  if (!m_parser->is_header_done()) {
    if (m_taken + m_buffer.size() > m_maxHeaderBytes + kFreeEmptyBytes) {
      m_error = http::error::header_limit;
    }
  } else if (m_taken > m_maxHeaderBytes + kBodyReadBytes +
                         body * (1 + kFrameBytesPerByte) ||
             m_buffer.size() == m_buffer.max_size()) {
    m_error = http::error::buffer_overflow;
  }
  return m_error ? Progress::Failed : Progress::NeedsMore;
}

size_t RequestReader::HeldBytes() const
{
  size_t body = m_parser ? m_parser->get().body().size() : 0;
  return m_buffer.capacity() + body;
}

void RequestReader::Drop()
{
  m_parser.reset();
  m_buffer.clear();
  m_buffer.shrink_to_fit();
}

} // namespace persimmontally
