#include "entry/dispatch_controller.h"

#include <algorithm>
#include <utility>

namespace wagtail {

namespace {

target_profile ProfileOf(const target_row& row) {
  return {.incarnation = row.incarnation,
          .service = row.service,
          .failure_domain = row.failure_domain,
          .slots = row.slots,
          .cores = row.cores,
          .memory_mb = row.memory_mb,
          .accelerator = row.accelerator};
}

// Sorts actions by the daemon that they go to, so that each gets one message.
struct outgoing {
  std::map<std::string, std::vector<start_request>> starts;
  std::map<std::string, std::vector<start_request>> withdrawals;
};

}  // namespace

dispatch_controller::dispatch_controller(event_loop& loop, dispatch_controller_options options,
                                         std::unique_ptr<placement> placement, policy_hook policy)
    : loop_(loop),
      options_(std::move(options)),
      policy_(std::move(policy)),
      dispatcher_(options_.dispatcher, std::move(placement)) {
  loop_.Post([this] { Tick(); });
}

uint64_t dispatch_controller::UptimeMs() const {
  return static_cast<uint64_t>(ToMilliseconds(MonotonicNow() - started_));
}

bool dispatch_controller::IsExpired(uint64_t minted_uptime_ms) const {
  auto life_ms = static_cast<uint64_t>(ToMilliseconds(options_.dispatcher.jobs.id_lifetime));
  return UptimeMs() > minted_uptime_ms + life_ms;
}

void dispatch_controller::OnTargetRow(const target_row& row, uint64_t revision) {
  const std::string& name = row.incarnation.target;
  auto known = targets_.find(name);
  if (known != targets_.end()) {
    if (known->second.row.incarnation == row.incarnation &&
        row.state == announcement_state::kAnnounced) {
      return;
    }
    Drop(known->second);
    targets_.erase(known);
  }
  if (row.state == announcement_state::kAnnounced) {
    AddTarget(row, revision);
  }
  CarryOut();
}

void dispatch_controller::OnTargetErased(const std::string& target) {
  auto known = targets_.find(target);
  if (known == targets_.end()) {
    return;
  }
  Drop(known->second);
  targets_.erase(known);
  CarryOut();
}

void dispatch_controller::AddTarget(const target_row& row, uint64_t revision) {
  instant now = MonotonicNow();
  const target_incarnation& incarnation = row.incarnation;
  dispatcher_.AddTarget(ProfileOf(row), revision, now);
  dispatcher_.OnLinkLost(incarnation, now);  // until the link stands
  dispatcher_.SetAdmitted(incarnation,
                          configuration_.Admits(incarnation.target, row.failure_domain), now);
  target_link_options link{.target = incarnation,
                           .address = row.address,
                           .cluster_key = options_.cluster_key,
                           .self = options_.self,
                           .self_name = options_.self_name};
  linked_target& added = targets_[incarnation.target];
  added.row = row;
  added.revision = revision;
  added.link = std::make_unique<target_link>(loop_, std::move(link), HooksFor(row));
}

target_link_hooks dispatch_controller::HooksFor(const target_row& row) {
  target_incarnation target = row.incarnation;
  target_link_hooks hooks;
  hooks.unsettled = [this, target] { return dispatcher_.Unsettled(target); };
  hooks.on_settled = [this, target](const task_record& record) {
    dispatcher_.OnSettled(target, record, MonotonicNow());
  };
  hooks.on_up = [this, target] { dispatcher_.OnLinkRestored(target, MonotonicNow()); };
  hooks.on_down = [this, target] { dispatcher_.OnLinkLost(target, MonotonicNow()); };
  hooks.on_result = [this, target](task_result result, const target_load& load) {
    dispatcher_.OnResult(target, std::move(result), load, MonotonicNow());
  };
  hooks.on_refused = [this, target](const refused_task& task, const target_load& load) {
    dispatcher_.OnVerdict(target, task.key, task.reason, load, MonotonicNow());
  };
  hooks.after_batch = [this] { CarryOut(); };
  hooks.on_heartbeat = [this, row](const target_report& report) {
    target_link* link = LinkTo(row.incarnation.target);
    if (report.ready && link != nullptr && link->is_up()) {
      dispatcher_.OnLinkRestored(row.incarnation, MonotonicNow());
      CarryOut();
    }
    return policy_(row, report);
  };
  hooks.uptime_ms = [this] { return UptimeMs(); };
  return hooks;
}

void dispatch_controller::Drop(linked_target& target) {
  // The link may be asking for this from inside one of its own callbacks.
  loop_.Detach(kj::evalLater([old = std::move(target.link)] {}));
  dispatcher_.RemoveTarget(target.row.incarnation, MonotonicNow());
}

void dispatch_controller::ApplyConfiguration(const configuration& current) {
  configuration_ = current;
  instant now = MonotonicNow();
  for (const auto& [name, target] : targets_) {
    dispatcher_.SetAdmitted(target.row.incarnation, current.Admits(name, target.row.failure_domain),
                            now);
  }
  CarryOut();
}

submit_outcome dispatch_controller::Submit(job_submission submission, answer_hook hook) {
  submit_outcome outcome =
      dispatcher_.Submit(std::move(submission), std::move(hook), UptimeMs(), MonotonicNow());
  CarryOut();
  return outcome;
}

bool dispatch_controller::Cancel(const job_key& job) {
  bool cancelled = dispatcher_.Cancel(job, MonotonicNow());
  CarryOut();
  return cancelled;
}

void dispatch_controller::BeginStop() {
  dispatcher_.BeginStop(MonotonicNow());
  CarryOut();
}

void dispatch_controller::EndAll(std::string_view reason) {
  dispatcher_.EndAll(reason, MonotonicNow());
  CarryOut();
}

target_link* dispatch_controller::LinkTo(const std::string& target) {
  auto found = targets_.find(target);
  return found == targets_.end() ? nullptr : found->second.link.get();
}

std::vector<target_status> dispatch_controller::Targets() const {
  std::vector<target_status> all;
  for (const auto& [name, target] : targets_) {
    target_status status{.row = target.row,
                         .is_up = target.link->is_up(),
                         .report = target.link->last_report(),
                         .heartbeat_age = std::nullopt};
    if (target.link->last_heartbeat() != instant{}) {
      status.heartbeat_age = MonotonicNow() - target.link->last_heartbeat();
    }
    all.push_back(std::move(status));
  }
  return all;
}

void dispatch_controller::CarryOut() {
  if (carrying_out_) {
    return;  // an answer hook led back here; the loop below takes what it added
  }
  carrying_out_ = true;
  for (std::vector<dispatch_action> actions = dispatcher_.TakeActions(); !actions.empty();
       actions = dispatcher_.TakeActions()) {
    outgoing messages;
    for (dispatch_action& action : actions) {
      if (auto* start = std::get_if<start_action>(&action)) {
        messages.starts[start->target.target].push_back(std::move(start->request));
      } else if (auto* withdraw = std::get_if<withdraw_action>(&action)) {
        messages.withdrawals[withdraw->target.target].push_back(std::move(withdraw->request));
      } else if (auto* answer = std::get_if<answer_action>(&action)) {
        std::ranges::for_each(answer->waiting,
                              [answer](const answer_hook& hook) { hook(answer->answer); });
      }
    }
    for (auto& [target, requests] : messages.starts) {
      if (target_link* link = LinkTo(target); link != nullptr) {
        link->Start(requests);
      }
    }
    for (auto& [target, requests] : messages.withdrawals) {
      if (target_link* link = LinkTo(target); link != nullptr) {
        link->Withdraw(requests);
      }
    }
  }
  carrying_out_ = false;
  instant now = MonotonicNow();
  std::optional<instant> next = dispatcher_.NextWake(now);
  bool is_sooner = next.has_value() && *next < now + options_.tick_interval &&
                   (!wake_.has_value() || *next < *wake_);
  if (is_sooner) {
    wake_ = next;
    loop_.After(*next - now, [this] {
      wake_.reset();
      dispatcher_.Tick(UptimeMs(), MonotonicNow());
      CarryOut();
    });
  }
}

void dispatch_controller::Tick() {
  dispatcher_.Tick(UptimeMs(), MonotonicNow());
  CarryOut();
  loop_.After(options_.tick_interval, [this] { Tick(); });
}

}  // namespace wagtail
