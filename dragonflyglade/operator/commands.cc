#include "dragonflyglade/operator/commands.h"

#include <fmt/format.h>
#include <fmt/ostream.h>

#include <boost/program_options.hpp>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <sstream>

#include "dragonflyglade/operator/audit_trail.h"
#include "dragonflyglade/operator/config_editor.h"
#include "dragonflyglade/operator/status_server.h"
#include "dragonflyglade/store/kv_client.h"

namespace dragonflyglade {
namespace {

namespace po = boost::program_options;
using nlohmann::json;

constexpr const char* kDefaultOperator = "operator";
constexpr absl::Duration kCommandKvTimeout = absl::Seconds(3);

constexpr const char* kConfigUse =
    "use: dragonflyglade config validate FILE...\n"
    "     dragonflyglade config apply --kv ADDRESS:PORT FILE"
    " [--expect-revision N]\n"
    "     dragonflyglade config get --kv ADDRESS:PORT KIND NAME\n"
    "     dragonflyglade config history --kv ADDRESS:PORT KIND NAME\n"
    "     dragonflyglade config retire --kv ADDRESS:PORT KIND SCHEMA\n";
constexpr const char* kKeyUse =
    "use: dragonflyglade key grant --kv ADDRESS:PORT WORKSPACE\n"
    "     dragonflyglade key withdraw --kv ADDRESS:PORT KEY_ID\n";
constexpr const char* kStatusUse =
    "use: dragonflyglade status --instance ADDRESS:PORT [--json]\n";
constexpr const char* kAuditUse =
    "use: dragonflyglade audit --kv ADDRESS:PORT [--json]"
    " [--subject TEXT]\n";

// A parsed command line. If exit is set, the command ends with this exit code.
struct Parsed {
  po::variables_map options;
  std::vector<std::string> operands;
  std::optional<int> exit;
};

Parsed Parse(const std::vector<std::string>& arguments,
             po::options_description description, const char* use,
             const CommandOutput& output) {
  Parsed parsed;
  description.add_options()("help", "show this text")(
      "words", po::value<std::vector<std::string>>(), "");
  po::positional_options_description positional;
  positional.add("words", -1);
  try {
    po::store(po::command_line_parser(arguments)
                  .options(description)
                  .positional(positional)
                  .run(),
              parsed.options);
    po::notify(parsed.options);
  } catch (const po::error& error) {
    fmt::print(output.err, "{}\n{}", error.what(), use);
    parsed.exit = kExitBadUse;
    return parsed;
  }
  if (parsed.options.count("help") > 0) {
    fmt::print(output.out, "{}", use);
    parsed.exit = kExitDone;
    return parsed;
  }
  if (parsed.options.count("words") > 0) {
    parsed.operands = parsed.options["words"].as<std::vector<std::string>>();
  }
  return parsed;
}

int ReportBadUse(const CommandOutput& output, std::string_view message,
                 const char* use) {
  fmt::print(output.err, "{}\n{}", message, use);
  return kExitBadUse;
}

int ReportFailure(const CommandOutput& output, const Failure& failure) {
  fmt::print(output.err, "{}\n", failure.ToString());
  const bool bad_input = failure.code == Errc::kInvalidRecord ||
                         failure.code == Errc::kInvalidArgument;
  return bad_input ? kExitBadUse : kExitFailed;
}

po::options_description KvOptionsDescription() {
  po::options_description description;
  description.add_options()("kv", po::value<std::vector<std::string>>(),
                            "an endpoint of the key-value service")(
      "operator", po::value<std::string>(), "who makes the change")(
      "expect-revision", po::value<std::int64_t>(),
      "the revision that was read")("json", "JSON output")(
      "subject", po::value<std::string>(), "only entries on this subject");
  return description;
}

Result<KvOptions> ParseKvOptions(const Parsed& parsed) {
  KvOptions options;
  options.call_timeout = kCommandKvTimeout;
  if (parsed.options.count("kv") == 0) {
    return MakeFailure(Errc::kInvalidArgument, "read options", "command line",
                       "--kv ADDRESS:PORT is needed");
  }
  for (const std::string& text :
       parsed.options["kv"].as<std::vector<std::string>>()) {
    const Result<Endpoint> endpoint = ParseEndpoint(text);
    if (!endpoint.Ok()) return endpoint.Error();
    options.endpoints.push_back(endpoint.Value());
  }
  return options;
}

std::string OperatorName(const Parsed& parsed) {
  if (parsed.options.count("operator") > 0) {
    return parsed.options["operator"].as<std::string>();
  }
  const char* user = std::getenv("USER");
  return user != nullptr && *user != '\0' ? user : kDefaultOperator;
}

Result<std::vector<RecordDraft>> ReadDraftsFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return MakeFailure(Errc::kInvalidArgument, "read file", path,
                       "it cannot be read");
  }
  return ParseDrafts(text.str());
}

