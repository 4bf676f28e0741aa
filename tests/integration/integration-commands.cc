#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "dragonflyglade/instance/serve_command.h"
#include "dragonflyglade/operator/commands.h"
#include "tests/standins/kv_stand_in.h"

namespace dragonflyglade {
namespace {

struct CommandResult {
  int exit_code = 0;
  std::string out;
  std::string err;
};

using Command = int (*)(const std::vector<std::string>&, const CommandOutput&);

CommandResult RunCommand(Command command,
                         const std::vector<std::string>& arguments) {
  std::ostringstream out;
  std::ostringstream err;
  CommandResult result;
  result.exit_code = command(arguments, CommandOutput{out, err});
  result.out = out.str();
  result.err = err.str();
  return result;
}

struct CommandCase {
  Command command;
  std::vector<std::string> arguments;
  int exit_code;
  const char* text;  ///< expected in the output
};

class CommandsIntegration : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommandsIntegration);
  CPPUNIT_TEST(InvalidArgumentsAreReported);
  CPPUNIT_TEST(RecordIsAppliedChangedAndRetired);
  CPPUNIT_TEST(LostWriteResponseIsResolved);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->folder = std::filesystem::temp_directory_path() /
                   ("glade-commands-" + std::to_string(getpid()));
    std::filesystem::create_directories(this->folder);
  }
  void tearDown() override { std::filesystem::remove_all(this->folder); }

  std::string WriteFile(const char* name, const char* text) const {
    const std::string path = this->folder / name;
    std::ofstream(path) << text;
    return path;
  }

  void InvalidArgumentsAreReported() {
    const std::string invalid_record =
        this->WriteFile("bad.json", R"([{"kind":"rate"}])");
    const std::string settings =
        this->WriteFile("settings.json", R"({"name":1})");
    const std::vector<CommandCase> cases = {
        {RunConfigCommand, {}, kExitBadUse, "expected a config command"},
        {RunConfigCommand, {"--help"}, kExitDone, "use: dragonflyglade"},
        {RunConfigCommand, {"sing"}, kExitBadUse, "no such command: sing"},
        {RunConfigCommand,
         {"apply", invalid_record},
         kExitBadUse,
         "--kv ADDRESS:PORT"},
        {RunConfigCommand, {"validate"}, kExitBadUse, "expected a FILE"},
        {RunConfigCommand,
         {"validate", invalid_record},
         kExitBadUse,
         "record 1"},
        {RunConfigCommand,
         {"validate", "/nowhere"},
         kExitBadUse,
         "cannot be read"},
        {RunConfigCommand,
         {"get", "--kv", "host:1", "rate", "w"},
         kExitBadUse,
         "expected an IP number"},
        {RunConfigCommand,
         {"get", "--kv", "127.0.0.1:1", "rate"},
         kExitBadUse,
         "expected KIND NAME"},
        {RunConfigCommand,
         {"get", "--kv", "127.0.0.1:1", "rate", "w"},
         kExitFailed,
         "unavailable"},
        {RunConfigCommand,
         {"retire", "--kv", "127.0.0.1:1", "rate", "x"},
         kExitBadUse,
         "expected KIND SCHEMA"},
        {RunConfigCommand, {"apply", "--colour", "red"}, kExitBadUse, "colour"},
        {RunKeyCommand, {"grant"}, kExitBadUse, "expected grant WORKSPACE"},
        {RunKeyCommand, {"lend", "w"}, kExitBadUse, "expected grant"},
        {RunStatusCommand, {}, kExitBadUse, "--instance"},
        {RunStatusCommand,
         {"--instance", "127.0.0.1:1"},
         kExitFailed,
         "could not connect"},
        {RunAuditCommand, {"extra"}, kExitBadUse, "unexpected extra"},
        {RunServeCommand, {}, kExitBadUse, "expected --settings"},
        {RunServeCommand,
         {"--settings", "/nowhere"},
         kExitBadUse,
         "cannot be read"},
        {RunServeCommand,
         {"--settings", settings, "--check"},
         kExitBadUse,
         "name: expected string"},
    };
    for (const CommandCase& item : cases) {
      const CommandResult result = RunCommand(item.command, item.arguments);
      const std::string output = result.out + result.err;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(output, item.exit_code, result.exit_code);
      CPPUNIT_ASSERT_MESSAGE(output,
                             output.find(item.text) != std::string::npos);
    }
  }

  void RecordIsAppliedChangedAndRetired() {
    KvStandIn kv;
    const std::string kv_address = kv.Start().ToString();
    const std::string workspace = this->WriteFile(
        "w.json", R"({"kind":"workspace","schema":1,"name":"w","value":{}})");
    const std::string rate1 =
        this->WriteFile("r1.json", R"({"kind":"rate","schema":1,"name":"w",
                       "value":{"tokens_per_second":5,"burst_tokens":6}})");
    const std::string rate2 =
        this->WriteFile("r2.json", R"({"kind":"rate","schema":2,"name":"w",
                       "value":{"tokens":5,"per_seconds":1,"burst_tokens":6}})");
    const std::vector<CommandCase> cases = {
        {RunKeyCommand,
         {"grant", "--kv", kv_address, "w"},
         kExitFailed,
         "no such record"},
        {RunConfigCommand,
         {"apply", "--kv", kv_address, workspace},
         kExitDone,
         "applied 1 records at revision 2"},
        {RunConfigCommand,
         {"apply", "--kv", kv_address, rate1},
         kExitDone,
         "revision 3"},
        {RunConfigCommand,
         {"apply", "--kv", kv_address, rate1, "--expect-revision", "2"},
         kExitFailed,
         "changed by another writer"},
        {RunConfigCommand,
         {"apply", "--kv", kv_address, rate1, "--expect-revision", "3"},
         kExitDone,
         "revision 4"},
        {RunConfigCommand,
         {"retire", "--kv", kv_address, "rate", "1"},
         kExitFailed,
         "without a newer version: w"},
        {RunConfigCommand,
         {"apply", "--kv", kv_address, rate2},
         kExitDone,
         "revision 5"},
        {RunConfigCommand,
         {"retire", "--kv", kv_address, "rate", "1"},
         kExitDone,
         "retired rate up to v1"},
        {RunConfigCommand,
         {"retire", "--kv", kv_address, "rate", "2"},
         kExitBadUse,
         "before its newest"},
        {RunConfigCommand,
         {"get", "--kv", kv_address, "rate", "w"},
         kExitDone,
         "config/rate/v2/w at revision 5"},
        {RunConfigCommand,
         {"history", "--kv", kv_address, "rate", "w"},
         kExitDone,
         "config apply"},
        {RunKeyCommand, {"grant", "--kv", kv_address, "w"}, kExitDone, "dg_"},
        {RunKeyCommand,
         {"withdraw", "--kv", kv_address, "0123"},
         kExitFailed,
         "no such record"},
        {RunAuditCommand,
         {"--kv", kv_address, "--json"},
         kExitDone,
         "key grant"},
    };
    for (const CommandCase& item : cases) {
      const CommandResult result = RunCommand(item.command, item.arguments);
      const std::string output = result.out + result.err;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(output, item.exit_code, result.exit_code);
      CPPUNIT_ASSERT_MESSAGE(output,
                             output.find(item.text) != std::string::npos);
    }
  }

  // Failure: the key-value service commits a write but its response is lost,
  // and the command reports a conflict with its own write. The command finds
  // the audit entry written in the same transaction and reports success.
  void LostWriteResponseIsResolved() {
    KvStandIn kv;
    const std::string kv_address = kv.Start().ToString();
    const std::string workspace = this->WriteFile(
        "w.json", R"({"kind":"workspace","schema":1,"name":"w","value":{}})");
    kv.DropResponses(1);
    const CommandResult result =
        RunCommand(RunConfigCommand, {"apply", "--kv", kv_address, workspace});
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.err, kExitDone, result.exit_code);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, kv.Writes());
  }

 private:
  std::filesystem::path folder;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(CommandsIntegration,
                                      "integration-commands");

}  // namespace
}  // namespace dragonflyglade
