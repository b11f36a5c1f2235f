#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>

#include "http/http_server.h"
#include "tests/fault_soak/run_checker.h"
#include "tests/one_run/fake_leased_target.h"
#include "tests/one_run/virtual_time.h"
#include "tests/support/tcp_relay.h"

namespace wagtail::leased {

struct soak_target_options {
  std::string id = "target";
  std::string ip = "127.0.0.1";
  std::string domain = "zone-1";
  std::string control{};  ///< IP:PORT of the agent's control address
  bool keeps_id = false;  ///< the next life has the same id
  duration run_time = std::chrono::milliseconds(120);
  uint64_t seed = 1;
};

/// A target with leases and fences behind HTTP, reached through a relay. Tells the watch of each
/// run, and sends heartbeats to the agent beside it.
class soak_target {
 public:
  soak_target(const soak_target_options& options, run_checker& watch);
  ~soak_target();

  /// Ends everything at once, connections included.
  void Crash();
  void Restart();
  tcp_relay& relay() { return *relay_; }
  const std::string& domain() const { return options_.domain; }
  /// Share of the starts that are carried out seconds later, or answered too late.
  std::atomic<double> late_orders = 0;
  void SetFailing(double share);

 private:
  http_response Answer(const http_request& request);
  http_response Start(const std::string& body);
  http_response Stop(const std::string& body);
  http_response Hold(const std::string& body);
  /// @return by how much the next call is carried out late, if it is
  std::optional<duration> Lateness();
  void CheckRoom();
  void KeepTime();
  void SendHeartbeats();

  soak_target_options options_;
  run_checker& watch_;
  std::mutex mutex_;  ///< of the time and the target
  virtual_time time_;
  instant began_;
  std::mt19937_64 random_;
  unsigned running_ = 0;
  std::unique_ptr<fake_leased_target> target_;
  std::atomic<bool> ending_ = false;
  std::unique_ptr<http_server> server_;
  std::unique_ptr<tcp_relay> relay_;
  std::jthread clock_;
  std::jthread heartbeats_;
};

}  // namespace wagtail::leased
