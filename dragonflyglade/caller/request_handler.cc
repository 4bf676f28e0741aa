#include "dragonflyglade/caller/request_handler.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "dragonflyglade/caller/instance_selection.h"
#include "dragonflyglade/caller/paths.h"
#include "dragonflyglade/net/log.h"
#include "dragonflyglade/operator/caller_key.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr std::size_t kRequestIdBytes = 8;
constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kLongestIdempotencyKey = 256;

std::string_view BearerOf(std::string_view authorization) {
  if (authorization.substr(0, kBearer.size()) != kBearer) return {};
  return authorization.substr(kBearer.size());
}

// The value of one query parameter; values that would need decoding are not
// used here.
std::string QueryValue(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::size_t end = query.find('&');
    const std::string_view pair = query.substr(0, end);
    query = end == std::string_view::npos ? "" : query.substr(end + 1);
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) continue;
    if (pair.substr(0, equals) == name) {
      return std::string(pair.substr(equals + 1));
    }
  }
  return {};
}

bool Holds(std::string_view text, std::string_view part) {
  return text.find(part) != std::string_view::npos;
}

Refusal NotFound(const CallerRequest& request) {
  return Refusal{RefusalCode::kNotFound,
                 fmt::format("there is no {} here", request.path)};
}

}  // namespace

RequestHandler::RequestHandler(const CatalogHolder& catalog,
                               const ConfigFreshness& freshness,
                               const Membership& membership,
                               CompletionRunner& completions,
                               ServiceRunner& services, Metrics& metrics,
                               CallerLimits limits, absl::Duration keep)
    : catalog(catalog),
      freshness(freshness),
      membership(membership),
      completions(completions),
      services(services),
      metrics(metrics),
      limits(limits),
      keep(keep) {}

std::variant<ServingState, Refusal> RequestHandler::Readiness() const {
  const auto [listed, alive] = this->membership.CountListedAndAlive();
  switch (this->freshness.Right(PeerReachability{listed, alive})) {
    case ConfigFreshnessState::kFresh:
    case ConfigFreshnessState::kStoreOutage:
      break;
    case ConfigFreshnessState::kNeverComplete:
      return Refusal{RefusalCode::kNotReady,
                     "the configuration is not complete yet"};
    case ConfigFreshnessState::kCutOff:
      return Refusal{RefusalCode::kConfigurationStale,
                     "the configuration may be out of date here"};
  }
  return this->membership.Self().leaving ? ServingState::kDraining
                                         : ServingState::kServing;
}

IdentifiedResponse RequestHandler::Handle(const CallerRequest& request) {
  IdentifiedResponse reply;
  reply.request_id = RandomHex(kRequestIdBytes);
  reply.answer = this->Answer(request, reply.request_id);
  this->metrics.Count("dragonflyglade_requests_total");
  if (const auto* refusal = std::get_if<Refusal>(&reply.answer)) {
    const std::string_view code = RefusalRuleFor(refusal->code).name;
    this->metrics.Count("dragonflyglade_refusals_total",
                        fmt::format("code=\"{}\"", code));
    LogFor(LogPart::kCaller).debug("Refused {}: {}.", reply.request_id, code);
  }
  return reply;
}

CallerResponse RequestHandler::Answer(const CallerRequest& request,
                                      const std::string& request_id) {
  if (request.path.size() + request.query.size() > this->limits.max_path) {
    return Refusal{RefusalCode::kBadRequest, "the path is too long"};
  }
  if (request.body.size() > this->limits.max_body) {
    return Refusal{
        RefusalCode::kBodyTooLarge,
        fmt::format("the body is above {} bytes", this->limits.max_body)};
  }
  if (request.path == kInstancesPath) return this->AnswerInstances(request);
  const auto readiness = this->Readiness();
  if (const auto* refusal = std::get_if<Refusal>(&readiness)) return *refusal;
  auto context = this->Authenticate(request, request_id);
  if (const auto* refusal = std::get_if<Refusal>(&context)) return *refusal;
  return this->RunAuthenticated(std::get<CallContext>(context), request);
}