int Validate(const std::vector<std::string>& files,
             const CommandOutput& output) {
  if (files.empty()) return ReportBadUse(output, "expected a FILE", kConfigUse);
  int exit_code = kExitDone;
  for (const std::string& file : files) {
    const auto drafts = ReadDraftsFile(file);
    if (drafts.Ok()) {
      fmt::print(output.out, "{}: {} valid records\n", file,
                 drafts.Value().size());
    } else {
      exit_code = ReportFailure(output, drafts.Error());
    }
  }
  return exit_code;
}

int Apply(ConfigEditor& editor, const Parsed& parsed,
          const std::vector<std::string>& operands,
          const CommandOutput& output) {
  if (operands.size() != 1) {
    return ReportBadUse(output, "expected one FILE", kConfigUse);
  }
  auto drafts = ReadDraftsFile(operands[0]);
  if (!drafts.Ok()) return ReportFailure(output, drafts.Error());
  if (parsed.options.count("expect-revision") > 0) {
    if (drafts.Value().size() != 1) {
      return ReportBadUse(output, "--expect-revision goes with a single record",
                          kConfigUse);
    }
    drafts.Value().front().expected_revision =
        parsed.options["expect-revision"].as<std::int64_t>();
  }
  const auto revision = editor.Apply(drafts.Value(), "config apply");
  if (!revision.Ok()) return ReportFailure(output, revision.Error());
  fmt::print(output.out, "applied {} records at revision {}\n",
             drafts.Value().size(), revision.Value());
  return kExitDone;
}

int Get(const ConfigEditor& editor, const std::vector<std::string>& operands,
        const CommandOutput& output) {
  if (operands.size() != 2) {
    return ReportBadUse(output, "expected KIND NAME", kConfigUse);
  }
  const auto entries = editor.Get(operands[0], operands[1]);
  if (!entries.Ok()) return ReportFailure(output, entries.Error());
  for (const KvEntry& entry : entries.Value()) {
    fmt::print(output.out, "{} at revision {}\n{}\n", entry.key,
               entry.mod_revision, entry.value);
  }
  return kExitDone;
}

void PrintEntry(const AuditEntry& entry, bool as_json,
                const CommandOutput& output) {
  if (as_json) {
    fmt::print(output.out, "{}\n", EncodeAuditEntry(entry).dump());
    return;
  }
  fmt::print(output.out, "{} {} {} {} {}\n", entry.time, entry.actor,
             entry.action, entry.subject, entry.detail.dump());
}

int History(const KvClient& kv, const std::vector<std::string>& operands,
            bool as_json, const CommandOutput& output) {
  if (operands.size() != 2) {
    return ReportBadUse(output, "expected KIND NAME", kConfigUse);
  }
  const auto trail = ReadAuditTrail(kv);
  if (!trail.Ok()) return ReportFailure(output, trail.Error());
  for (const AuditEntry& entry : trail.Value()) {
    const Result<RecordKey> key = ParseRecordKey(entry.subject);
    if (!key.Ok() || key.Value().kind != operands[0]) continue;
    if (key.Value().name == operands[1]) PrintEntry(entry, as_json, output);
  }
  return kExitDone;
}

int Retire(ConfigEditor& editor, const std::vector<std::string>& operands,
           const CommandOutput& output) {
  const bool is_valid =
      operands.size() == 2 && !operands[1].empty() &&
      operands[1].find_first_not_of("0123456789") == std::string::npos &&
      operands[1].size() < 4;
  if (!is_valid) {
    return ReportBadUse(output, "expected KIND SCHEMA, such as rate 1",
                        kConfigUse);
  }
  const auto revision = editor.Retire(operands[0], std::stoi(operands[1]));
  if (!revision.Ok()) return ReportFailure(output, revision.Error());
  fmt::print(output.out, "retired {} up to v{} at revision {}\n", operands[0],
             operands[1], revision.Value());
  return kExitDone;
}

}  // namespace

