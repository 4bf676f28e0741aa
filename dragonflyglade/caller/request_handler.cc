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
constexpr std::size_t kMaxIdempotencyKeyBytes = 256;

std::string_view BearerToken(std::string_view authorization) {
  if (authorization.substr(0, kBearer.size()) != kBearer) return {};
  return authorization.substr(kBearer.size());
}

// The value of one query parameter, not decoded, since no valid value contains
// escapes; empty if it is missing.
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

bool Contains(std::string_view text, std::string_view part) {
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
                               CallerLimits limits,
                               absl::Duration cache_duration)
    : catalog(catalog),
      freshness(freshness),
      membership(membership),
      completions(completions),
      services(services),
      metrics(metrics),
      limits(limits),
      cache_duration(cache_duration) {}

std::variant<ServingState, Refusal> RequestHandler::Readiness() const {
  const auto [listed, alive] = this->membership.CountListedAndAlive();
  switch (this->freshness.StateFor(PeerReachability{listed, alive})) {
    case ConfigFreshnessState::kFresh:
    case ConfigFreshnessState::kStoreOutage:
      break;
    case ConfigFreshnessState::kNeverComplete:
      return Refusal{RefusalCode::kNotReady,
                     "the configuration is not complete yet"};
    case ConfigFreshnessState::kPartitioned:
      return Refusal{RefusalCode::kConfigurationStale,
                     "the configuration may be out of date here"};
  }
  return this->membership.Self().leaving ? ServingState::kDraining
                                         : ServingState::kServing;
}

IdentifiedResponse RequestHandler::Handle(const CallerRequest& request) {
  IdentifiedResponse reply;
  reply.request_id = RandomHex(kRequestIdBytes);
  reply.response = this->Process(request, reply.request_id);
  this->metrics.Count("dragonflyglade_requests_total");
  if (const auto* refusal = std::get_if<Refusal>(&reply.response)) {
    const std::string_view code = RefusalRuleFor(refusal->code).name;
    this->metrics.Count("dragonflyglade_refusals_total",
                        fmt::format("code=\"{}\"", code));
    LogFor(LogPart::kCaller).debug("Refused {}: {}.", reply.request_id, code);
  }
  return reply;
}

CallerResponse RequestHandler::Process(const CallerRequest& request,
                                       const std::string& request_id) {
  if (request.path.size() + request.query.size() > this->limits.max_path) {
    return Refusal{RefusalCode::kBadRequest, "the path is too long"};
  }
  if (request.body.size() > this->limits.max_body) {
    return Refusal{
        RefusalCode::kBodyTooLarge,
        fmt::format("the body is above {} bytes", this->limits.max_body)};
  }
  if (request.path == kInstancesPath) return this->ListInstances(request);
  const auto readiness = this->Readiness();
  if (const auto* refusal = std::get_if<Refusal>(&readiness)) return *refusal;
  auto context = this->Authenticate(request, request_id);
  if (const auto* refusal = std::get_if<Refusal>(&context)) return *refusal;
  return this->RunAuthenticated(std::get<CallContext>(context), request);
}

std::variant<CallContext, Refusal> RequestHandler::Authenticate(
    const CallerRequest& request, const std::string& request_id) const {
  const std::string_view bearer_token = BearerToken(request.authorization);
  if (bearer_token.empty()) {
    return Refusal{RefusalCode::kMissingKey,
                   "expected the header Authorization: Bearer KEY"};
  }
  CallContext context;
  context.catalog = this->catalog.Get();
  const auto checked = FindKeyRecord(*context.catalog, bearer_token);
  if (const auto* key_problem = std::get_if<KeyError>(&checked)) {
    // Malformed and unknown keys get the same response, which reveals nothing
    // about the existing keys.
    if (*key_problem != KeyError::kWithdrawn) {
      return Refusal{RefusalCode::kUnknownKey, "the key is not known"};
    }
    return Refusal{RefusalCode::kKeyWithdrawn, "the key was withdrawn"};
  }
  const KeyRecord& key = std::get<KeyRecord>(checked);
  if (FindRecord(context.catalog->workspaces, key.workspace) == nullptr) {
    return Refusal{RefusalCode::kUnknownKey, "the key is not known"};
  }
  // Failure: a client puts its key into the path or the body as well, so that a
  // target receives and logs it. The secret is long and random, so it never
  // occurs there by chance.
  const std::string secret(bearer_token.substr(bearer_token.rfind('_') + 1));
  if (Contains(request.path, secret) || Contains(request.query, secret) ||
      Contains(request.body, secret) ||
      Contains(request.idempotency_key, secret) ||
      Contains(request.content_type, secret) ||
      Contains(request.accept, secret)) {
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
  CallContext class_context = context;
  if (!request.request_class.empty()) {
    const std::optional<RequestClass> requested_class =
        RequestClassOf(request.request_class);
    if (!requested_class.has_value() ||
        *requested_class == RequestClass::kUrgent) {
      return Refusal{RefusalCode::kBadRequest,
                     "X-Request-Class: expected chat or batch"};
    }
    class_context.request_class = *requested_class;
  }
  if (request.idempotency_key.size() > kMaxIdempotencyKeyBytes) {
    return Refusal{RefusalCode::kBadRequest, "Idempotency-Key is too long"};
  }
  if (request.path == kModelsPath) {
    if (request.method != "GET") {
      return Refusal{RefusalCode::kMethodNotAllowed, "expected GET"};
    }
    return this->ListModels(class_context);
  }
  if (request.path == kCompletionsPath || request.path == kChatPath) {
    if (request.method != "POST") {
      return Refusal{RefusalCode::kMethodNotAllowed, "expected POST"};
    }
    return this->completions.Run(class_context, request);
  }
  if (request.path.rfind(kServicePrefix, 0) == 0) {
    return this->services.Run(class_context, request);
  }
  return NotFound(request);
}

CallerResponse RequestHandler::ListInstances(
    const CallerRequest& request) const {
  if (request.method != "GET") {
    return Refusal{RefusalCode::kMethodNotAllowed, "expected GET"};
  }
  InstanceQuery query;
  query.zone = QueryValue(request.query, "zone");
  query.model = QueryValue(request.query, "model");
  query.workspace = QueryValue(request.query, "workspace");
  std::vector<std::string> share_owners;
  const std::shared_ptr<const Catalog> catalog = this->catalog.Get();
  const Allotment* allotment = FindRecord(catalog->allotments, query.workspace);
  if (allotment != nullptr) {
    for (const OwnerShare& owner : allotment->owners) {
      if (owner.share > 0) share_owners.push_back(owner.instance);
    }
  }
  CompleteResponse response;
  response.body = EncodeInstances(
      ChooseInstances(this->membership.All(), query, share_owners),
      this->cache_duration);
  return response;
}

CallerResponse RequestHandler::ListModels(const CallContext& context) const {
  json list = json::array();
  const auto add = [&list](const std::string& name) {
    list.push_back(
        {{"id", name}, {"object", "model"}, {"owned_by", "dragonflyglade"}});
  };
  for (const auto& [name, model] : context.catalog->models) add(name);
  for (const auto& [name, adapter] : context.catalog->adapters) add(name);
  CompleteResponse response;
  response.body = json({{"object", "list"}, {"data", list}}).dump();
  return response;
}

}  // namespace dragonflyglade
