/// TCP relay whose links can be made to fail: what the fault soak puts between
/// entry hosts and upstreams, and between callers and entry hosts. It takes one
/// order a line on standard input, `LINK FAULT [MILLISECONDS]`, and ends when
/// that closes or on SIGTERM.

#include "persimmontally/Support/Settings.h"

#include <gflags/gflags.h>

#include <boost/asio.hpp>

#include <array>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>

DEFINE_string(links,
              "",
              "links by commas, NAME=LISTEN>TARGET with ADDRESS:PORT each");

using namespace persimmontally;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// What happens to the bytes of a link until the next order.
enum class Fault
{
  /// Nothing.
  Pass,
  /// They come later, in order.
  Delay,
  /// Open connections are reset, once; new ones pass.
  Reset,
  /// Open connections are reset and new ones closed.
  Refuse,
  /// They are held both ways; nobody is told.
  Silent,
  /// They are held on the way back only.
  OneWay,
  /// Planted: the next token on the way back comes twice.
  Repeat,
  /// Planted: the next token on the way back goes to another connection.
  Mix,
};

std::optional<Fault> ParseFault(const std::string& aName)
{
  static const std::map<std::string, Fault> faults = {
    { "pass", Fault::Pass },     { "delay", Fault::Delay },
    { "reset", Fault::Reset },   { "refuse", Fault::Refuse },
    { "silent", Fault::Silent }, { "one_way", Fault::OneWay },
    { "repeat", Fault::Repeat }, { "mix", Fault::Mix },
  };
  auto at = faults.find(aName);
  return at == faults.end() ? std::nullopt : std::optional(at->second);
}

class Link;

/// One direction of a relayed connection.
class Pump : public std::enable_shared_from_this<Pump>
{
public:
  Pump(Link& aLink,
       std::shared_ptr<tcp::socket> aFrom,
       std::shared_ptr<tcp::socket> aTo,
       bool aIsBack)
    : m_link(aLink)
    , m_from(std::move(aFrom))
    , m_to(std::move(aTo))
    , m_timer(m_from->get_executor())
    , m_isBack(aIsBack)
  {
  }

  void Read();
  void Deliver(std::string aBytes);
  void Flush();
  void Reset();
  bool IsBack() const { return m_isBack; }
  bool IsOpen() const { return m_from->is_open(); }

private:
  void End();

  Link& m_link;
  std::shared_ptr<tcp::socket> m_from;
  std::shared_ptr<tcp::socket> m_to;
  asio::steady_timer m_timer;
  std::array<char, 16384> m_buffer{};
  std::deque<std::string> m_held;
  bool m_isBack;
  bool m_isWriting = false;
  bool m_isEnded = false;
};

/// A listener, its target, and the fault between them.
class Link
{
public:
  Link(asio::io_context& aContext,
       const tcp::endpoint& aListen,
       tcp::endpoint aTarget)
    : m_context(aContext)
    , m_acceptor(aContext, aListen)
    , m_target(std::move(aTarget))
  {
    Accept();
  }

  void Set(Fault aFault, std::chrono::milliseconds aDelay);
  /// Whether bytes of a direction wait for the next order.
  bool Holds(bool aIsBack) const
  {
    return m_fault == Fault::Silent || (m_fault == Fault::OneWay && aIsBack);
  }
  std::chrono::milliseconds Delay() const { return m_delay; }
  /// Delivers bytes, spoiled where a fault of that kind is planted.
  void Spoil(Pump& aPump, std::string aBytes);
  void Forget(const std::shared_ptr<Pump>& aPump) { m_pumps.erase(aPump); }

private:
  void Accept();
  void Connect(std::shared_ptr<tcp::socket> aCaller);

  asio::io_context& m_context;
  tcp::acceptor m_acceptor;
  tcp::endpoint m_target;
  Fault m_fault = Fault::Pass;
  std::chrono::milliseconds m_delay{ 0 };
  std::set<std::shared_ptr<Pump>> m_pumps;
};

void Pump::Read()
{
  auto self = shared_from_this();
  m_from->async_read_some(
    asio::buffer(m_buffer),
    [self](const boost::system::error_code& aError, size_t aCount) {
      if (aError) {
        self->m_isEnded = true;
        self->Flush();
        return;
      }
      std::string bytes(self->m_buffer.data(), aCount);
      self->m_timer.expires_after(self->m_link.Delay());
      self->m_timer.async_wait([self, bytes = std::move(bytes)](
                                 const boost::system::error_code& aStopped) {
        if (!aStopped) {
          self->m_link.Spoil(*self, bytes);
          self->Read();
        }
      });
    });
}

void Pump::Deliver(std::string aBytes)
{
  m_held.push_back(std::move(aBytes));
  Flush();
}

void Pump::Flush()
{
  if (m_isWriting || m_link.Holds(m_isBack)) {
    return;
  }
  if (m_held.empty()) {
    if (m_isEnded) {
      End();
    }
    return;
  }
  m_isWriting = true;
  auto self = shared_from_this();
  asio::async_write(*m_to,
                    asio::buffer(m_held.front()),
                    [self](const boost::system::error_code& aError, size_t) {
                      self->m_isWriting = false;
                      self->m_held.pop_front();
                      if (aError) {
                        self->Reset();
                        return;
                      }
                      self->Flush();
                    });
}

void Pump::End()
{
  boost::system::error_code ignored;
  m_to->shutdown(tcp::socket::shutdown_send, ignored);
  m_link.Forget(shared_from_this());
}

