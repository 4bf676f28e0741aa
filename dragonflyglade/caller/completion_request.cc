#include "dragonflyglade/caller/completion_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "dragonflyglade/caller/paths.h"
#include "dragonflyglade/decision/json_text.h"
#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr double kBytesPerToken = 4.0;
constexpr std::size_t kPrefixBytes = 256;
constexpr std::int64_t kMaxOutputTokens = 1'000'000;

Refusal BadRequest(std::string message) {
  return Refusal{RefusalCode::kBadRequest, std::move(message)};
}

Refusal UnknownModel(std::string_view name) {
  return Refusal{RefusalCode::kNotFound,
                 fmt::format("there is no model '{}' here", name)};
}

// The text of the prompt, or of all messages one after the other.
std::variant<std::string, Refusal> ParsePrompt(const json& document,
                                               bool is_chat) {
  if (!is_chat) {
    const auto prompt = document.find("prompt");
    if (prompt == document.end() || !prompt->is_string()) {
      return BadRequest("prompt: expected a string");
    }
    return prompt->get<std::string>();
  }
  const auto messages = document.find("messages");
  if (messages == document.end() || !messages->is_array() ||
      messages->empty()) {
    return BadRequest("messages: expected a list with at least one message");
  }
  std::string text;
  for (const json& message : *messages) {
    if (!message.is_object() || !message.contains("content") ||
        !message.at("content").is_string()) {
      return BadRequest(
          "messages: expected objects with role and content strings");
    }
    text += message.at("content").get<std::string>() + "\n";
  }
  return text;
}

std::variant<double, Refusal> ParseMaxTokens(const json& document,
                                             const ModelRecord& model) {
  const auto limit = document.find("max_tokens");
  if (limit == document.end() || limit->is_null()) {
    return static_cast<double>(model.max_output_tokens);
  }
  if (!limit->is_number_integer())
    return BadRequest("max_tokens: expected an integer");
  const auto tokens = limit->get<std::int64_t>();
  if (tokens < 1 || tokens > kMaxOutputTokens) {
    return BadRequest(fmt::format("max_tokens: expected 1 to {}, found {}",
                                  kMaxOutputTokens, limit->dump()));
  }
  return static_cast<double>(tokens);
}

bool MayUse(const WorkspaceRecord* workspace, const std::string& model) {
  if (workspace == nullptr || workspace->models.empty()) return true;
  return std::find(workspace->models.begin(), workspace->models.end(), model) !=
         workspace->models.end();
}

}  // namespace

std::variant<CompletionRequest, Refusal> ParseCompletion(
    std::string_view path, std::string_view body, const Catalog& catalog,
    std::string_view workspace, RequestClass request_class) {
  const json document = ParseJsonOrDiscard(body);
  if (!document.is_object()) return BadRequest("body: expected a JSON object");
  const auto name = document.find("model");
  if (name == document.end() || !name->is_string()) {
    return BadRequest("model: expected a string");
  }
  CompletionRequest request;
  request.model = name->get<std::string>();
  if (!MayUse(FindRecord(catalog.workspaces, workspace), request.model)) {
    return UnknownModel(request.model);
  }
  const AdapterRecord* adapter = FindRecord(catalog.adapters, request.model);
  if (adapter != nullptr) {
    request.adapter = adapter->name;
    request.model = adapter->model;
  }
  const ModelRecord* model = FindRecord(catalog.models, request.model);
  if (model == nullptr) return UnknownModel(name->get<std::string>());
  request.pool = model->pool;

  const bool is_chat = path == kChatPath;
  auto prompt = ParsePrompt(document, is_chat);
  if (auto* refusal = std::get_if<Refusal>(&prompt)) return *refusal;
  const std::string& text = std::get<std::string>(prompt);
  request.prompt_tokens = 1 + static_cast<double>(text.size()) / kBytesPerToken;
  request.prefix = StableHash(text.substr(0, kPrefixBytes));

  const auto max_tokens = ParseMaxTokens(document, *model);
  if (const auto* refusal = std::get_if<Refusal>(&max_tokens)) return *refusal;
  request.max_tokens = std::get<double>(max_tokens);

  const auto stream = document.find("stream");
  if (stream != document.end() && !stream->is_boolean()) {
    return BadRequest("stream: expected true or false");
  }
  request.stream = stream != document.end() && stream->get<bool>();
  // The engine always responds with a stream. A complete response is assembled
  // from it here, so that a broken stream is noticed and can be resumed.
  json engine_body = document;
  engine_body["stream"] = true;
  // Engines serve lower numbers first. A priority that the caller sets is
  // replaced.
  engine_body["priority"] = static_cast<int>(request_class);
  engine_body["max_tokens"] = static_cast<std::int64_t>(request.max_tokens);
  request.body =
      engine_body.dump(-1, ' ', false, json::error_handler_t::replace);
  return request;
}

}  // namespace dragonflyglade
