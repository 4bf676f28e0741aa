#ifndef DRAGONFLYGLADE_TESTS_SOAK_PROMISES_H_
#define DRAGONFLYGLADE_TESTS_SOAK_PROMISES_H_

#include <map>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "tests/platform/target_stand_in.h"

namespace dragonflyglade::soak {

/// What a caller asked for.
enum class Kind { kOnce, kRepeatable, kStream, kResumable };

/// The status of bytes that are no answer.
inline constexpr int kUnreadable = -1;

/// What a caller saw of one request.
struct Outcome {
  int status = 0;      ///< 0: the connection ended without an answer
  std::string body;    ///< without chunk framing
  bool whole = false;  ///< as the framing says
  bool is_signed = false;
  bool cut = false;       ///< the other end closed before an answer began
  absl::Duration kept;    ///< at most as long was the connection idle before
  absl::Duration head;    ///< at most as long did the head take
  absl::Duration stated;  ///< for so long it could be idle by the last answer
};

/// What befell an instance while a request was with it, or its connection was
/// kept for it.
enum class Harm { kNone, kPaused, kEnded };

// The lowest limits of callers in any configuration. Within four fifths of them
// callers may use connections and send heads, whichever is in force, and
// connections for as long as the last answer stated.
inline constexpr absl::Duration kLeastIdle = absl::Seconds(1);
inline constexpr absl::Duration kLeastHead = absl::Milliseconds(500);
inline constexpr double kUsableShare = 0.8;

/// Checks the gateway's promises from what callers and targets see, while the
/// soak runs. Thread-safe.
class Promises {
 public:
  /// A caller is about to send a request.
  void Sent(const std::string& id, Kind kind, const std::string& key);

  /// A target has a request, whether it runs it or not.
  void Reached(const RawRequest& request);

  /// A target begins to run a request.
  void Runs(const RawRequest& request);

  /// A caller got an answer, or none.
  void Answered(const std::string& id, const Outcome& outcome, Harm harm);

  /// What only the end shows: refused requests that ran all the same, and
  /// requests that a target had and whose connection ended.
  void CheckEnd();

  /// A promise that the soak itself saw broken.
  void Broken(const std::string& what);

  std::vector<std::string> Violations() const;
  int Answers(int status) const;
  /// Requests on kept connections that nothing could have excused to cut.
  int KeptUses() const;

 private:
  struct Request {
    Kind kind = Kind::kOnce;
    std::string key;
    int runs = 0;
    int status = 0;  ///< none yet, or the connection ended
    bool reached = false;
    std::string cut;  ///< how, if its instance lived on
  };

  void Violation(const std::string& id, const std::string& what)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  void CheckKept(const std::string& id, const Outcome& outcome, Harm harm)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

  mutable absl::Mutex mutex;
  std::map<std::string, Request> requests ABSL_GUARDED_BY(mutex);
  std::map<int, int> answers ABSL_GUARDED_BY(mutex);
  int kept_uses ABSL_GUARDED_BY(mutex) = 0;
  std::vector<std::string> violations ABSL_GUARDED_BY(mutex);
};

/// The body that a target gives to a request.
std::string BodyOf(const std::string& id, Kind kind);

/// An event of a stream.
std::string EventOf(const std::string& id, int number);

inline constexpr int kEvents = 4;  ///< of a stream

}  // namespace dragonflyglade::soak

#endif  // DRAGONFLYGLADE_TESTS_SOAK_PROMISES_H_