int RunConfigCommand(const std::vector<std::string>& arguments,
                     const CommandOutput& output) {
  Parsed parsed = Parse(arguments, KvOptionsDescription(), kConfigUse, output);
  if (parsed.exit.has_value()) return *parsed.exit;
  if (parsed.operands.empty()) {
    return ReportBadUse(output, "expected a config command", kConfigUse);
  }
  const std::string command = parsed.operands.front();
  const std::vector<std::string> operands(parsed.operands.begin() + 1,
                                          parsed.operands.end());
  if (command == "validate") return Validate(operands, output);
  const bool is_known = command == "apply" || command == "get" ||
                        command == "history" || command == "retire";
  if (!is_known)
    return ReportBadUse(output, "no such command: " + command, kConfigUse);
  const Result<KvOptions> options = ParseKvOptions(parsed);
  if (!options.Ok()) return ReportFailure(output, options.Error());
  const KvClient kv(options.Value());
  ConfigEditor editor(kv, OperatorName(parsed));
  if (command == "apply") return Apply(editor, parsed, operands, output);
  if (command == "get") return Get(editor, operands, output);
  if (command == "history") {
    return History(kv, operands, parsed.options.count("json") > 0, output);
  }
  return Retire(editor, operands, output);
}

int RunKeyCommand(const std::vector<std::string>& arguments,
                  const CommandOutput& output) {
  Parsed parsed = Parse(arguments, KvOptionsDescription(), kKeyUse, output);
  if (parsed.exit.has_value()) return *parsed.exit;
  const bool is_valid =
      parsed.operands.size() == 2 &&
      (parsed.operands[0] == "grant" || parsed.operands[0] == "withdraw");
  if (!is_valid) {
    return ReportBadUse(output, "expected grant WORKSPACE or withdraw KEY_ID",
                        kKeyUse);
  }
  const Result<KvOptions> options = ParseKvOptions(parsed);
  if (!options.Ok()) return ReportFailure(output, options.Error());
  const KvClient kv(options.Value());
  ConfigEditor editor(kv, OperatorName(parsed));
  if (parsed.operands[0] == "grant") {
    const auto granted = editor.GrantKey(parsed.operands[1]);
    if (!granted.Ok()) return ReportFailure(output, granted.Error());
    fmt::print(output.err, "id {}, shown only this once:\n",
               granted.Value().key.id);
    fmt::print(output.out, "{}\n", granted.Value().key.ToString());
    return kExitDone;
  }
  const auto revision = editor.WithdrawKey(parsed.operands[1]);
  if (!revision.Ok()) return ReportFailure(output, revision.Error());
  fmt::print(output.out, "withdrew {} at revision {}\n", parsed.operands[1],
             revision.Value());
  return kExitDone;
}

int RunStatusCommand(const std::vector<std::string>& arguments,
                     const CommandOutput& output) {
  po::options_description description;
  description.add_options()("instance", po::value<std::string>(),
                            "the instance's operator address")("json",
                                                               "JSON output");
  const Parsed parsed = Parse(arguments, description, kStatusUse, output);
  if (parsed.exit.has_value()) return *parsed.exit;
  if (parsed.options.count("instance") == 0 || !parsed.operands.empty()) {
    return ReportBadUse(output, "expected --instance ADDRESS:PORT", kStatusUse);
  }
  const Result<Endpoint> instance =
      ParseEndpoint(parsed.options["instance"].as<std::string>());
  if (!instance.Ok()) return ReportFailure(output, instance.Error());
  const Result<json> status = FetchStatus(instance.Value());
  if (!status.Ok()) return ReportFailure(output, status.Error());
  if (parsed.options.count("json") > 0) {
    fmt::print(output.out, "{}\n", status.Value().dump(2));
    return kExitDone;
  }
  try {
    fmt::print(output.out, "{}", StatusText(status.Value()));
  } catch (const json::exception& error) {
    return ReportFailure(
        output, MakeFailure(Errc::kMalformedResponse, "show status",
                            instance.Value().ToString(), error.what()));
  }
  return kExitDone;
}

int RunAuditCommand(const std::vector<std::string>& arguments,
                    const CommandOutput& output) {
  const Parsed parsed =
      Parse(arguments, KvOptionsDescription(), kAuditUse, output);
  if (parsed.exit.has_value()) return *parsed.exit;
  if (!parsed.operands.empty()) {
    return ReportBadUse(output, "unexpected " + parsed.operands.front(),
                        kAuditUse);
  }
  const Result<KvOptions> options = ParseKvOptions(parsed);
  if (!options.Ok()) return ReportFailure(output, options.Error());
  const KvClient kv(options.Value());
  const auto trail = ReadAuditTrail(kv);
  if (!trail.Ok()) return ReportFailure(output, trail.Error());
  const std::string subject = parsed.options.count("subject") > 0
                                  ? parsed.options["subject"].as<std::string>()
                                  : std::string();
  for (const AuditEntry& entry : trail.Value()) {
    if (!subject.empty() && entry.subject.find(subject) == std::string::npos) {
      continue;
    }
    PrintEntry(entry, parsed.options.count("json") > 0, output);
  }
  return kExitDone;
}

}  // namespace dragonflyglade
