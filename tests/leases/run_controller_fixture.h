#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "leases/run_controller.h"
// Included last: CppUTest's macros must not affect the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::leased {

inline constexpr instant kStart{std::chrono::seconds(1000)};
inline constexpr session_id kSession = 7;
inline constexpr uint64_t kFirstFence = 500;

inline duration Ms(int64_t count) { return std::chrono::milliseconds(count); }

/// A run controller whose calls, results and time are those of the test.
struct run_controller_fixture : public Utest {
  std::vector<start_call> starts;
  std::vector<stop_call> stops;
  std::vector<renew_call> renewals;
  std::vector<run_result> results;
  std::set<uint64_t> answered_renewals;
  instant now = kStart;
  uint64_t announcements = 0;
  run_controller controller{run_controller_options{.fence = kFirstFence},
                            [this](const target_call& call) { Record(call); },
                            [this](const run_result& result) { results.push_back(result); },
                            [](const run_log_event&) {}};

  void Record(const target_call& call) {
    if (const auto* start = std::get_if<start_call>(&call)) {
      starts.push_back(*start);
    } else if (const auto* stop = std::get_if<stop_call>(&call)) {
      stops.push_back(*stop);
    } else {
      renewals.push_back(std::get<renew_call>(call));
    }
  }
  int64_t ClockMs() const { return ToMilliseconds(now - kStart) + 9000; }
  target_announcement MakeAnnouncement(const std::string& id = "i-1", int64_t start_time_ms = 1) {
    return {.id = id,
            .start_time_ms = start_time_ms,
            .service = "lights",
            .address = "10.0.0.1:80",
            .domain = "zone-1",
            .capacity = {.cpu = 10'000, .mem_mb = 1000, .gpu = 0},
            .clock_ms = ClockMs(),
            .sequence = ++announcements};
  }
  /// Answers the newest renewal that has no answer yet.
  void AnswerRenewal(const std::vector<reported_run>& running = {},
                     const std::vector<reported_end>& ended = {}) {
    auto open = std::find_if(renewals.rbegin(), renewals.rend(), [this](const renew_call& each) {
      return !answered_renewals.contains(each.serial);
    });
    CHECK(open != renewals.rend());
    answered_renewals.insert(open->serial);
    controller.OnRenewAnswered(open->serial,
                               {.clock_ms = ClockMs(), .running = running, .ended = ended}, now);
  }
  void Ready() {
    controller.OnTargetAnnounced(MakeAnnouncement(), now);
    AnswerRenewal();
    controller.OnSessionOpened(kSession, now);
    CHECK(controller.Ready());
  }
  /// The target announces that it is about to end.
  void AnnounceDraining() {
    target_announcement leaving = MakeAnnouncement();
    leaving.draining = true;
    controller.OnTargetAnnounced(leaving, now);
  }
  /// Starts a first run on a target that serves.
  void StartFirst() {
    Ready();
    controller.Order(MakeOrder(1), now);
    controller.OnStartAnswered(starts.at(0).serial, start_answer::kStarted, ClockMs(), now);
  }
  run_order MakeOrder(uint64_t number, int64_t cpu = 4000, session_id session = kSession) {
    return {.session = session,
            .order = number,
            .task = {.job = "00ff", .step = 0, .index = static_cast<uint32_t>(number)},
            .text = std::make_shared<const std::string>("on"),
            .resources = {.cpu = cpu, .mem_mb = 10, .gpu = 0},
            .estimate = Ms(100)};
  }
  /// Ends a first run after exactly its estimate.
  void LearnSpeed() {
    controller.Order(MakeOrder(100), now);
    controller.OnStartAnswered(starts.at(0).serial, start_answer::kStarted, ClockMs(), now);
    Advance(Ms(100));
    AnswerRenewal({}, {{.number = 1, .task = starts[0].task, .run = 1, .kind = end_kind::kDone}});
  }
  void Advance(duration span) {
    now += span;
    controller.OnReportAnswered(kSession, now);
    controller.Tick(now);
  }
  /// The target's process ends: the open renewal breaks, and so do all later connections.
  void TargetCrashes() {
    controller.OnRenewFailed(renewals.back().serial, renew_failure::kNoAnswer, now);
    controller.OnRenewFailed(renewals.back().serial, renew_failure::kNoListener, now);
  }
  reported_run RunOf(const start_call& start) { return {.task = start.task, .run = start.run}; }
};

}  // namespace wagtail::leased
