#include "dragonflyglade/gateway/tunnel_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dragonflyglade/gateway/async_condition.h"
#include "dragonflyglade/gateway/http_text.h"
#include "dragonflyglade/gateway/peek_socket.h"
#include "dragonflyglade/gateway/step_timer.h"
#include "dragonflyglade/gateway/target_socket.h"
#include "dragonflyglade/gateway/tunnel_query.h"
#include "dragonflyglade/net/connection_end.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr absl::Duration kAcceptRetryDelay = absl::Milliseconds(50);
constexpr absl::Duration kRequestTimeout = absl::Seconds(1);
constexpr std::uint32_t kMaxRequestBytes = 4096;
constexpr std::size_t kReadBytes = 16384;
// An instance asks within milliseconds whether the target closed a tunnel.
constexpr std::size_t kMaxRememberedEnds = 1000;
constexpr std::size_t kMaxTunnelIdBytes = 64;
// Without bytes for this long, a tunnel with an open response has a target that
// is still computing; the caller gives such a stream up after two seconds.
constexpr absl::Duration kBusyTime = absl::Seconds(2);
// After the target has closed, the instance may go on reading for this long.
constexpr absl::Duration kHalfOpenTime = absl::Seconds(5);

// A response that establishes a tunnel has no body, and no field that frames
// one.
constexpr std::string_view kEstablishedHead =
    "HTTP/1.1 200 Connection Established\r\n\r\n";

enum Status : int {
  kOk = 200,
  kUnknown = 404,
  kTargetRests = 429,
  kTargetRefused = 502,
  kUnavailable = 503,
  kTargetTimedOut = 504,
};

}  // namespace

struct TunnelServer::Tunnel {
  Tunnel(asio::io_context& context, Socket accepted, const Clock& clock)
      : instance(std::move(accepted)),
        target(context),
        last_bytes(clock.Now()),
        timer(context, clock, [this] {
          return PeekSocket(this->instance) == SocketState::kBytes;
        }) {}

  void Close() {
    error_code ignored;
    this->instance.close(ignored);
    this->target.close(ignored);
  }

  // An end that looks regular would make an incomplete response look complete.
  void Reset() {
    error_code ignored;
    const asio::socket_base::linger reset(true, 0);
    this->instance.set_option(reset, ignored);
    this->target.set_option(reset, ignored);
    this->Close();
  }

  Socket instance;
  Socket target;
  boost::beast::flat_buffer buffer;
  Instant last_bytes;
  std::string id;    ///< as the instance named it
  std::string user;  ///< name of the instance
  std::string target_id;
  HeaderFields refusal_fields;   ///< of the response if there is no tunnel
  bool awaits_response = false;  ///< the last bytes went to the target
  bool sends_to_target = false;  ///< a write to the target has not ended
  StepTimer timer;
};

TunnelServer::TunnelServer(asio::io_context& context, std::size_t most,
                           FleetState& fleet, TargetPaths& paths,
                           TargetStatements& statements, Metrics& metrics,
                           Tasks& tasks, Clock clock)
    : context(context),
      most(most),
      fleet(fleet),
      paths(paths),
      statements(statements),
      metrics(metrics),
      tasks(tasks),
      clock(std::move(clock)) {
  this->statements.OnRest(
      [this](const TargetState& target) { this->TellUsers(target); });
}

asio::awaitable<void> TunnelServer::Accept(asio::ip::tcp::acceptor& acceptor) {
  while (true) {
    error_code error;
    Socket socket = co_await acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_await Sleep(this->context, kAcceptRetryDelay);
      continue;
    }
    this->tunnels.remove_if(
        [](const std::weak_ptr<Tunnel>& each) { return each.expired(); });
    if (this->tunnels.size() >= this->most) continue;
    auto tunnel =
        std::make_shared<Tunnel>(this->context, std::move(socket), this->clock);
    this->tunnels.push_back(tunnel);
    this->tasks.Spawn("serve tunnel", this->Serve(std::move(tunnel)));
  }
}

int TunnelServer::Busy() const {
  const Instant now = this->clock.Now();
  return static_cast<int>(std::count_if(
      this->tunnels.begin(), this->tunnels.end(),
      [now](const std::weak_ptr<Tunnel>& each) {
        const std::shared_ptr<Tunnel> tunnel = each.lock();
        return tunnel != nullptr && (tunnel->awaits_response ||
                                     now - tunnel->last_bytes < kBusyTime);
      }));
}

asio::awaitable<void> TunnelServer::Serve(std::shared_ptr<Tunnel> tunnel) {
  ConfigureTargetSocket(tunnel->instance);
  const TunnelRequest request = co_await this->ReadRequest(*tunnel);
  if (const auto* query = std::get_if<EndQuery>(&request)) {
    const bool closed = this->WasClosedByTarget(query->path);
    co_await this->Respond(*tunnel, closed ? kOk : kUnknown);
    co_return;
  }
  const auto* open = std::get_if<OpenRequest>(&request);
  const int status =
      open == nullptr ? kUnknown
                      : co_await this->ConnectToTarget(*tunnel, open->target);
  this->metrics.Count("tunnels_served", status == kOk ? "result=\"established\""
                                                      : "result=\"refused\"");
  const bool written = co_await this->Respond(*tunnel, status);
  if (!written || status != kOk) co_return;
  this->tasks.Spawn("tunnel to target", this->Forward(tunnel, true));
  co_await this->Forward(tunnel, false);
}

