#ifndef DRAGONFLYGLADE_TESTS_PLATFORM_GATEWAY_STAGE_H_
#define DRAGONFLYGLADE_TESTS_PLATFORM_GATEWAY_STAGE_H_

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
#include "platform/wire.h"
#include "tests/platform/store_stand_in.h"
#include "tests/platform/target_stand_in.h"

namespace dragonflyglade {

inline const std::string kSigned = "X-Dragonflyglade-Server-Signature: s1\r\n";

/// An answer of a target, as bytes.
/// @param more further header lines, each with its end
std::string ResponseBytes(const RawRequest& request, const std::string& status,
                          const std::string& body,
                          const std::string& more = "");

/// A target that answers each request as it should.
PlatformTargetStandIn::Script SuccessfulResponse(const RawRequest& request);

/// One gateway before two targets of one service, in this process.
class GatewayHarness {
 public:
  /// What differs from stage to stage.
  struct Options {
    PlatformTargetStandIn::Answer answer = SuccessfulResponse;
    gateway::WireFormat wire = platform::MakeWireFormat();
    /// What the configuration says of callers' requests.
    nlohmann::json limits = nlohmann::json::object();
  };

  /// What a caller read until its connection ended.
  struct Reply {
    int status = 0;  ///< 0: the connection ended without an answer
    std::string text;
    bool ended_whole = false;  ///< as its framing says
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

  /// Makes the second target known.
  void AddSecond();

  /// The next request of all is answered like this, whichever target gets it.
  void ScriptNextRequest(PlatformTargetStandIn::Answer once,
                         PlatformTargetStandIn::Answer later);

  /// Requests that reached the targets.
  std::size_t RequestCount() const;

  /// Sends a request on a connection of its own and reads to its end.
  Reply Call(const std::string& method, const std::string& path,
             const std::string& key = "k1", const std::string& more = "");
  Reply CallModel(const std::string& model);
  Reply Send(const std::string& text);
  Reply SendTo(const Endpoint& endpoint, const std::string& text);
  Reply Ask(const Endpoint& endpoint, const std::string& path);

  /// A request with an id of its own, whose connection ends with its answer.
  std::string Text(const std::string& method, const std::string& path,
                   const std::string& key = "k1", const std::string& more = "");

  /// The same, without an end of the connection.
  std::string KeepAliveRequestText(const std::string& method,
                                   const std::string& path,
                                   const std::string& more = "");

  std::unique_ptr<boost::asio::ip::tcp::socket> Connect(
      const Endpoint& endpoint);

  /// Waits until the condition holds; fails the test after a while.
  void WaitFor(const std::function<bool()>& holds);

  /// The gateway's own state, read on its event loop.
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

  /// Writes a target's entry into the store.
  void PutTarget(const std::string& id, const PlatformTargetStandIn& target,
                 const std::string& state,
                 nlohmann::json models = nlohmann::json::array());

  nlohmann::json Config(int version, const std::string& last_route) const;

  /// Writes the configuration and waits until it is in force.
  void PutConfig(const nlohmann::json& config);

  const Options options;
  PlatformStoreStandIn store;
  PlatformTargetStandIn first;
  PlatformTargetStandIn second;
  std::unique_ptr<gateway::Gateway> gateway;
  /// What the settings file holds now.
  Result<gateway::GatewaySettings> reread = gateway::GatewaySettings();

 private:
  static Options WithAnswer(PlatformTargetStandIn::Answer answer);
  gateway::GatewaySettings Settings() const;

  boost::asio::io_context client;
  std::thread thread;
  Status ran = Done{};
  int calls = 0;
};

/// Keeps the gateway's event loop busy for as long as this lives.
class LoopBlocker {
 public:
  /// Returns once the loop does nothing else.
  explicit LoopBlocker(GatewayHarness& stage);
  ~LoopBlocker();
  LoopBlocker(const LoopBlocker&) = delete;
  LoopBlocker& operator=(const LoopBlocker&) = delete;

 private:
  // Shared with the handler, which may still return after this is gone.
  std::shared_ptr<absl::Notification> release =
      std::make_shared<absl::Notification>();
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_PLATFORM_GATEWAY_STAGE_H_
