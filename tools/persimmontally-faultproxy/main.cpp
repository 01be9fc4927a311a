/// TCP proxy that injects faults. The fault soak runs it between entry hosts
/// and upstreams, and between callers and entry hosts. It reads one command per
/// line from standard input, `LINK FAULT [MILLISECONDS]`, and exits at end of
/// input, on SIGTERM or on SIGINT.

#include "persimmontally/Support/Settings.h"

#include <gflags/gflags.h>

#include <boost/asio.hpp>

#include <array>
#include <csignal>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>

DEFINE_string(
  links,
  "",
  "comma-separated links, each NAME=LISTEN>TARGET, where LISTEN and "
  "TARGET are ADDRESS:PORT");

using namespace persimmontally;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Fault of a link, in effect until the next command.
enum class Fault
{
  /// Forwards all bytes.
  Pass,
  /// Forwards all bytes in order after a delay.
  Delay,
  /// Resets the open connections once; later connections pass.
  Reset,
  /// Resets the open connections and closes new ones.
  Refuse,
  /// Withholds the bytes of both directions; connections stay open.
  Silent,
  /// Withholds the bytes from the target to the client only.
  OneWay,
  /// Sends the next token from the target to the client twice, which the
  /// history check of the load must detect.
  Repeat,
  /// Sends the next token from the target to the client of another connection,
  /// which the history check of the load must detect.
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

/// One direction of a proxied connection.
class Forwarder : public std::enable_shared_from_this<Forwarder>
{
public:
  Forwarder(Link& aLink,
            std::shared_ptr<tcp::socket> aFrom,
            std::shared_ptr<tcp::socket> aTo,
            bool aIsToClient)
    : m_link(aLink)
    , m_from(std::move(aFrom))
    , m_to(std::move(aTo))
    , m_timer(m_from->get_executor())
    , m_isToClient(aIsToClient)
  {
  }

  void Read();
  void Deliver(std::string aBytes);
  void Flush();
  void Reset();
  bool IsToClient() const { return m_isToClient; }
  bool IsOpen() const { return m_from->is_open(); }

private:
  void CloseOutput();

  Link& m_link;
  std::shared_ptr<tcp::socket> m_from;
  std::shared_ptr<tcp::socket> m_to;
  asio::steady_timer m_timer;
  std::array<char, 16384> m_buffer{};
  std::deque<std::string> m_pending;
  bool m_isToClient;
  bool m_isWriting = false;
  bool m_isInputClosed = false;
};

/// A listener, its target and the fault injected between them.
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

  void SetFault(Fault aFault, std::chrono::milliseconds aDelay);
  /// Whether bytes of a direction are withheld until the next command.
  bool IsWithheld(bool aIsToClient) const
  {
    return m_fault == Fault::Silent ||
           (m_fault == Fault::OneWay && aIsToClient);
  }
  std::chrono::milliseconds Delay() const { return m_delay; }
  /// Delivers bytes and applies a pending Repeat or Mix fault if they hold a
  /// token.
  void DeliverWithFault(Forwarder& aForwarder, std::string aBytes);
  void RemoveForwarder(const std::shared_ptr<Forwarder>& aForwarder)
  {
    m_forwarders.erase(aForwarder);
  }

private:
  void Accept();
  void Connect(std::shared_ptr<tcp::socket> aClient);

  asio::io_context& m_context;
  tcp::acceptor m_acceptor;
  tcp::endpoint m_target;
  Fault m_fault = Fault::Pass;
  std::chrono::milliseconds m_delay{ 0 };
  std::set<std::shared_ptr<Forwarder>> m_forwarders;
};

void Forwarder::Read()
{
  auto self = shared_from_this();
  m_from->async_read_some(
    asio::buffer(m_buffer),
    [self](const boost::system::error_code& aError, size_t aCount) {
      if (aError) {
        self->m_isInputClosed = true;
        self->Flush();
        return;
      }
      std::string bytes(self->m_buffer.data(), aCount);
      self->m_timer.expires_after(self->m_link.Delay());
      self->m_timer.async_wait([self, bytes = std::move(bytes)](
                                 const boost::system::error_code& aCancelled) {
        if (!aCancelled) {
          self->m_link.DeliverWithFault(*self, bytes);
          self->Read();
        }
      });
    });
}

void Forwarder::Deliver(std::string aBytes)
{
  m_pending.push_back(std::move(aBytes));
  Flush();
}

void Forwarder::Flush()
{
  if (m_isWriting || m_link.IsWithheld(m_isToClient)) {
    return;
  }
  if (m_pending.empty()) {
    if (m_isInputClosed) {
      CloseOutput();
    }
    return;
  }
  m_isWriting = true;
  auto self = shared_from_this();
  asio::async_write(*m_to,
                    asio::buffer(m_pending.front()),
                    [self](const boost::system::error_code& aError, size_t) {
                      self->m_isWriting = false;
                      self->m_pending.pop_front();
                      if (aError) {
                        self->Reset();
                        return;
                      }
                      self->Flush();
                    });
}

