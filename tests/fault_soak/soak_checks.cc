#include <algorithm>
#include <csignal>
#include <fstream>
#include <future>
#include <iterator>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "tests/fault_soak/soak_cluster.h"

/// @file
/// What soak_cluster checks before and after the faults.

namespace wagtail::leased {
namespace {

using json = nlohmann::json;

constexpr duration kEvacuationTime = std::chrono::seconds(5);

/// Writes down what the threads of a process that does not end are doing, as far as /proc tells.
void NoteThreads(pid_t pid, const std::filesystem::path& note) {
  std::ofstream out(note);
  std::error_code gone;
  std::filesystem::directory_iterator thread(absl::StrCat("/proc/", pid, "/task"), gone);
  for (; thread != std::filesystem::directory_iterator(); thread.increment(gone)) {
    for (const char* name : {"status", "wchan", "syscall", "stack"}) {
      std::ifstream file(thread->path() / name);
      out << name << ": "
          << std::string{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()}
          << "\n";
    }
  }
}

}  // namespace

void soak_cluster::CheckRecovery() {
  constexpr unsigned kConsecutiveJobs = 4;
  for (const loopback_address& front : FrontAddresses()) {
    unsigned consecutive_jobs = 0;
    soak_caller caller(random_(), {front}, checker_);
    bool served = Eventually([&] {
      consecutive_jobs = caller.SubmitJob(true) ? consecutive_jobs + 1 : 0;
      return consecutive_jobs >= kConsecutiveJobs;
    });
    if (!served) {
      checker_.ReportViolation("does not complete jobs after the faults: " + front.ip);
    }
  }
}

void soak_cluster::CheckEvacuation() {
  std::string domain = Domain(0);
  EvacuateDomain(domain);
  std::this_thread::sleep_for(kEvacuationTime);
  unsigned before = checker_.BegunAt(domain + "/");
  CheckRecovery();
  if (checker_.BegunAt(domain + "/") != before) {
    checker_.ReportViolation("starts in a failure domain taken out of service");
  }
  ReturnDomain();
}

void soak_cluster::CheckPlannedStop() {
  cluster_vm& stopped = RandomVm(true);
  std::vector<std::future<bool>> callers;
  constexpr unsigned kCallers = 12;
  constexpr uint32_t kTasks = 2;
  for (unsigned number = 0; number < kCallers; ++number) {
    std::string request = JobRequest(absl::StrFormat("%016x", random_()), kTasks);
    callers.push_back(std::async(std::launch::async, [&stopped, request] {
      open_connection connection({.ip = stopped.ip, .port = kFrontPort});
      return connection.SendRequest(request, kGrace).has_value();
    }));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(60));
  stopped.process->Kill(SIGTERM);
  std::optional<int> code = stopped.process->WaitExit(kGrace + std::chrono::seconds(2));
  if (code != 0) {
    NoteThreads(stopped.process->pid(), folder_ / (stopped.name + ".threads"));
    checker_.ReportViolation(absl::StrCat(
        stopped.name, " did not end with exit code 0 on SIGTERM: ", code.has_value() ? *code : -1));
  }
  for (std::future<bool>& answered : callers) {
    if (!answered.get()) {
      checker_.ReportViolation(stopped.name + " left a request without an answer when stopped");
    }
  }
}

void soak_cluster::CheckLogs() {
  for (auto* list : {&entries_, &agents_}) {
    for (const auto& each : *list) {
      if (each->process == nullptr) {
        continue;
      }
      std::vector<std::string> lines = absl::StrSplit(each->process->StandardOutput(), '\n');
      lines.pop_back();  // after the last newline: empty, or a line cut short by a kill
      uint64_t plan_revision = 0;
      for (const std::string& line : lines) {
        json fact = json::parse(line, nullptr, false);
        bool valid = fact.is_object() && fact.value("time", "").size() == 27 &&
                     !fact.value("level", "").empty() && !fact.value("fact", "").empty();
        if (!valid) {
          checker_.ReportViolation("invalid log line of " + each->name + ": " + line);
          continue;
        }
        std::string name = fact["fact"];
        uint64_t revision = fact.value("revision", uint64_t{0});
        if (name == "plan_taken" && revision < plan_revision) {
          checker_.ReportViolation("plan of " + each->name + " went back: " + line);
        }
        bool begins = name == "started";
        plan_revision = begins ? 0 : std::max(plan_revision, revision);
      }
    }
  }
}

}  // namespace wagtail::leased
