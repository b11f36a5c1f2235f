#include "tests/process/child_process.h"

#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <string>

#include "absl/strings/str_cat.h"
// Included last: CppUTest's macros must not affect the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

/// @return the program that a process runs as its command line names it; empty if it has ended
std::string ProgramOf(pid_t pid) {
  std::ifstream command_line(absl::StrCat("/proc/", pid, "/cmdline"));
  std::string program;
  std::getline(command_line, program, '\0');
  return program;
}

}  // namespace

TEST_GROUP(ChildProcess) {
  std::string folder = (std::filesystem::temp_directory_path() / "wagtail-child-XXXXXX").string();

  void setup() override { CHECK(mkdtemp(folder.data()) != nullptr); }
  void teardown() override { std::filesystem::remove_all(folder); }
};

// A child that was stopped before it ran its program held the listeners of the test.
TEST(ChildProcess, RunsItsProgramOnceItExists) {
  constexpr int kChildren = 50;
  const std::string test = ProgramOf(getpid());
  for (int number = 0; number < kChildren; ++number) {
    child_process child("wagtail-agentd", folder, "child", "", settings_way::kNodeFile);
    CHECK(ProgramOf(child.pid()) != test);
  }
}

}  // namespace wagtail
