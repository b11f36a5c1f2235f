#include "cluster.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>

namespace review {
namespace {

using json = nlohmann::json;

constexpr int kFront = 8161;
constexpr int kControl = 8166;
constexpr int kReady = 8167;
constexpr int kStorePort = 8169;
constexpr int kStoreLinkPort = 8168;
constexpr int kWorkerPort = 8165;
constexpr int kForeignPort = 8171;
constexpr int64_t kStartLimitMs = 20'000;
constexpr int64_t kDeadlineMs = 1500;
constexpr int64_t kResendMs = 1300;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;
constexpr std::array kZones = {"kandy-a", "peradeniya-b", "katugastota-c"};

std::string At(const std::string& ip, int port) { return ip + ":" + std::to_string(port); }

}  // namespace

node::node(std::string name, std::string program, std::filesystem::path folder,
           const std::string& settings)
    : name_(std::move(name)), program_(std::move(program)), folder_(std::move(folder)) {
  std::ofstream(folder_ / (name_ + ".conf")) << settings;
}

node::~node() { Kill(); }

void node::Start() {
  std::string setting = "WAGTAILPLANK_NODE_FILE=" + (folder_ / (name_ + ".conf")).string();
  std::string log = (folder_ / (name_ + ".log")).string();
  std::string path = "PATH=/usr/bin:/bin";
  std::array<char*, 2> arguments = {program_.data(), nullptr};
  std::array<char*, 3> environment = {setting.data(), path.data(), nullptr};
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execve(program_.c_str(), arguments.data(), environment.data());
    _exit(127);
  }
}

void node::Signal(int number) const {
  if (pid_ > 0) {
    kill(pid_, number);
  }
}

void node::Kill() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
}

bool node::HasEnded(int& status) {
  if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
    pid_ = -1;
    return true;
  }
  return false;
}

cluster::cluster(const cluster_options& options, record& notes) : options_(options), notes_(notes) {
  std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  folder_ = mkdtemp(pattern.data());
  service_ = "court-controller";
  host_ = "desk.example";
  path_prefix_ = "/dim/";
}

cluster::~cluster() {
  entries_.clear();
  agents_.clear();
  workers_.clear();
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(folder_);
  } else {
    std::fprintf(stderr, "logs in %s\n", folder_.c_str());
  }
}

std::string cluster::FrontOf(size_t entry) const {
  return At(prefix_ + "1." + std::to_string(entry + 1), kFront);
}

std::string cluster::ControlOf(size_t agent) const {
  return At(prefix_ + "2." + std::to_string(agent + 1), kControl);
}

std::string cluster::ForeignAddress() const { return At(prefix_ + "9.1", kForeignPort); }

worker_options cluster::OptionsOf(size_t agent, const std::string& id) const {
  return {.id = id,
          .address = At(prefix_ + "2." + std::to_string(agent + 1), kWorkerPort),
          .control = ControlOf(agent),
          .zone = kZones[agent % kZones.size()],
          .service = service_,
          .heartbeat = options_.heartbeat};
}

std::string cluster::Settings(const std::string& name, const std::string& kind,
                              const std::string& ip, size_t zone) const {
  bool edge = kind == "edge";
  std::string seeds;
  for (size_t number = 0; number < options_.entries; ++number) {
    seeds += (number > 0 ? "," : "") + At(prefix_ + "1." + std::to_string(number + 1), kControl);
  }
  std::string text = "node=" + name + "\nrole=" + (edge ? "entry" : "agent") +
                     "\nmachine_class=" + kind + "\nserves=" + (edge ? "edge,control" : "side") +
                     "\nip=" + ip + "\nzone=" + kZones[zone % kZones.size()] +
                     "\nregion=lk-central\nzones.kandy-a=lk-central\nzones.peradeniya-b=lk-central"
                     "\nzones.katugastota-c=lk-central\n";
  if (edge) {
    text += "listen.front=" + At(ip, kFront) + "\nlisten.ready=" + At(ip, kReady) + "\n";
  } else {
    text += "app=" + At(ip, kWorkerPort) + "\nservice=" + service_ + "\n";
  }
  return text + "listen.control=" + At(ip, kControl) + "\nport_range=7720,7735\nseeds=" + seeds +
         "\nbootstrap=true\ntolerance_member=false\ndiscovery=local\nentry=vip\n"
         "heartbeat_ms=1500\nbounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.drain_ms=2000\n"
         "bounds.grace_s=6\nbounds.config_apply_ms=2000\nbounds.max_hold_ms=1000\n"
         "bounds.stop_timeout_ms=50\nbounds.cancel_ms=3000\nbounds.resend_ms=1300\n"
         "orders=rpc\nplatform.addr=" +
         At(prefix_ + "0.1", kStoreLinkPort) + "\nplatform.form=table\nplatform.across=true\n";
}

