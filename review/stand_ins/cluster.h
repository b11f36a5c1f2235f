#pragma once

#include <sys/types.h>

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "record.h"
#include "relay.h"
#include "store.h"
#include "worker.h"

namespace review {

/// A program of the project as a separate process.
class node {
 public:
  node(std::string name, std::string program, std::filesystem::path folder,
       const std::string& settings);
  ~node();
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  void Start();
  void Signal(int number) const;
  /// Kills the process with SIGKILL and waits for its end.
  void Kill();
  /// @return whether the process has ended by itself; then `status` is that of waitpid
  bool HasEnded(int& status);
  const std::string& name() const { return name_; }

 private:
  std::string name_;
  std::string program_;
  std::filesystem::path folder_;
  pid_t pid_ = -1;
};

struct cluster_options {
  size_t entries = 2;
  size_t agents = 2;
  milliseconds heartbeat{1500};
};

/// A small deployment on loopback: entries, agents, their workers and the store.
class cluster {
 public:
  cluster(const cluster_options& options, record& notes);
  ~cluster();

  /// Starts everything and waits until all entries are ready and all workers have run a task.
  /// @return whether that took less than 20 s
  bool Start();
  /// Sends a job, as a client does.
  /// @param tasks number of tasks, of `task_ms` each
  /// @return status of the answer, or 0 without an answer
  int Submit(size_t entry, const std::string& id, size_t tasks, int64_t task_ms);
  /// The same, on the route with this prefix.
  int SubmitTo(const std::string& prefix, size_t entry, const std::string& id, size_t tasks,
               int64_t task_ms);
  /// Sends jobs at once, each to another entry in turn, and waits for their answers.
  /// @param sent_again whether a job without an answer, or with 502 or 504, is sent once more
  void SubmitMany(uint64_t first, size_t jobs, size_t tasks, int64_t task_ms,
                  bool sent_again = false);
  /// Writes a configuration as the operator does.
  /// @param prefixes of the routes
  void PutConfiguration(int version, int64_t timeout_ms, const std::vector<std::string>& prefixes);
  relay& StoreLink() { return store_link_; }
  const std::string& path_prefix() const { return path_prefix_; }
  /// @return the body of a job with one step
  std::string JobBody(size_t tasks, int64_t task_ms) const;
  std::string FrontOf(size_t entry) const;
  std::string ControlOf(size_t agent) const;
  node& EntryNode(size_t number) { return *entries_[number]; }
  node& AgentNode(size_t number) { return *agents_[number]; }
  worker& WorkerOf(size_t number) { return *workers_[number]; }
  store& Store() { return store_; }
  /// @return options for a further worker beside an agent
  worker_options OptionsOf(size_t agent, const std::string& id) const;
  const std::string& host() const { return host_; }
  /// @return an address at which nothing listens
  std::string ForeignAddress() const;
  /// Waits until a worker runs a task.
  /// @return its number, or nothing if none did in time
  std::optional<size_t> BusyWorker(int64_t limit_ms);
  /// Notes in the record which processes have ended by themselves.
  /// @return whether there was one
  bool NoteEnded();

 private:
  std::string Settings(const std::string& name, const std::string& kind, const std::string& ip,
                       size_t zone) const;
  bool ChooseAddresses();
  bool AwaitReady();
  bool WarmUp();

  cluster_options options_;
  record& notes_;
  std::filesystem::path folder_;
  std::string prefix_;  ///< of all loopback addresses of this deployment
  std::string service_;
  std::string host_;
  std::string path_prefix_;
  store store_;
  relay store_link_;  ///< between the store and all processes
  std::vector<std::unique_ptr<node>> entries_;
  std::vector<std::unique_ptr<node>> agents_;
  std::vector<std::unique_ptr<worker>> workers_;
};

/// @return whether the disruption is wanted: unless the variable TROUBLE is 0
bool WithTrouble();
/// Runs a case: the script's exit code is 1 if the rule was broken, 0 if it held, 2 if the case
/// could not run.
int RunCase(const cluster_options& options, const std::string& folder,
            const std::function<bool(cluster&, record&)>& play);
void SleepMs(int64_t time);
/// @return a job id of 16 hexadecimal digits
std::string JobId(uint64_t number);

}  // namespace review
