#include "services/dispatchd/load_monitor.h"

#include <sys/resource.h>
#include <time.h>

#include <algorithm>
#include <array>
#include <utility>

#include "logging/logging.h"

namespace wagtail::leased {
namespace {

constexpr duration kTellEvery = std::chrono::seconds(1);
constexpr std::array kDelaySecondsBounds = {0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0};

duration ToDuration(const timeval& value) {
  return std::chrono::seconds(value.tv_sec) + std::chrono::microseconds(value.tv_usec);
}

duration UsedBy(int who) {
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
      told_(now),
      used_(ProcessorTime()) {}

load_monitor::processor_time load_monitor::ProcessorTime() {
  return {.process = UsedBy(RUSAGE_SELF), .loop = UsedBy(RUSAGE_THREAD)};
}

void load_monitor::Admitted(duration waited) {
  admission_seconds_->Observe(ToSeconds(waited));
  span_.longest_admission = std::max(span_.longest_admission, waited);
  ++span_.jobs;
}

void load_monitor::Ticked(duration late) {
  loop_delay_seconds_->Observe(ToSeconds(late));
  span_.longest_delay = std::max(span_.longest_delay, late);
}

void load_monitor::OnReport() {
  reports_->Increment();
  ++span_.reports;
}

void load_monitor::Ordered() {
  orders_->Increment();
  ++span_.orders;
}

void load_monitor::Tell(instant now, uint64_t refused_busy) {
  duration passed = now - told_;
  if (passed < kTellEvery) {
    return;
  }
  processor_time used = ProcessorTime();
  duration loop = std::max(used.loop - used_.loop, duration::zero());
  loop_cpu_seconds_->Increment(ToSeconds(loop));
  span told = std::exchange(span_, {});
  LogFact(log_level::kInfo, "processor_use",
          {{"of_ms", ToMilliseconds(passed)},
           {"process_ms", ToMilliseconds(used.process - used_.process)},
           {"loop_ms", ToMilliseconds(loop)},
           {"loop_delay_ms", ToMilliseconds(told.longest_delay)},
           {"admission_delay_ms", ToMilliseconds(told.longest_admission)},
           {"jobs", told.jobs},
           {"reports", told.reports},
           {"order_messages", told.orders},
           {"refused_busy", refused_busy - refused_busy_}});
  told_ = now;
  used_ = used;
  refused_busy_ = refused_busy;
}

}  // namespace wagtail::leased