asio::awaitable<bool> TunnelServer::Respond(Tunnel& tunnel, int status) {
  const std::string head =
      status == kOk ? std::string(kEstablishedHead)
                    : ResponseHeadText(status, tunnel.refusal_fields,
                                       BodyFraming::kLength, 0, std::nullopt);
  error_code error;
  co_await asio::async_write(tunnel.instance, asio::buffer(head),
                             asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

asio::awaitable<TunnelServer::TunnelRequest> TunnelServer::ReadRequest(
    Tunnel& tunnel) {
  http::request_parser<http::empty_body> parser;
  parser.header_limit(kMaxRequestBytes);
  error_code error;
  const auto close = [&tunnel](absl::Duration) { tunnel.Close(); };
  tunnel.timer.Start(kRequestTimeout, close);
  co_await http::async_read_header(
      tunnel.instance, tunnel.buffer, parser,
      asio::redirect_error(asio::use_awaitable, error));
  tunnel.timer.Stop();
  if (error || tunnel.buffer.size() > 0) co_return Malformed{};
  const auto& request = parser.get();
  const std::string subject(request.target());
  if (request.method() == http::verb::get) co_return EndQuery{subject};
  if (request.method() != http::verb::connect) co_return Malformed{};
  tunnel.id = std::string(request[kTunnelIdField]);
  tunnel.user = std::string(request[kTunnelInstanceField]);
  tunnel.target_id = subject;
  co_return OpenRequest{subject};
}

// Failure: an instance sends on through an open tunnel to a target that rests
// from this one, which cannot tell where a request in it begins.
void TunnelServer::TellUsers(const TargetState& target) {
  std::set<std::string> users;
  for (const std::weak_ptr<Tunnel>& each : this->tunnels) {
    const std::shared_ptr<Tunnel> tunnel = each.lock();
    if (tunnel == nullptr || tunnel->target_id != target.Record().id) continue;
    users.insert(tunnel->user);
  }
  for (const std::string& user : users) {
    this->statements.SendOwnRest(target, user);
  }
}

asio::awaitable<int> TunnelServer::ConnectToTarget(Tunnel& tunnel,
                                                   std::string target_id) {
  if (this->stopping) co_return kUnavailable;
  const std::shared_ptr<TargetState> target = this->fleet.Target(target_id);
  if (target == nullptr || target->IsLeaving() ||
      this->fleet.IsEvacuated(target->Record().zone)) {
    co_return kUnknown;
  }
  const absl::Duration rest = this->statements.RestOf(*target);
  if (rest > absl::ZeroDuration()) {
    tunnel.refusal_fields.emplace_back(
        "Retry-After", fmt::format("{:.3f}", absl::ToDoubleSeconds(rest)));
    co_return kTargetRests;
  }
  const std::string& service = target->Record().service;
  if (this->paths.IsIsolated(service)) co_return kUnavailable;
  const std::optional<ConnectFailure> failure = co_await ConnectTargetSocket(
      tunnel.target, target->Record().address, tunnel.timer);
  if (!failure.has_value()) {
    this->paths.RecordConnected(*target);
    co_return kOk;
  }
  if (!failure->error.has_value()) co_return kUnknown;
  this->paths.RecordConnectFailed(*target, *failure->error);
  // The response states whether the target or this instance's path failed.
  co_await this->paths.AwaitVerdict(service);
  if (this->paths.IsIsolated(service)) co_return kUnavailable;
  co_return *failure->error == ConnectError::kRefused ? kTargetRefused
                                                      : kTargetTimedOut;
}

asio::awaitable<void> TunnelServer::Forward(std::shared_ptr<Tunnel> tunnel,
                                            bool to_target) {
  Socket& from = to_target ? tunnel->instance : tunnel->target;
  Socket& to = to_target ? tunnel->target : tunnel->instance;
  std::vector<char> bytes(kReadBytes);
  while (true) {
    error_code error;
    const std::size_t count = co_await from.async_read_some(
        asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    if (error && error != asio::error::eof) break;
    if (error) {
      this->HandleEnd(tunnel, to_target);
      co_return;
    }
    tunnel->last_bytes = this->clock.Now();
    tunnel->awaits_response = to_target;
    tunnel->sends_to_target |= to_target;
    co_await asio::async_write(
        to, asio::buffer(bytes.data(), count),
        asio::redirect_error(asio::use_awaitable, error));
    if (error) break;
    if (to_target) tunnel->sends_to_target = false;
  }
  tunnel->Reset();
}

// An instance that closes its side has given the request up, and the target
// stops work when its connection closes. A target that closes may not have read
// all that the instance sends, and its response is still on the way.
void TunnelServer::HandleEnd(const std::shared_ptr<Tunnel>& tunnel,
                             bool instance_ended) {
  tunnel->awaits_response = false;
  if (instance_ended) {
    tunnel->Close();
    return;
  }
  // Failure: a target resets the connection while it is sent a long request.
  // The write takes the error, and a cut response looks whole to the caller.
  if (!EndedInOrder(tunnel->target, !tunnel->sends_to_target)) {
    tunnel->Reset();
    return;
  }
  // Before the instance can see the end and ask.
  this->RecordClosedByTarget(tunnel->id);
  error_code ignored;
  tunnel->instance.shutdown(Socket::shutdown_send, ignored);
  Tunnel& closing = *tunnel;
  tunnel->timer.Start(kHalfOpenTime,
                      [&closing](absl::Duration) { closing.Close(); });
}

void TunnelServer::RecordClosedByTarget(const std::string& tunnel_id) {
  if (tunnel_id.empty() || tunnel_id.size() > kMaxTunnelIdBytes) return;
  this->closed_by_target.push_back(TunnelEndPath(tunnel_id));
  if (this->closed_by_target.size() > kMaxRememberedEnds) {
    this->closed_by_target.pop_front();
  }
}

bool TunnelServer::WasClosedByTarget(std::string_view path) const {
  return std::find(this->closed_by_target.begin(), this->closed_by_target.end(),
                   path) != this->closed_by_target.end();
}

}  // namespace dragonflyglade::gateway