void Pump::Reset()
{
  boost::system::error_code ignored;
  for (const auto& socket : { m_from, m_to }) {
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
  m_timer.cancel();
  m_link.Forget(shared_from_this());
}

void Link::Set(Fault aFault, std::chrono::milliseconds aDelay)
{
  m_fault = aFault;
  m_delay = aFault == Fault::Delay ? aDelay : std::chrono::milliseconds(0);
  std::set<std::shared_ptr<Pump>> pumps = m_pumps;
  for (const auto& pump : pumps) {
    if (aFault == Fault::Reset || aFault == Fault::Refuse) {
      pump->Reset();
    } else {
      pump->Flush();
    }
  }
  if (aFault == Fault::Reset) {
    m_fault = Fault::Pass;
  }
}

void Link::Spoil(Pump& aPump, std::string aBytes)
{
  bool isToken = aPump.IsBack() && aBytes.find("data:") != std::string::npos &&
                 aBytes.find("HTTP/") == std::string::npos;
  if (isToken && m_fault == Fault::Repeat) {
    m_fault = Fault::Pass;
    aPump.Deliver(aBytes);
  } else if (isToken && m_fault == Fault::Mix) {
    for (const auto& other : m_pumps) {
      if (other.get() != &aPump && other->IsBack() && other->IsOpen()) {
        m_fault = Fault::Pass;
        other->Deliver(std::move(aBytes));
        return;
      }
    }
  }
  aPump.Deliver(std::move(aBytes));
}

void Link::Accept()
{
  m_acceptor.async_accept(
    [this](const boost::system::error_code& aError, tcp::socket aSocket) {
      if (aError) {
        std::cerr << "accept: " << aError.message() << "\n";
      } else if (m_fault != Fault::Refuse) {
        Connect(std::make_shared<tcp::socket>(std::move(aSocket)));
      }
      Accept();
    });
}

void Link::Connect(std::shared_ptr<tcp::socket> aCaller)
{
  auto target = std::make_shared<tcp::socket>(m_context);
  target->async_connect(
    m_target, [=, this](const boost::system::error_code& aError) {
      if (aError) {
        // The caller's connection closes with its last owner.
        return;
      }
      auto there = std::make_shared<Pump>(*this, aCaller, target, false);
      auto back = std::make_shared<Pump>(*this, target, aCaller, true);
      for (const auto& pump : { there, back }) {
        m_pumps.insert(pump);
        pump->Read();
      }
    });
}

/// Carries out the orders on standard input.
class Orders
{
public:
  Orders(asio::io_context& aContext,
         std::map<std::string, std::unique_ptr<Link>>& aLinks)
    : m_context(aContext)
    , m_links(aLinks)
    , m_input(aContext, ::dup(STDIN_FILENO))
  {
    Read();
  }

private:
  void Read()
  {
    asio::async_read_until(
      m_input,
      asio::dynamic_buffer(m_buffer),
      '\n',
      [this](const boost::system::error_code& aError, size_t aCount) {
        if (aError) {
          m_context.stop();
          return;
        }
        Obey(m_buffer.substr(0, aCount - 1));
        m_buffer.erase(0, aCount);
        Read();
      });
  }

  void Obey(const std::string& aLine)
  {
    std::istringstream in(aLine);
    std::string name;
    std::string word;
    int delay = 0;
    in >> name >> word >> delay;
    auto link = m_links.find(name);
    auto fault = ParseFault(word);
    if (link == m_links.end() || !fault) {
      std::cerr << "unknown order '" << aLine << "'\n";
      return;
    }
    link->second->Set(*fault, std::chrono::milliseconds(delay));
  }

  asio::io_context& m_context;
  std::map<std::string, std::unique_ptr<Link>>& m_links;
  asio::posix::stream_descriptor m_input;
  std::string m_buffer;
};

absl::StatusOr<tcp::endpoint> ParseTcp(const std::string& aText)
{
  auto endpoint = ParseEndpoint(aText);
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  return tcp::endpoint(asio::ip::make_address(endpoint->m_address),
                       endpoint->m_port);
}

/// Opens the links of the flag; false with a message if one is malformed.
bool OpenLinks(asio::io_context& aContext,
               std::map<std::string, std::unique_ptr<Link>>& aLinks)
{
  std::istringstream in(FLAGS_links);
  std::string part;
  while (std::getline(in, part, ',')) {
    size_t name = part.find('=');
    size_t arrow = part.find('>');
    if (name == std::string::npos || arrow == std::string::npos ||
        arrow < name) {
      std::cerr << "'" << part << "' is not NAME=LISTEN>TARGET\n";
      return false;
    }
    auto listen = ParseTcp(part.substr(name + 1, arrow - name - 1));
    auto target = ParseTcp(part.substr(arrow + 1));
    for (const absl::Status& status : { listen.status(), target.status() }) {
      if (!status.ok()) {
        std::cerr << status.message() << "\n";
        return false;
      }
    }
    aLinks[part.substr(0, name)] =
      std::make_unique<Link>(aContext, *listen, *target);
  }
  return !aLinks.empty();
}

} // namespace

int main(int argc, char** argv)
{
  gflags::SetUsageMessage("persimmontally-faultproxy --links LIST");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  asio::io_context context;
  std::map<std::string, std::unique_ptr<Link>> links;
  try {
    if (!OpenLinks(context, links)) {
      return 2;
    }
  } catch (const boost::system::system_error& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait(
    [&](const boost::system::error_code&, int) { context.stop(); });
  Orders orders(context, links);
  context.run();
  return 0;
}
