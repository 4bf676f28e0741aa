#ifndef DRAGONFLYGLADE_TESTS_STANDINS_LEDGER_STAND_IN_H_
#define DRAGONFLYGLADE_TESTS_STANDINS_LEDGER_STAND_IN_H_

#include <map>
#include <string>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "dragonflyglade/net/endpoint.h"
#include "dragonflyglade/net/http_server.h"

namespace dragonflyglade {

/// A plain service, that is no model engine, which counts how often each call
/// was executed.
///
/// GET /balance/<name> reads; POST /payouts executes the payout named by the
/// "payout" field of its JSON body.
class LedgerStandIn {
 public:
  LedgerStandIn();
  ~LedgerStandIn();

  Endpoint Start();

  /// Drops the responses to the next payouts after executing them.
  void DropResponses(int count);
  /// Delays the responses to payouts after executing them.
  void SetDelay(absl::Duration delay);
  /// Makes responses carry this id in place of the request's own; an empty one
  /// restores the request's own.
  void SetEchoedId(const std::string& id);

  /// How often a payout was executed.
  int Runs(const std::string& payout) const;
  /// How often each payout was executed, by its name.
  std::map<std::string, int> AllRuns() const;
  /// The paths, headers and bodies of all received requests.
  std::string ReceivedRequests() const;

 private:
  HttpServer server;
  mutable absl::Mutex mutex;
  int responses_to_drop ABSL_GUARDED_BY(mutex) = 0;
  absl::Duration delay ABSL_GUARDED_BY(mutex);
  std::string echoed_id ABSL_GUARDED_BY(mutex);
  std::map<std::string, int> runs ABSL_GUARDED_BY(mutex);
  std::string received_text ABSL_GUARDED_BY(mutex);
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_STANDINS_LEDGER_STAND_IN_H_