void Forwarder::CloseOutput()
{
  boost::system::error_code ignored;
  m_to->shutdown(tcp::socket::shutdown_send, ignored);
  m_link.RemoveForwarder(shared_from_this());
}

void Forwarder::Reset()
{
  boost::system::error_code ignored;
  for (const auto& socket : { m_from, m_to }) {
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
  m_timer.cancel();
  m_link.RemoveForwarder(shared_from_this());
}

void Link::SetFault(Fault aFault, std::chrono::milliseconds aDelay)
{
  m_fault = aFault;
  m_delay = aFault == Fault::Delay ? aDelay : std::chrono::milliseconds(0);
  std::set<std::shared_ptr<Forwarder>> forwarders = m_forwarders;
  for (const auto& forwarder : forwarders) {
    if (aFault == Fault::Reset || aFault == Fault::Refuse) {
      forwarder->Reset();
    } else {
      forwarder->Flush();
    }
  }
  if (aFault == Fault::Reset) {
    m_fault = Fault::Pass;
  }
}

void Link::DeliverWithFault(Forwarder& aForwarder, std::string aBytes)
{
  bool isToken = aForwarder.IsToClient() &&
                 aBytes.find("data:") != std::string::npos &&
                 aBytes.find("HTTP/") == std::string::npos;
  if (isToken && m_fault == Fault::Repeat) {
    m_fault = Fault::Pass;
    aForwarder.Deliver(aBytes);
  } else if (isToken && m_fault == Fault::Mix) {
    for (const auto& other : m_forwarders) {
      if (other.get() != &aForwarder && other->IsToClient() &&
          other->IsOpen()) {
        m_fault = Fault::Pass;
        other->Deliver(std::move(aBytes));
        return;
      }
    }
  }
  aForwarder.Deliver(std::move(aBytes));
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

void Link::Connect(std::shared_ptr<tcp::socket> aClient)
{
  auto target = std::make_shared<tcp::socket>(m_context);
  target->async_connect(
    m_target, [=, this](const boost::system::error_code& aError) {
      if (aError) {
        // Dropping the last reference closes the client's connection.
        return;
      }
      auto toTarget =
        std::make_shared<Forwarder>(*this, aClient, target, false);
      auto toClient = std::make_shared<Forwarder>(*this, target, aClient, true);
      for (const auto& forwarder : { toTarget, toClient }) {
        m_forwarders.insert(forwarder);
        forwarder->Read();
      }
    });
}

/// Reads commands from standard input and applies them to the links.
class CommandReader
{
public:
  CommandReader(asio::io_context& aContext,
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
        RunCommand(m_buffer.substr(0, aCount - 1));
        m_buffer.erase(0, aCount);
        Read();
      });
  }

  void RunCommand(const std::string& aLine)
  {
    std::istringstream in(aLine);
    std::string name;
    std::string faultName;
    int delay = 0;
    in >> name >> faultName >> delay;
    auto link = m_links.find(name);
    auto fault = ParseFault(faultName);
    if (link == m_links.end() || !fault) {
      std::cerr << "unknown command '" << aLine << "'\n";
      return;
    }
    link->second->SetFault(*fault, std::chrono::milliseconds(delay));
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

/// Opens the links of --links. Returns false if the flag is empty, or if a link
/// is malformed, after printing an error.
bool OpenLinks(asio::io_context& aContext,
               std::map<std::string, std::unique_ptr<Link>>& aLinks)
{
  std::istringstream in(FLAGS_links);
  std::string linkSpec;
  while (std::getline(in, linkSpec, ',')) {
    size_t name = linkSpec.find('=');
    size_t arrow = linkSpec.find('>');
    if (name == std::string::npos || arrow == std::string::npos ||
        arrow < name) {
      std::cerr << "'" << linkSpec << "' is not NAME=LISTEN>TARGET\n";
      return false;
    }
    auto listen = ParseTcp(linkSpec.substr(name + 1, arrow - name - 1));
    auto target = ParseTcp(linkSpec.substr(arrow + 1));
    for (const absl::Status& status : { listen.status(), target.status() }) {
      if (!status.ok()) {
        std::cerr << status.message() << "\n";
        return false;
      }
    }
    aLinks[linkSpec.substr(0, name)] =
      std::make_unique<Link>(aContext, *listen, *target);
  }
  return !aLinks.empty();
}

} // namespace

int main(int argc, char** argv)
{
  std::signal(SIGPIPE, SIG_IGN);
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
  CommandReader commands(context, links);
  context.run();
  return 0;
}
