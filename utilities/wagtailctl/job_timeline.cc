#include "utilities/wagtailctl/job_timeline.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

namespace wagtail {

namespace {

using json = nlohmann::json;

/// Beliefs told this long before the first line of a job may explain it.
constexpr absl::Duration kBefore = absl::Seconds(2);
constexpr absl::Duration kAfter = absl::Milliseconds(200);

/// What an answer's reason says, and what helps.
struct explanation {
  std::string_view reason;
  std::string_view cause;
  std::string_view remedy;
};

constexpr std::array<explanation, 11> kExplanations = {{
    {"overload", "the work due before it would have taken longer than its objective allows",
     "a burst, or too little room: see job_refused for the expected wait; the caller was told when "
     "to come back"},
    {"objective_out_of_reach", "no target had room before its latest start",
     "a burst, or too little room: look for agents that were lost and targets that left"},
    {"too_old", "it waited for the entry's event loop until its objective was out of reach",
     "see processor_use of the entry: its processor is behind; add entries or give it more"},
    {"no_target", "no target in use could hold its tasks",
     "look for target_announced, plan_taken and agent_lost before it; compare the tasks' room with "
     "the targets'"},
    {"too_many_jobs", "the entry held as many jobs as it may",
     "spread callers over entries, or add entries"},
    {"stopping", "the entry had been asked to end", "none: the caller comes back to another entry"},
    {"no_plan_yet", "the entry had not read the operators' configuration yet",
     "look for store_lost: a restarted entry learns the configuration from the store or an agent"},
    {"deadline", "its caller's deadline passed before its tasks had ended",
     "see which task ended last, and whether it waited or ran for long"},
    {"caller_gone", "its caller closed the connection", "none on this side"},
    {"attempts", "a task failed as often as its queue allows",
     "see run_ended for where it failed; a target that fails everything shows there"},
    {"cancelled", "its caller cancelled it", "none"},
}};

std::string Value(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string FieldsOf(const json& fact) {
  std::string text;
  for (const auto& [name, value] : fact.items()) {
    bool shown = name != "time" && name != "level" && name != "fact" && name != "job";
    if (shown && !(value.is_string() && value.get_ref<const std::string&>().empty())) {
      absl::StrAppend(&text, text.empty() ? "" : " ", name, "=", Value(value));
    }
  }
  return text;
}

absl::Time TimeOf(const std::string& text) {
  absl::Time time;
  std::string error;
  return absl::ParseTime(absl::RFC3339_full, text, &time, &error) ? time : absl::InfinitePast();
}

}  // namespace

void timeline_reader::Read(std::istream& log, const std::string& name) {
  std::string process = name;
  for (std::string line; std::getline(log, line);) {
    ReadLine(line, process);
  }
}

void timeline_reader::ReadLine(std::string_view text, std::string& process) {
  size_t brace = text.find('{');
  if (brace == std::string_view::npos) {
    return;
  }
  json fact = json::parse(text.substr(brace), nullptr, false);
  if (!fact.is_object() || !fact.contains("fact") || !fact.contains("time")) {
    return;
  }
  if (fact.contains("vm")) {
    process = Value(fact["vm"]);
  }
  std::string_view prefix = text.substr(0, text.find_last_not_of(" :|\t", brace - 1) + 1);
  size_t word = prefix.find_last_of(" \t");
  std::string named(brace == 0 ? std::string_view() : prefix.substr(word + 1));
  std::string task = fact.contains("task") ? Value(fact["task"]) : "";
  bool of_job =
      (fact.contains("job") && Value(fact["job"]) == job_) || task.starts_with(job_ + ".");
  if (!of_job && fact.contains("job")) {
    return;
  }
  lines_.push_back({.time = Value(fact["time"]),
                    .process = named.empty() ? process : named,
                    .fact = Value(fact["fact"]),
                    .fields = FieldsOf(fact),
                    .outcome = fact.contains("outcome") ? Value(fact["outcome"]) : "",
                    .reason = fact.contains("reason") ? Value(fact["reason"]) : "",
                    .of_job = of_job});
}

job_timeline timeline_reader::Timeline() const {
  std::vector<log_line> sorted = lines_;
  std::ranges::stable_sort(sorted, {}, &log_line::time);
  std::vector<log_line> own;
  std::ranges::copy_if(sorted, std::back_inserter(own), &log_line::of_job);
  job_timeline timeline;
  if (own.empty()) {
    timeline.conclusion =
        "no line about this job: wrong id, or the logs of another time or process";
    return timeline;
  }
  std::set<std::string> involved;
  absl::Time first = TimeOf(own.front().time);
  absl::Time last = first;
  for (const log_line& line : own) {
    involved.insert(line.process);
    last = std::max(last, TimeOf(line.time));
  }
  for (const log_line& line : sorted) {
    absl::Time when = TimeOf(line.time);
    bool belief =
        involved.contains(line.process) && when >= first - kBefore && when <= last + kAfter;
    if (line.of_job || belief) {
      timeline.lines.push_back({.time = line.time,
                                .after_ms = absl::ToDoubleMilliseconds(when - first),
                                .process = line.process,
                                .fact = line.fact,
                                .fields = line.fields,
                                .of_job = line.of_job});
    }
  }
  Conclude(own, timeline);
  return timeline;
}

void timeline_reader::Conclude(const std::vector<log_line>& lines, job_timeline& timeline) {
  auto answered = std::ranges::find(lines.rbegin(), lines.rend(), "job_answered", &log_line::fact);
  if (answered == lines.rend()) {
    timeline.conclusion = absl::StrCat("no answer on record; the last line is ", lines.back().fact,
                                       " by ", lines.back().process, " at ", lines.back().time);
    timeline.cause = "the entry ended or lost its power before it answered, or its log is not here";
    timeline.remedy = "look for started in the entry's log after that time; the caller sends again";
    return;
  }
  timeline.conclusion = absl::StrCat("answered by ", answered->process, ": ", answered->fields);
  auto known = std::ranges::find(kExplanations, answered->reason, &explanation::reason);
  if (known != kExplanations.end()) {
    timeline.cause = known->cause;
    timeline.remedy = known->remedy;
  }
  if (answered->outcome == "completed") {
    auto lost = std::ranges::find_if(lines, [](const log_line& line) {
      return line.fact == "run_ended" && line.outcome != "done";
    });
    if (lost != lines.end()) {
      timeline.cause = absl::StrCat("a run was not the last of its task: ", lost->outcome, " at ",
                                    lost->process, " ", lost->reason);
    }
  }
}

}  // namespace wagtail
