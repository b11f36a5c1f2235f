#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
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
  bool keeps_id = false;  ///< the next incarnation has the same id
  duration run_time = std::chrono::milliseconds(120);
  uint64_t seed = 1;
};

/// Target with leases and fences behind HTTP, reached through a relay. Reports each run to the
/// checker, and sends heartbeats and notices to the agent on its VM.
class soak_target {
 public:
  soak_target(const soak_target_options& options, run_checker& checker);
  ~soak_target();

  /// What a target says of itself to its agent. May be sent late, after the end of its incarnation.
  struct message {
    std::string path;
    std::string body;
  };

  /// Ends all runs at once and cuts the connections.
  void Crash();
  /// Begins the next incarnation, if the target is down.
  void Restart();
  /// @return number of the present incarnation, or nothing while the target is down
  std::optional<uint64_t> Incarnation();
  /// Announces at once that the target drains; it serves until it crashes.
  void Drain();
  message Heartbeat();
  /// @param tells_incarnation whether the notice has a body
  message Deregistration(bool tells_incarnation);
  /// Sends a message from the target's own thread, after those sent before.
  void Send(message sent);
  tcp_relay& relay() { return *relay_; }
  const std::string& domain() const { return options_.domain; }
  /// Share of the calls that are carried out up to seconds late, and so may be answered too late.
  std::atomic<double> late_orders = 0;
  void SetFailing(double share);

 private:
  http_response Answer(const http_request& request);
  http_response Start(const std::string& body);
  http_response Stop(const std::string& body);
  http_response Renew(const std::string& body);
  /// @return the delay of the next call, if it is to be carried out late
  std::optional<duration> DrawDelay();
  void CheckCapacity();
  void AdvanceTime();
  void SendMessages();
  /// @return the next message to send, or nothing if none is due before the next heartbeat
  std::optional<message> NextMessage(instant heartbeat);
  std::string AnnouncementBody();
  void Deliver(const message& sent) const;

  soak_target_options options_;
  run_checker& checker_;
  std::mutex mutex_;  ///< guards the time, the target and its messages
  virtual_time time_;
  instant started_at_;
  std::mt19937_64 random_;
  unsigned running_ = 0;
  bool draining_ = false;
  std::deque<message> outbox_;
  std::condition_variable outbox_changed_;
  std::unique_ptr<fake_leased_target> target_;
  std::atomic<bool> stopping_ = false;
  std::unique_ptr<http_server> server_;
  std::unique_ptr<tcp_relay> relay_;
  std::jthread clock_;
  std::jthread messages_;
};

}  // namespace wagtail::leased