bool cluster::ChooseAddresses() {
  constexpr int kFirst = 20;
  constexpr int kCount = 200;
  for (int tried = 0; tried < kCount; ++tried) {
    prefix_ = "127." + std::to_string(kFirst + (getpid() + tried) % kCount) + ".";
    // The store's listener reserves the prefix for this deployment.
    if (store_.Start(At(prefix_ + "0.1", kStorePort))) {
      return true;
    }
  }
  return false;
}

bool cluster::Start() {
  if (!ChooseAddresses() ||
      !store_link_.Start(At(prefix_ + "0.1", kStoreLinkPort), At(prefix_ + "0.1", kStorePort))) {
    return false;
  }
  PutConfiguration(7, kDeadlineMs, {path_prefix_});
  for (size_t number = 0; number < options_.entries; ++number) {
    std::string name = "edge-" + std::to_string(number + 1);
    std::string ip = prefix_ + "1." + std::to_string(number + 1);
    entries_.push_back(std::make_unique<node>(name, "target/bin/wagtail-dispatchd", folder_,
                                              Settings(name, "edge", ip, number)));
    entries_.back()->Start();
  }
  for (size_t number = 0; number < options_.agents; ++number) {
    std::string name = "side-" + std::to_string(number + 1);
    std::string ip = prefix_ + "2." + std::to_string(number + 1);
    agents_.push_back(std::make_unique<node>(name, "target/bin/wagtail-agentd", folder_,
                                             Settings(name, "side", ip, number)));
    agents_.back()->Start();
    workers_.push_back(
        std::make_unique<worker>(OptionsOf(number, "i-" + std::to_string(number + 1)), notes_));
    if (!workers_.back()->Start()) {
      return false;
    }
  }
  return AwaitReady() && WarmUp();
}

void cluster::PutConfiguration(int version, int64_t timeout_ms,
                               const std::vector<std::string>& prefixes) {
  json routes = json::array();
  for (const std::string& prefix : prefixes) {
    routes.push_back({{"name", "r" + std::to_string(routes.size())},
                      {"host", host_},
                      {"path_prefix", prefix},
                      {"service", service_},
                      {"kind", "unsafe"},
                      {"timeout_ms", timeout_ms},
                      {"target_latency_ms", 60},
                      {"max_attempts", 4},
                      {"priority", 1},
                      {"stretch", 1.6}});
  }
  json service = {{"name", service_},
                  {"health_path", "/health"},
                  {"max_conns", 64},
                  {"rejects_overload", true}};
  json configuration = {{"version", version},
                        {"routes", routes},
                        {"services", json::array({service})},
                        {"limits", {{"max_body_bytes", 262144}}}};
  store_.Put("op", "config", configuration.dump());
  notes_.Write("the store has acknowledged version " + std::to_string(version) + " with " +
               std::to_string(prefixes.size()) + " routes");
}

bool cluster::AwaitReady() {
  int64_t end = NowMs() + kStartLimitMs;
  for (size_t number = 0; number < options_.entries; ++number) {
    std::string ready = At(prefix_ + "1." + std::to_string(number + 1), kReady);
    while (true) {
      auto answer = Call(ready, {.method = "GET", .target = "/-/ready"}, milliseconds(500));
      if (answer.has_value() && answer->status == 200) {
        break;
      }
      if (NowMs() > end) {
        return false;
      }
      SleepMs(50);
    }
  }
  return true;
}