std::variant<CallContext, Refusal> RequestHandler::Authenticate(
    const CallerRequest& request, const std::string& request_id) const {
  const std::string_view shown = BearerOf(request.authorization);
  if (shown.empty()) {
    return Refusal{RefusalCode::kMissingKey,
                   "expected the header Authorization: Bearer KEY"};
  }
  CallContext context;
  context.catalog = this->catalog.Get();
  const auto checked = FindKeyRecord(*context.catalog, shown);
  if (const auto* problem = std::get_if<KeyError>(&checked)) {
    // Malformed and unknown keys get the same answer: it tells nothing about
    // which keys there are.
    if (*problem != KeyError::kWithdrawn) {
      return Refusal{RefusalCode::kUnknownKey, "the key is not known"};
    }
    return Refusal{RefusalCode::kKeyWithdrawn, "the key was withdrawn"};
  }
  const KeyRecord& key = std::get<KeyRecord>(checked);
  if (FindRecord(context.catalog->workspaces, key.workspace) == nullptr) {
    return Refusal{RefusalCode::kUnknownKey, "the key is not known"};
  }
  // Failure: a client puts its key into the path or the body as well, and a
  // target gets it and logs it. The secret is long and random, so finding it
  // there is never chance.
  const std::string secret(shown.substr(shown.rfind('_') + 1));
  if (Holds(request.path, secret) || Holds(request.query, secret) ||
      Holds(request.body, secret) || Holds(request.idempotency_key, secret) ||
      Holds(request.content_type, secret) || Holds(request.accept, secret)) {
    return Refusal{RefusalCode::kBadRequest,
                   "the key may stand in the Authorization header only"};
  }
  context.request_id = request_id;
  context.key_id = key.id;
  context.workspace = key.workspace;
  return context;
}

CallerResponse RequestHandler::RunAuthenticated(const CallContext& context,
                                                const CallerRequest& request) {
  CallContext own = context;
  if (!request.request_class.empty()) {
    const std::optional<RequestClass> wanted =
        RequestClassOf(request.request_class);
    if (!wanted.has_value() || *wanted == RequestClass::kUrgent) {
      return Refusal{RefusalCode::kBadRequest,
                     "X-Request-Class: expected chat or batch"};
    }
    own.request_class = *wanted;
  }
  if (request.idempotency_key.size() > kLongestIdempotencyKey) {
    return Refusal{RefusalCode::kBadRequest, "Idempotency-Key is too long"};
  }
  if (request.path == kModelsPath) {
    if (request.method != "GET") {
      return Refusal{RefusalCode::kMethodNotAllowed, "expected GET"};
    }
    return this->AnswerModels(own);
  }
  if (request.path == kCompletionsPath || request.path == kChatPath) {
    if (request.method != "POST") {
      return Refusal{RefusalCode::kMethodNotAllowed, "expected POST"};
    }
    return this->completions.Run(own, request);
  }
  if (request.path.rfind(kServicePrefix, 0) == 0) {
    return this->services.Run(own, request);
  }
  return NotFound(request);
}

CallerResponse RequestHandler::AnswerInstances(
    const CallerRequest& request) const {
  if (request.method != "GET") {
    return Refusal{RefusalCode::kMethodNotAllowed, "expected GET"};
  }
  InstanceQuery question;
  question.zone = QueryValue(request.query, "zone");
  question.model = QueryValue(request.query, "model");
  question.workspace = QueryValue(request.query, "workspace");
  std::vector<std::string> holders;
  const std::shared_ptr<const Catalog> catalog = this->catalog.Get();
  const Allotment* allotment =
      FindRecord(catalog->allotments, question.workspace);
  if (allotment != nullptr) {
    for (const OwnerShare& holder : allotment->holders) {
      if (holder.share > 0) holders.push_back(holder.instance);
    }
  }
  WholeAnswer answer;
  answer.body = EncodeInstances(
      ChooseInstances(this->membership.All(), question, holders), this->keep);
  return answer;
}

CallerResponse RequestHandler::AnswerModels(const CallContext& context) const {
  json list = json::array();
  const auto add = [&list](const std::string& name) {
    list.push_back(
        {{"id", name}, {"object", "model"}, {"owned_by", "dragonflyglade"}});
  };
  for (const auto& [name, model] : context.catalog->models) add(name);
  for (const auto& [name, adapter] : context.catalog->adapters) add(name);
  WholeAnswer answer;
  answer.body = json({{"object", "list"}, {"data", list}}).dump();
  return answer;
}

}  // namespace dragonflyglade
