#ifndef DRAGONFLYGLADE_TESTS_STANDINS_LEDGER_STAND_IN_H_
#define DRAGONFLYGLADE_TESTS_STANDINS_LEDGER_STAND_IN_H_

#include <map>
#include <string>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "dragonflyglade/net/endpoint.h"
#include "dragonflyglade/net/http_server.h"

namespace dragonflyglade {

/// A plain service that counts how often each call ran.
///
/// GET /balance/<name> reads; POST /payouts runs the payout named by the
/// "payout" field of its JSON body.
class LedgerStandIn {
 public:
  LedgerStandIn();
  ~LedgerStandIn();

  Endpoint Start();

  /// The next answers to payouts are lost after they ran.
  void DropResponses(int count);
  /// Answers wait this long, after the call ran.
  void SetDelay(absl::Duration delay);
  void SetEchoedId(const std::string& id);

  /// How often a payout ran.
  int Runs(const std::string& payout) const;
  /// All payouts that ran, and how often.
  std::map<std::string, int> AllRuns() const;
  std::string Received() const;

 private:
  HttpServer server;
  mutable absl::Mutex mutex;
  int lose_answers ABSL_GUARDED_BY(mutex) = 0;
  absl::Duration delay ABSL_GUARDED_BY(mutex);
  std::string echoed_id ABSL_GUARDED_BY(mutex);
  std::map<std::string, int> runs ABSL_GUARDED_BY(mutex);
  std::string received ABSL_GUARDED_BY(mutex);
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_STANDINS_LEDGER_STAND_IN_H_
