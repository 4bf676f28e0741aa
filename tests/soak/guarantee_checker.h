#ifndef DRAGONFLYGLADE_TESTS_SOAK_GUARANTEE_CHECKER_H_
#define DRAGONFLYGLADE_TESTS_SOAK_GUARANTEE_CHECKER_H_

#include <map>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "tests/platform/target_stand_in.h"

namespace dragonflyglade::soak {

/// The kind of a request, which selects its route.
enum class RequestKind { kNonIdempotent, kIdempotent, kStream, kResumable };

/// Status of an outcome whose bytes are no HTTP response.
inline constexpr int kMalformedStatus = -1;

/// The result of one request, as its caller sees it.
struct Outcome {
  int status = 0;          ///< 0: the connection was closed without a response
  std::string body;        ///< without chunk framing
  bool complete = false;   ///< the body is complete by its framing
  bool is_signed = false;  ///< has a target's signature
  /// The instance closed the connection before a response began.
  bool closed_early = false;
  /// Upper bound of the time for which the connection was idle before.
  absl::Duration idle_time;
  /// Upper bound of the time in which the request head was sent.
  absl::Duration head_time;
  /// Keep-Alive timeout in the previous response on the connection.
  absl::Duration keep_alive_timeout;
};

/// The worst fault of an instance while it handled a request or kept the
/// request's connection idle.
enum class InstanceFault { kNone, kPaused, kEnded };

// The lowest limits for callers in any version of the configuration. Whichever
// version is in force, a caller may reuse a connection and send a head within
// four fifths of them, and may reuse a connection for as long as the last
// response stated.
inline constexpr absl::Duration kMinIdleTimeout = absl::Seconds(1);
inline constexpr absl::Duration kMinHeaderTimeout = absl::Milliseconds(500);
inline constexpr double kUsableShare = 0.8;

/// Checks the gateway's guarantees by what callers and targets observe while
/// the soak test runs. Thread-safe.
class GuaranteeChecker {
 public:
  /// Records that a caller is about to send a request.
  void RecordSent(const std::string& id, RequestKind kind,
                  const std::string& key);

  /// Records that a target received a request, whether it runs it or not.
  void RecordReached(const RawRequest& request);

  /// Records that a target starts to run a request, and checks that it may.
  void RecordRun(const RawRequest& request);

  /// Records and checks the outcome of a request at its caller.
  /// @param fault worst fault of the instance meanwhile
  void RecordOutcome(const std::string& id, const Outcome& outcome,
                     InstanceFault fault);

  /// Checks what is known only after the last request: no request that was
  /// refused as not run has run, and no request that reached a target lost its
  /// connection without a response.
  void CheckAtEnd();

  /// Records a violation that the soak test itself observed.
  void AddViolation(const std::string& what);

  std::vector<std::string> Violations() const;
  int Responses(int status) const;
  /// Number of requests on connections that had been idle and that the instance
  /// had no excuse to close: it had no fault and the request came in time.
  int IdleConnectionUses() const;

 private:
  struct Request {
    RequestKind kind = RequestKind::kNonIdempotent;
    std::string key;
    int runs = 0;
    int status = 0;  ///< 0: no response yet, or none at all
    bool reached = false;
    /// Timing of the request if its connection was closed without a response by
    /// an instance that had not ended; else empty.
    std::string closed_early;
  };

  void AddRequestViolation(const std::string& id, const std::string& what)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  void CheckNotClosedEarly(const std::string& id, const Outcome& outcome,
                           InstanceFault fault)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

  mutable absl::Mutex mutex;
  std::map<std::string, Request> requests ABSL_GUARDED_BY(mutex);
  std::map<int, int> responses ABSL_GUARDED_BY(mutex);
  int idle_connection_uses ABSL_GUARDED_BY(mutex) = 0;
  std::vector<std::string> violations ABSL_GUARDED_BY(mutex);
};

/// The body of a target's correct response to a request.
std::string BodyOf(const std::string& id, RequestKind kind);

/// One event of a stream's response body.
std::string EventOf(const std::string& id, int number);

inline constexpr int kEvents = 4;  ///< number of events of a stream

}  // namespace dragonflyglade::soak

#endif  // DRAGONFLYGLADE_TESTS_SOAK_GUARANTEE_CHECKER_H_
