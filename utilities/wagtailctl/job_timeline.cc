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

/// Lines of the involved processes up to this long before the first line of a job may explain it.
constexpr absl::Duration kMaxTimeBeforeJob = absl::Seconds(2);
constexpr absl::Duration kMaxTimeAfterJob = absl::Milliseconds(200);

/// The cause behind an answer's reason, and its remedy.
struct explanation {
  std::string_view reason;
  std::string_view cause;
  std::string_view remedy;
};

constexpr std::array<explanation, 12> kExplanations = {{
    {"overload", "the work due before it would have taken longer than its objective allows",
     "a burst, or too little capacity: see job_refused for the expected wait; the answer told the "
     "caller when to retry"},
    {"displaced", "jobs of other queues went before it until its answer would have come too late",
     "a burst, or too little capacity: see job_delayed and job_displaced for the expected waits; "
     "the answer told the caller when to retry"},
    {"objective_out_of_reach", "no target had free resources before its latest start",
     "a burst, or too little capacity: look for lost agents and departed targets"},
    {"too_old", "it waited for the entry's event loop until its objective was out of reach",
     "see processor_use of the entry: its processor is overloaded; add entries or give it more"},
    {"no_target", "no target in use could hold its tasks",
     "look for target_announced, plan_taken and agent_lost before it; compare the tasks' resources "
     "with the targets'"},
    {"too_many_jobs", "the entry had reached its limit of jobs",
     "spread callers over entries, or add entries"},
    {"stopping", "the entry was draining", "none: the caller retries at another entry"},
    {"no_plan_yet", "the entry had not read the operators' configuration yet",
     "look for store_lost: a restarted entry gets the configuration from the store or an agent"},
    {"deadline", "its caller's deadline passed before its tasks ended",
     "see which task ended last, and whether it waited or ran for long"},
    {"caller_gone", "its caller closed the connection", "none in the system"},
    {"attempts", "a task failed as often as its queue allows",
     "see run_ended for where it failed, for instance at a target that fails every task"},
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
  ReadLogLines(log, name, [this](const log_line& line) { Take(line); });
}

void timeline_reader::Take(const log_line& line) {
  bool of_job = line.Text("job") == job_ || line.Text("task").starts_with(job_ + ".");
  if (!of_job && line.fields.contains("job")) {
    return;
  }
  lines_.push_back({.time = line.Text("time"),
                    .process = line.process,
                    .fact = line.Text("fact"),
                    .fields = FieldsOf(line.fields),
                    .outcome = line.Text("outcome"),
                    .reason = line.Text("reason"),
                    .of_job = of_job});
}

job_timeline timeline_reader::Timeline() const {
  std::vector<read_line> sorted = lines_;
  std::ranges::stable_sort(sorted, {}, &read_line::time);
  std::vector<read_line> own;
  std::ranges::copy_if(sorted, std::back_inserter(own), &read_line::of_job);
  job_timeline timeline;
  if (own.empty()) {
    timeline.conclusion =
        "no line about this job: wrong id, or the logs of another time or process";
    return timeline;
  }
  std::set<std::string> involved;
  absl::Time first = TimeOf(own.front().time);
  absl::Time last = first;
  for (const read_line& line : own) {
    involved.insert(line.process);
    last = std::max(last, TimeOf(line.time));
  }
  for (const read_line& line : sorted) {
    absl::Time when = TimeOf(line.time);
    bool is_context = involved.contains(line.process) && when >= first - kMaxTimeBeforeJob &&
                      when <= last + kMaxTimeAfterJob;
    if (line.of_job || is_context) {
      timeline.lines.push_back({.time = line.time,
                                .after_ms = absl::ToDoubleMilliseconds(when - first),
                                .process = line.process,
                                .fact = line.fact,
                                .fields = line.fields,
                                .of_job = line.of_job});
    }
  }
  SetConclusion(own, timeline);
  return timeline;
}

void timeline_reader::SetConclusion(const std::vector<read_line>& lines, job_timeline& timeline) {
  auto answered = std::ranges::find(lines.rbegin(), lines.rend(), "job_answered", &read_line::fact);
  if (answered == lines.rend()) {
    timeline.conclusion = absl::StrCat("no answer on record; the last line is ", lines.back().fact,
                                       " by ", lines.back().process, " at ", lines.back().time);
    timeline.cause = "the entry ended or lost power before it answered, or its log is missing";
    timeline.remedy = "look for started in the entry's log after that time; the caller retries";
    return;
  }
  timeline.conclusion = absl::StrCat("answered by ", answered->process, ": ", answered->fields);
  auto match = std::ranges::find(kExplanations, answered->reason, &explanation::reason);
  if (match != kExplanations.end()) {
    timeline.cause = match->cause;
    timeline.remedy = match->remedy;
  }
  if (answered->outcome == "completed") {
    auto failed_run = std::ranges::find_if(lines, [](const read_line& line) {
      return line.fact == "run_ended" && line.outcome != "done";
    });
    if (failed_run != lines.end()) {
      timeline.cause = absl::StrCat("a run was not the last of its task: ", failed_run->outcome,
                                    " at ", failed_run->process, " ", failed_run->reason);
    }
  }
}

}  // namespace wagtail
