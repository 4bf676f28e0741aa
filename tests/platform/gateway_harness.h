#ifndef DRAGONFLYGLADE_TESTS_PLATFORM_GATEWAY_HARNESS_H_
#define DRAGONFLYGLADE_TESTS_PLATFORM_GATEWAY_HARNESS_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>

#include "absl/synchronization/notification.h"
#include "dragonflyglade/gateway/gateway.h"
#include "dragonflyglade/gateway/request_memory.h"
#include "platform/wire.h"
#include "tests/platform/store_stand_in.h"
#include "tests/platform/target_stand_in.h"

namespace dragonflyglade {

/// Runs a gateway in this process, with a store and two targets of one service
/// as stand-ins.
class GatewayHarness {
 public:
  struct Options {
    /// Response of both targets, unless another one is scripted.
    PlatformTargetStandIn::Answer answer = SuccessfulResponse;
    gateway::WireFormat wire = platform::MakeWireFormat();
    /// The object `limits` of the configuration.
    nlohmann::json limits = nlohmann::json::object();
    gateway::CallerBufferLimits caller_buffers;
    /// Setting `request_bodies_kb`, in bytes.
    std::size_t request_bodies_bytes =
        gateway::RequestMemory::kDefaultBodiesBytes;
    /// Further fields of the service's engines.
    nlohmann::json engine = nlohmann::json::object();
    /// Called before the gateway starts, once the store has its records. May be
    /// empty.
    std::function<void(PlatformStoreStandIn&)> before_start;
    std::string second_ip = "127.0.0.1";  ///< of the second target
    absl::Duration leader_handover_delay = absl::Milliseconds(10);
    bool run_backups = false;          ///< setting of this name
    bool prompt_cache = false;         ///< setting of this name
    bool prompt_cache_events = false;  ///< setting of this name
  };

  /// The bytes that a caller received until its connection ended.
  struct Reply {
    int status = 0;  ///< 0: the connection ended without a response
    std::string text;
    bool ended_whole = false;  ///< complete by its framing
    std::string Field(const std::string& name) const {
      return RawRequest{this->text, ""}.Field(name);
    }
    std::string Body() const {
      return this->text.substr(this->text.find("\r\n\r\n") + 4);
    }
  };

  explicit GatewayHarness(
      PlatformTargetStandIn::Answer answer = SuccessfulResponse)
      : GatewayHarness(WithAnswer(std::move(answer))) {}
  explicit GatewayHarness(Options options);
  ~GatewayHarness();
  GatewayHarness(const GatewayHarness&) = delete;
  GatewayHarness& operator=(const GatewayHarness&) = delete;

  /// Registers the second target and waits until the gateway knows it.
  void AddSecond();

  /// Scripts the response to the next request, whichever target receives it.
  /// @param later response to the next request at the other target
  void ScriptNextRequest(PlatformTargetStandIn::Answer once,
                         PlatformTargetStandIn::Answer later);

  /// Number of requests that the targets have received.
  std::size_t RequestCount() const;

  /// Sends a request on a new connection and reads to the connection's end.
  Reply Call(const std::string& method, const std::string& path,
             const std::string& key = "k1", const std::string& more = "");
  Reply CallModel(const std::string& model);
  Reply Send(const std::string& text);
  /// @param later sent once the first bytes have arrived; may be empty
  Reply SendTo(const Endpoint& endpoint, const std::string& text,
               const std::string& later = "");
  Reply Ask(const Endpoint& endpoint, const std::string& path);

  /// Formats a request with a new id and Connection: close.
  std::string Text(const std::string& method, const std::string& path,
                   const std::string& key = "k1", const std::string& more = "");

  /// Formats a request with a new id that keeps the connection open.
  std::string KeepAliveRequestText(const std::string& method,
                                   const std::string& path,
                                   const std::string& more = "");

  std::unique_ptr<boost::asio::ip::tcp::socket> Connect(
      const Endpoint& endpoint);

  /// Waits until the condition holds; fails the test after a timeout.
  void WaitFor(const std::function<bool()>& holds);

  /// Reads the gateway's state on its event loop.
  template <typename T>
  T Read(const std::function<T()>& read) {
    std::optional<T> value;
    absl::Notification done;
    boost::asio::post(this->gateway->Context(), [&] {
      value = read();
      done.Notify();
    });
    done.WaitForNotification();
    return *value;
  }

  bool HoldsLeaderLease();

  /// Writes a target's record into the store.
  void PutTarget(const std::string& id, const PlatformTargetStandIn& target,
                 const std::string& state,
                 nlohmann::json models = nlohmann::json::array());

  nlohmann::json Config(int version, const std::string& last_route) const;

  /// Writes the configuration and waits until the gateway has applied it.
  void PutConfig(const nlohmann::json& config);

  /// The settings of an instance that uses the same store.
  gateway::GatewaySettings Settings(const std::string& instance = "one") const;

  const Options options;
  PlatformStoreStandIn store;
  PlatformTargetStandIn first;
  PlatformTargetStandIn second;
  std::unique_ptr<gateway::Gateway> gateway;
  /// The result of reading the settings file on a reload.
  Result<gateway::GatewaySettings> reread = gateway::GatewaySettings();

 private:
  static Options WithAnswer(PlatformTargetStandIn::Answer answer);

  boost::asio::io_context client;
  std::thread thread;
  Status ran = Done{};
  std::atomic<int> calls = 0;
};

/// Blocks the gateway's event loop during its lifetime.
class LoopBlocker {
 public:
  /// Returns once the loop is blocked.
  explicit LoopBlocker(GatewayHarness& harness);
  ~LoopBlocker();
  LoopBlocker(const LoopBlocker&) = delete;
  LoopBlocker& operator=(const LoopBlocker&) = delete;

 private:
  // Shared with the handler, which may return after the destructor.
  std::shared_ptr<absl::Notification> release =
      std::make_shared<absl::Notification>();
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_PLATFORM_GATEWAY_HARNESS_H_
