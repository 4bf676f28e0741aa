#include <fmt/format.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

#include "dragonflyglade/peer/generated/PeerService.h"
#include "dragonflyglade/peer/peer_codec.h"
#include "measure/model/membership_fleet.h"
#include "measure/topics.h"

namespace dragonflyglade {
namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

constexpr std::size_t kFrameHeaderBytes = 4;

template <typename T>
double EncodedBytes(const T& message) {
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocol protocol(buffer);
  message.write(&protocol);
  return static_cast<double>(buffer->available_read() + kFrameHeaderBytes);
}

wire::Heartbeat SampleHeartbeat(int updates, int balances) {
  MemberStatus member;
  member.info =
      MemberInfo{"entry-dar-es-salaam-101", "10.20.30.40", 7001, 8001, "dar-1"};
  member.incarnation = 1'796'257'596'784'056;
  member.sequence = 3;
  wire::Heartbeat heartbeat;
  heartbeat.sender = ToWire(member);
  heartbeat.config_revision = 1'000'000;
  heartbeat.config_age_ms = 900;
  heartbeat.updates.assign(static_cast<std::size_t>(updates), ToWire(member));
  heartbeat.balances.assign(
      static_cast<std::size_t>(balances),
      ToWire(WorkspaceBalance{"gallery-arusha", 12'345, 40'000}));
  return heartbeat;
}

}  // namespace

void MeasureMembership(const MeasureOptions& options) {
  const double empty = EncodedBytes(SampleHeartbeat(0, 0));
  const double per_update = EncodedBytes(SampleHeartbeat(1, 0)) - empty;
  const double per_balance = EncodedBytes(SampleHeartbeat(0, 1)) - empty;
  PrintFigure("membership.heartbeat.empty", empty, "bytes");
  PrintFigure("membership.heartbeat.per_update", per_update, "bytes");
  PrintFigure("membership.heartbeat.per_balance", per_balance, "bytes");
  std::vector<std::size_t> sizes = {6, 40, 400};
  if (options.instances != 0) sizes = {options.instances};
  for (const std::size_t size : sizes) {
    for (const double loss : {0.0, 0.05}) {
      MembershipRun run;
      run.instances = size;
      run.message_loss = loss;
      run.seed = options.seed;
      const MembershipResult result = MembershipFleet(run).Run();
      const std::string name =
          fmt::format("membership.{}.loss{:.0f}%", size, 100 * loss);
      PrintFigure(name + ".false_deaths", result.false_deaths, "judgements");
      PrintFigure(name + ".death_known_after",
                  absl::ToDoubleSeconds(result.death_known_after), "s");
      PrintFigure(name + ".news_everywhere_after",
                  absl::ToDoubleSeconds(result.update_everywhere_after), "s");
      PrintFigure(name + ".messages", result.messages_per_second,
                  "per_instance_and_second");
      PrintFigure(name + ".bytes",
                  result.messages_per_second *
                      (empty + per_update * result.updates_per_message),
                  "per_instance_and_second");
    }
  }
}

void MeasureLimitsBytes() {
  wire::LoanReply response =
      ToWire(Loan{1200, absl::Milliseconds(40), absl::Milliseconds(140),
                  1'796'257'596'784'056'000, -300, 6666});
  wire::PeerService_borrow_args request;
  request.workspace = "gallery-arusha";
  request.tokens = 1200;
  request.longest_wait_us = 250'000;
  // Thrift message header: method name, sequence number and message type.
  constexpr double kCallHeaderBytes = 14;
  PrintFigure("limits.borrow.request", EncodedBytes(request) + kCallHeaderBytes,
              "bytes");
  PrintFigure("limits.borrow.reply", EncodedBytes(response) + kCallHeaderBytes,
              "bytes");
}

}  // namespace dragonflyglade
