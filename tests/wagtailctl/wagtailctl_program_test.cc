#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http/http_server.h"
#include "settings/settings_text.h"
#include "tests/wagtailctl/command_run.h"
#include "tests/wagtailctl/fake_entry.h"
// Included last: CppUTest's macros would break the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

struct program_result {
  int code = -1;
  std::string out;
  std::string err;
};

/// Runs the built wagtailctl and waits for its exit.
program_result RunProgram(const std::vector<std::string>& arguments) {
  const temporary_file out("");
  const temporary_file err("");
  std::vector<std::string> words = {std::string(std::getenv("WAGTAIL_BIN")) + "/wagtailctl"};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<char*> argv;
  std::ranges::transform(words, std::back_inserter(argv),
                         [](std::string& word) { return word.data(); });
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, out.path().c_str(), O_WRONLY, 0);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, err.path().c_str(), O_WRONLY, 0);
  pid_t child = 0;
  CHECK(posix_spawn(&child, argv[0], &actions, nullptr, argv.data(), environ) == 0);
  posix_spawn_file_actions_destroy(&actions);
  int status = 0;
  CHECK(waitpid(child, &status, 0) == child);
  CHECK(WIFEXITED(status));
  return {.code = WEXITSTATUS(status),
          .out = *ReadTextFile(out.path()),
          .err = *ReadTextFile(err.path())};
}

}  // namespace

TEST_GROUP(WagtailctlProgram) {
  std::mutex mutex;
  fake_entry entry;
  std::unique_ptr<http_server> server;
  std::string url;

  void setup() override {
    auto started = http_server::Start({}, [this](const http_request& request) {
      const std::lock_guard<std::mutex> lock(mutex);
      return entry.Handle(request);
    });
    CHECK(started.ok());
    server = *std::move(started);
    url = "http://127.0.0.1:" + std::to_string(server->port());
  }

  void teardown() override { server.reset(); }
};

TEST(WagtailctlProgram, ExitCodes) {
  LONGS_EQUAL(0, RunProgram({"--help"}).code);
  LONGS_EQUAL(0, RunProgram({"--version"}).code);
  LONGS_EQUAL(2, RunProgram({}).code);
  LONGS_EQUAL(2, RunProgram({"status"}).code);
  LONGS_EQUAL(2, RunProgram({"--entry", url, "leave", "rack", "r-1"}).code);
  LONGS_EQUAL(1, RunProgram({"--entry", "http://127.0.0.1:1", "status"}).code);
}

TEST(WagtailctlProgram, ChangesAndReadsOverHttp) {
  const temporary_file token("amaras-token");
  const program_result left =
      RunProgram({"--entry", "http://127.0.0.1:1", "--entry", url, "--token-file", token.path(),
                  "leave", "domain", "kandy-1", "--wait"});
  LONGS_EQUAL(0, left.code);
  STRCMP_CONTAINS("version 5 committed by change ", left.out.c_str());
  STRCMP_CONTAINS("version 5 is in force everywhere", left.out.c_str());
  STRCMP_EQUAL("Bearer amaras-token", entry.requests_.back().headers.at("authorization").c_str());
  const program_result again = RunProgram({"--entry", url, "leave", "domain", "kandy-1"});
  LONGS_EQUAL(1, again.code);
  STRCMP_CONTAINS("kandy-1 is leaving already", again.err.c_str());
}

}  // namespace wagtail
