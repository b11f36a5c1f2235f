#include "services/dispatchd/load_monitor.h"

#include <sys/resource.h>
#include <time.h>

#include <algorithm>
#include <array>
#include <utility>

#include "logging/logging.h"

namespace wagtail::leased {
namespace {

constexpr duration kLogInterval = std::chrono::seconds(1);
constexpr std::array kDelaySecondsBounds = {0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0};

duration ToDuration(const timeval& value) {
  return std::chrono::seconds(value.tv_sec) + std::chrono::microseconds(value.tv_usec);
}

duration CpuTimeOf(int who) {
  rusage usage{};
  getrusage(who, &usage);
  return ToDuration(usage.ru_utime) + ToDuration(usage.ru_stime);
}

}  // namespace

load_monitor::load_monitor(metrics_registry& registry, instant now)
    : admission_seconds_(&registry
                              .Histograms("wagtail_entry_admission_delay_seconds",
                                          "Time from a request's arrival to its admission.",
                                          kDelaySecondsBounds)
                              .Add({})),
      loop_delay_seconds_(&registry
                               .Histograms("wagtail_entry_loop_delay_seconds",
                                           "Lateness of the event loop's timer.",
                                           kDelaySecondsBounds)
                               .Add({})),
      reports_(&registry.Counters("wagtail_entry_reports_total", "Reports of agents.").Add({})),
      orders_(
          &registry.Counters("wagtail_entry_order_messages_total", "Messages to agents.").Add({})),
      loop_cpu_seconds_(&registry
                             .Counters("wagtail_entry_loop_cpu_seconds_total",
                                       "CPU time of the event loop's thread in seconds.")
                             .Add({})),
      last_logged_(now),
      last_processor_time_(ProcessorTime()) {}

load_monitor::processor_time load_monitor::ProcessorTime() {
  return {.process = CpuTimeOf(RUSAGE_SELF), .loop = CpuTimeOf(RUSAGE_THREAD)};
}

void load_monitor::OnJobAdmitted(duration waited) {
  admission_seconds_->Observe(ToSeconds(waited));
  interval_.max_admission_delay = std::max(interval_.max_admission_delay, waited);
  ++interval_.jobs;
}

void load_monitor::OnTick(duration lateness) {
  loop_delay_seconds_->Observe(ToSeconds(lateness));
  interval_.max_loop_delay = std::max(interval_.max_loop_delay, lateness);
}

void load_monitor::OnReport() {
  reports_->Increment();
  ++interval_.reports;
}

void load_monitor::OnOrdersSent() {
  orders_->Increment();
  ++interval_.orders;
}

void load_monitor::LogUsage(instant now, const entry_totals& totals) {
  duration elapsed = now - last_logged_;
  if (elapsed < kLogInterval) {
    return;
  }
  processor_time used = ProcessorTime();
  duration loop = std::max(used.loop - last_processor_time_.loop, duration::zero());
  loop_cpu_seconds_->Increment(ToSeconds(loop));
  interval_totals interval = std::exchange(interval_, {});
  LogFact(log_level::kInfo, "processor_use",
          {{"of_ms", ToMilliseconds(elapsed)},
           {"process_ms", ToMilliseconds(used.process - last_processor_time_.process)},
           {"loop_ms", ToMilliseconds(loop)},
           {"loop_delay_ms", ToMilliseconds(interval.max_loop_delay)},
           {"admission_delay_ms", ToMilliseconds(interval.max_admission_delay)},
           {"jobs", interval.jobs},
           {"reports", interval.reports},
           {"order_messages", interval.orders},
           {"refused_busy", totals.refused_busy - last_totals_.refused_busy},
           {"plan_copies", totals.plan_copies - last_totals_.plan_copies},
           {"plan", totals.plan_version},
           {"store_answered_ms_ago", ToMilliseconds(now - totals.store_answered)}});
  last_logged_ = now;
  last_processor_time_ = used;
  last_totals_ = totals;
}

}  // namespace wagtail::leased
