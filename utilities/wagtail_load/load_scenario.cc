#include "wagtail_load/load_scenario.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/str_format.h"
#include "base/identifiers.h"
#include "settings/settings_text.h"
#include "wagtail_load/load_error.h"

namespace wagtail {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr size_t kMaxListItems = 100;
constexpr size_t kMaxPages = 4000;
constexpr uint64_t kMaxResubmissions = 5;
constexpr value_range<double> kWeights{.least = 0.001, .most = 1e6};
constexpr value_range<duration> kTimesOfRun{.least = milliseconds(0), .most = hours(24)};

bool IsEntryUrl(std::string_view url) {
  constexpr std::string_view kScheme = "http://";
  return url.starts_with(kScheme) && url.find('/', kScheme.size()) == std::string_view::npos &&
         url.find(':', kScheme.size()) != std::string_view::npos;
}

void ReadArrivals(object_reader& reader, load_scenario& plan) {
  reader.Objects("arrivals", kMaxListItems, [&](object_reader& item) {
    arrival_phase phase;
    phase.from = item.Milliseconds("from_ms", milliseconds(0), kTimesOfRun);
    phase.jobs_per_second = item.Number("jobs_per_second", 0, {.least = 0, .most = 100'000});
    if (!plan.arrivals.empty() && phase.from <= plan.arrivals.back().from) {
      item.Refuse("from_ms", "a later time than that of the phase before");
    }
    plan.arrivals.push_back(phase);
  });
  if (plan.arrivals.empty() || plan.arrivals.front().from != duration::zero()) {
    reader.Refuse("arrivals", "at least one phase, the first with from_ms 0");
  }
}

void ReadMixes(object_reader& reader, load_scenario& plan) {
  reader.NamedObjects(
      "services", kMaxListItems, {}, [&](const std::string& name, object_reader& item) {
        plan.services.push_back({.name = name, .weight = item.Number("weight", 1, kWeights)});
      });
  reader.Objects("job_sizes", kMaxListItems, [&](object_reader& item) {
    auto tasks = item.RequiredUnsigned("tasks", {.least = 1, .most = kMaxTasksPerJob});
    plan.job_sizes.push_back(
        {.tasks = static_cast<uint32_t>(tasks), .weight = item.Number("weight", 1, kWeights)});
  });
  reader.Objects("run_times", kMaxListItems, [&](object_reader& item) {
    constexpr value_range<duration> kRunTimes{.least = milliseconds(1), .most = minutes(10)};
    run_time_share share;
    share.least = item.Milliseconds("least_ms", milliseconds(0), kRunTimes);
    share.most = item.Milliseconds("most_ms", milliseconds(0), kRunTimes);
    share.weight = item.Number("weight", 1, kWeights);
    if (share.least > share.most || share.least == duration::zero()) {
      item.Refuse("least_ms", "least_ms and most_ms, the first at most the second");
    }
    plan.run_times.push_back(share);
  });
  for (auto [key, empty] : {std::pair{"services", plan.services.empty()},
                            std::pair{"job_sizes", plan.job_sizes.empty()},
                            std::pair{"run_times", plan.run_times.empty()}}) {
    if (empty) {
      reader.Refuse(key, "at least one");
    }
  }
}

void ReadDomainsAndChanges(object_reader& reader, load_scenario& plan) {
  reader.NamedObjects(
      "domains", kMaxListItems, {}, [&](const std::string& name, object_reader& item) {
        plan.domains.push_back(
            {.name = name,
             .work_per_second = item.Number("work_per_second", 0, {.least = 0, .most = 1e9})});
      });
  reader.Objects("changes", kMaxListItems, [&](object_reader& item) {
    operator_action action;
    action.at = item.Milliseconds("at_ms", milliseconds(0), kTimesOfRun);
    action.kind = item.Choice<operator_change>("kind", operator_change::kLeaveDomain,
                                               {{"leave_domain", operator_change::kLeaveDomain},
                                                {"return_domain", operator_change::kReturnDomain}});
    action.subject = item.RequiredText("subject");
    if (!plan.actions.empty() && action.at < plan.actions.back().at) {
      item.Refuse("at_ms", "no earlier time than that of the change before");
    }
    if (action.at >= plan.length) {
      item.Refuse("at_ms", "a time before length_ms");
    }
    plan.actions.push_back(std::move(action));
  });
}

void ReadSending(object_reader& reader, load_scenario& plan) {
  const text_rule url_rule{.allowed = "http://IP:PORT without a path", .accept = IsEntryUrl};
  plan.entries = reader.Texts("entries", kMaxListItems, url_rule);
  if (plan.entries.empty()) {
    reader.Refuse("entries", "at least one");
  }
  plan.metrics_pages = reader.Texts("metrics_pages", kMaxPages, url_rule);
  plan.counters = reader.Texts("counters", kMaxListItems);
  plan.token = secret(reader.RequiredSecret("token"));
  if (reader.Has("operator_token")) {
    plan.operator_token = secret(reader.RequiredSecret("operator_token"));
  }
  if (!plan.actions.empty() && plan.operator_token.empty()) {
    reader.Refuse("operator_token", "a token, since there are changes to make");
  }
  auto workers = reader.Unsigned("workers", kMaxWorkers, {.least = 1, .most = kMaxWorkers});
  plan.workers = static_cast<uint32_t>(workers);
  plan.call_timeout = reader.Milliseconds("call_timeout_ms", milliseconds(30'000),
                                          {.least = milliseconds(100), .most = minutes(10)});
}

void ReadScenario(object_reader& reader, load_scenario& plan) {
  plan.name = reader.RequiredText("name", {.max_bytes = 64});
  plan.seed = reader.Unsigned("seed", 1, {.least = 0, .most = UINT64_MAX});
  plan.length = reader.Milliseconds("length_ms", milliseconds(60'000),
                                    {.least = milliseconds(100), .most = hours(24)});
  ReadArrivals(reader, plan);
  ReadMixes(reader, plan);
  if (reader.Has("deadline_ms")) {
    plan.job_deadline = reader.Milliseconds("deadline_ms", milliseconds(0),
                                            {.least = milliseconds(1), .most = hours(1)});
  }
  plan.ids = reader.Choice<id_source>(
      "ids", id_source::kMinted, {{"minted", id_source::kMinted}, {"own", id_source::kOwnKeys}});
  auto resubmissions =
      reader.Unsigned("resubmissions_when_lost", 1, {.least = 0, .most = kMaxResubmissions});
  plan.resubmissions_when_lost = static_cast<uint32_t>(resubmissions);
  plan.resubmitted_share = reader.Number("resubmitted_share", 0, {.least = 0, .most = 1});
  reader.Object("ideal", [&](object_reader& ideal) {
    plan.ideal.fastest_speed = ideal.Number("fastest_speed", 1, {.least = 0.01, .most = 1000});
    plan.ideal.overhead = ideal.Milliseconds("overhead_ms", milliseconds(0), kTimesOfRun);
  });
  ReadDomainsAndChanges(reader, plan);
  ReadSending(reader, plan);
}

nlohmann::json WorkloadJson(const load_scenario& plan) {
  nlohmann::json out;
  out["name"] = plan.name;
  out["length"] = plan.length.count();
  out["deadline"] = plan.job_deadline.value_or(duration::zero()).count();
  out["resubmitted_share"] = plan.resubmitted_share;
  out["resubmissions_when_lost"] = plan.resubmissions_when_lost;
  out["own_keys"] = plan.ids == id_source::kOwnKeys;
  out["ideal"] = {plan.ideal.fastest_speed, plan.ideal.overhead.count()};
  for (const auto& phase : plan.arrivals) {
    out["arrivals"].push_back({phase.from.count(), phase.jobs_per_second});
  }
  for (const auto& share : plan.services) {
    out["services"].push_back({share.name, share.weight});
  }
  for (const auto& share : plan.job_sizes) {
    out["job_sizes"].push_back({share.tasks, share.weight});
  }
  for (const auto& share : plan.run_times) {
    out["run_times"].push_back({share.least.count(), share.most.count(), share.weight});
  }
  for (const auto& domain : plan.domains) {
    out["domains"].push_back({domain.name, domain.work_per_second});
  }
  for (const auto& action : plan.actions) {
    out["changes"].push_back({action.at.count(), std::string(ToText(action.kind)), action.subject});
  }
  return out;
}

}  // namespace

std::string_view ToText(operator_change kind) {
  return kind == operator_change::kLeaveDomain ? "leave_domain" : "return_domain";
}

absl::StatusOr<load_scenario> ParseScenario(std::string_view text, std::string_view file_name) {
  load_scenario plan;
  absl::Status read =
      ReadSettings(text, file_name, [&](object_reader& reader) { ReadScenario(reader, plan); });
  if (!read.ok()) {
    return MakeError(load_error::kBadScenario, MessageOf(read));
  }
  return plan;
}

std::string WorkloadDigest(const load_scenario& plan) {
  return absl::StrFormat("%016x", DigestOf(WorkloadJson(plan).dump()));
}

}  // namespace wagtail