bool cluster::WarmUp() {
  // Ten tasks fit on a worker: wide jobs reach all of them once all sessions are open.
  SleepMs(2000);
  int64_t end = NowMs() + kStartLimitMs;
  uint64_t number = 0xabc00000;
  for (size_t entry = 0; entry < options_.entries; ++entry) {
    while (Submit(entry, JobId(number++), std::min<size_t>(10 * options_.agents, 32), 50) != 200) {
      if (NowMs() > end) {
        return false;
      }
      SleepMs(200);
    }
  }
  SleepMs(500);
  return true;
}

void cluster::SubmitMany(uint64_t first, size_t jobs, size_t tasks, int64_t task_ms,
                         bool sent_again) {
  std::vector<std::thread> clients;
  for (size_t number = 0; number < jobs; ++number) {
    clients.emplace_back([this, first, number, tasks, task_ms, sent_again] {
      int status = Submit(number % options_.entries, JobId(first + number), tasks, task_ms);
      if (sent_again && (status == 0 || status == kBadGateway || status == kGatewayTimeout)) {
        SleepMs(kResendMs);
        Submit((number + 1) % options_.entries, JobId(first + number), tasks, task_ms);
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
}

std::string cluster::JobBody(size_t tasks, int64_t task_ms) const {
  json body = {
      {"job_spec", std::to_string(task_ms) + " ms each"},
      {"best_effort", true},
      {"steps", {{{"count", tasks}, {"cpu", 6200}, {"mem_mb", 64}, {"estimate_ms", task_ms}}}}};
  return body.dump();
}

int cluster::Submit(size_t entry, const std::string& id, size_t tasks, int64_t task_ms) {
  return SubmitTo(path_prefix_, entry, id, tasks, task_ms);
}

int cluster::SubmitTo(const std::string& prefix, size_t entry, const std::string& id, size_t tasks,
                      int64_t task_ms) {
  notes_.Write("client sends job " + id + " to edge-" + std::to_string(entry + 1) + ", path " +
               prefix);
  auto answer = Call(FrontOf(entry),
                     {.method = "POST",
                      .target = prefix + id,
                      .headers = {{"host", host_}, {"deadline-ms", std::to_string(kDeadlineMs)}},
                      .body = JobBody(tasks, task_ms)},
                     milliseconds(kDeadlineMs));
  notes_.Write("client's answer to job " + id + ": " +
               (answer ? std::to_string(answer->status) + " " + answer->body : "none"));
  return answer ? answer->status : 0;
}

std::optional<size_t> cluster::BusyWorker(int64_t limit_ms) {
  int64_t end = NowMs() + limit_ms;
  do {
    for (size_t number = 0; number < workers_.size(); ++number) {
      if (workers_[number]->Running() > 0) {
        return number;
      }
    }
    SleepMs(5);
  } while (NowMs() < end);
  return std::nullopt;
}

bool cluster::NoteEnded() {
  bool any = false;
  for (const auto* list : {&entries_, &agents_}) {
    for (const auto& each : *list) {
      int status = 0;
      if (each->HasEnded(status)) {
        any = true;
        notes_.Write("process " + each->name() + " has ended by itself, " +
                     (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                          : "exit code " + std::to_string(WEXITSTATUS(status))));
      }
    }
  }
  return any;
}

bool WithTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

int RunCase(const cluster_options& options, const std::string& folder,
            const std::function<bool(cluster&, record&)>& play) {
  constexpr int kHeld = 0;
  constexpr int kBroken = 1;
  constexpr int kCouldNotRun = 2;
  signal(SIGPIPE, SIG_IGN);
  record notes(folder + "/record.txt");
  notes.Write(WithTrouble() ? "with the disruption" : "without the disruption");
  cluster deployment(options, notes);
  if (!deployment.Start()) {
    notes.Write("could not run: the deployment did not start");
    return kCouldNotRun;
  }
  notes.Write("the deployment is ready");
  if (!play(deployment, notes)) {
    notes.Write("could not run: the case did not come about");
    return kCouldNotRun;
  }
  notes.Write(notes.IsBroken() ? "result: the rule was broken" : "result: the rule held");
  return notes.IsBroken() ? kBroken : kHeld;
}

void SleepMs(int64_t time) { std::this_thread::sleep_for(milliseconds(time)); }

std::string JobId(uint64_t number) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
  return text.data();
}

}  // namespace review
