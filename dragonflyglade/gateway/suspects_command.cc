#include "dragonflyglade/gateway/suspects_command.h"

#include <fmt/format.h>
#include <fmt/ostream.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>
#include <string_view>
#include <utility>

#include "absl/strings/str_join.h"
#include "absl/time/clock.h"
#include "dragonflyglade/gateway/crash_record.h"
#include "dragonflyglade/gateway/store_client.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

constexpr const char* kPartsUsage =
    "use: dragonflyglade parts --store ADDRESS:PORT list\n"
    "     dragonflyglade parts --store ADDRESS:PORT refuse PART BY WHY\n"
    "     dragonflyglade parts --store ADDRESS:PORT take-back PART\n";
constexpr const char* kRequestsUsage =
    "use: dragonflyglade requests --store ADDRESS:PORT list\n"
    "     dragonflyglade requests --store ADDRESS:PORT refuse DIGEST BY WHY\n"
    "     dragonflyglade requests --store ADDRESS:PORT take-back DIGEST\n";
constexpr absl::Duration kCallTimeout = absl::Seconds(3);

// A failure of a call, for the operator.
struct FailureText {
  std::string operator()(const StoreConflict&) const {
    return "it is refused already";
  }
  std::string operator()(const StoreRefused& refused) const {
    return fmt::format("the store refused the call with status {}",
                       refused.status);
  }
  std::string operator()(const StoreOutcomeUnknown& unknown) const {
    return "no answer from the store: " + unknown.detail;
  }
  template <typename Other>
  std::string operator()(const Other&) const {
    return "the store gave an unexpected answer";
  }
};

// Makes calls to the store one after the other, on a loop of its own.
class StoreSession {
 public:
  StoreSession(Endpoint store, const WireFormat& wire)
      : client(this->context, std::move(store), wire, this->metrics,
               Clock(SteadyClock())) {}

  StoreResponse Call(StoreCall call) {
    std::optional<StoreResponse> response;
    asio::co_spawn(
        this->context,
        [&]() -> asio::awaitable<void> {
          response = co_await this->client.Call(std::move(call), kCallTimeout);
        },
        asio::detached);
    this->context.restart();
    this->context.run();
    return response.value_or(StoreOutcomeUnknown{"the call was not made"});
  }

 private:
  asio::io_context context;
  Metrics metrics;
  StoreClient client;
};

int Fail(const StoreResponse& response, const CommandOutput& output) {
  fmt::print(output.err, "{}\n", std::visit(FailureText(), response));
  return kExitFailed;
}

int List(StoreSession& store, SuspectKind kind, const CommandOutput& output) {
  const std::string prefix(CrashRecordPrefix(kind));
  std::string after;
  bool more_pages = true;
  while (more_pages) {
    const StoreResponse response = store.Call(StoreList{prefix, after});
    const auto* page = std::get_if<StorePage>(&response);
    if (page == nullptr) return Fail(response, output);
    for (const StoreItem& item : page->items) {
      const CrashRecord record = DecodeCrashRecord(item.value);
      fmt::print(output.out, "{} by {} since {} crashes {} {}\n",
                 item.key.substr(prefix.size()), record.by,
                 absl::FormatTime(record.since, absl::UTCTimeZone()),
                 absl::StrJoin(record.crashes, ","), record.why);
      after = item.key;
    }
    more_pages = page->truncated && !page->items.empty();
  }
  return kExitDone;
}

int Write(StoreSession& store, StoreTransaction transaction,
          const CommandOutput& output) {
  const StoreResponse response = store.Call(std::move(transaction));
  if (!std::holds_alternative<StoreCommitted>(response)) {
    return Fail(response, output);
  }
  fmt::print(output.out, "done at revision {}\n",
             std::get<StoreCommitted>(response).revision);
  return kExitDone;
}

int Refuse(StoreSession& store, const Suspect& suspect, const std::string& by,
           const std::string& why, const CommandOutput& output) {
  const std::string key = CrashRecordKey(suspect);
  CrashRecord record;
  record.by = by;
  record.since = absl::Now();
  record.why = why;
  StoreTransaction transaction;
  transaction.preconditions.push_back({key, 0});
  transaction.puts.push_back({key, EncodeCrashRecord(record), 0});
  return Write(store, std::move(transaction), output);
}

int TakeBack(StoreSession& store, const Suspect& suspect,
             const CommandOutput& output) {
  StoreTransaction transaction;
  transaction.deletes.push_back(CrashRecordKey(suspect));
  if (suspect.kind == SuspectKind::kRequest) {
    transaction.deletes.push_back(TrialKey(suspect.id));
  }
  return Write(store, std::move(transaction), output);
}

}  // namespace

int RunSuspectsCommand(SuspectKind kind,
                       const std::vector<std::string>& arguments,
                       const CommandOutput& output, WireFormat wire) {
  constexpr std::size_t kOperands = 2;  // --store and its value
  const char* usage = kind == SuspectKind::kPart ? kPartsUsage : kRequestsUsage;
  if (arguments.size() == 1 && arguments[0] == "--help") {
    fmt::print(output.out, "{}", usage);
    return kExitDone;
  }
  const auto use = [&output, usage] {
    fmt::print(output.err, "{}", usage);
    return kExitBadUse;
  };
  if (arguments.size() <= kOperands || arguments[0] != "--store") return use();
  const Result<Endpoint> endpoint = ParseEndpoint(arguments[1]);
  if (!endpoint.Ok()) {
    fmt::print(output.err, "{}\n", endpoint.Error().ToString());
    return kExitBadUse;
  }
  StoreSession store(endpoint.Value(), wire);
  const std::string& verb = arguments[kOperands];
  const std::vector<std::string> words(arguments.begin() + kOperands + 1,
                                       arguments.end());
  if (verb == "list" && words.empty()) return List(store, kind, output);
  if (verb == "take-back" && words.size() == 1) {
    return TakeBack(store, {kind, words[0]}, output);
  }
  if (verb == "refuse" && words.size() == 3) {
    return Refuse(store, {kind, words[0]}, words[1], words[2], output);
  }
  return use();
}

}  // namespace dragonflyglade::gateway
