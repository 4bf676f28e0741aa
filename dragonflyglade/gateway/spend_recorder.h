#ifndef DRAGONFLYGLADE_GATEWAY_SPEND_RECORDER_H_
#define DRAGONFLYGLADE_GATEWAY_SPEND_RECORDER_H_

#include <boost/asio/io_context.hpp>
#include <functional>

#include "absl/time/time.h"
#include "dragonflyglade/decision/leader_lease.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/gateway/report_aggregator.h"
#include "dragonflyglade/gateway/spend_record.h"
#include "dragonflyglade/gateway/store_client.h"

namespace dragonflyglade::gateway {

/// As holder of the duty: keeps in the store what workspaces spent, and takes
/// over what the holder before kept. One event loop.
class SpendRecorder {
 public:
  using TimeOfDay = std::function<absl::Time()>;

  SpendRecorder(boost::asio::io_context& context, StoreClient& store,
                ReportAggregator& hub, const LeaderLease& duty, EventLog& log,
                TimeOfDay time_of_day);

  /// Runs until the process ends.
  boost::asio::awaitable<void> Run();

 private:
  boost::asio::awaitable<bool> TakeOver();
  bool Stands(const SpendRecord& newer) const;
  boost::asio::awaitable<void> Record();

  boost::asio::io_context& context;
  StoreClient& store;
  ReportAggregator& hub;
  const LeaderLease& duty;
  EventLog& log;
  const TimeOfDay time_of_day;
  SpendRecord last;  ///< as written last
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_SPEND_RECORDER_H_
