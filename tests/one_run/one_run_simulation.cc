#include "tests/one_run/one_run_simulation.h"

#include <algorithm>
#include <utility>

namespace wagtail::leased {
namespace {

constexpr duration kTick = std::chrono::milliseconds(10);
constexpr duration kReportInterval = std::chrono::milliseconds(100);
constexpr duration kHeartbeatInterval = std::chrono::milliseconds(1500);
constexpr duration kDialTimeout = std::chrono::milliseconds(700);
constexpr duration kRetryDelay = std::chrono::milliseconds(1300);
constexpr unsigned kMaxSends = 3;

}  // namespace

/// Process that receives nothing while frozen and loses its state when killed.
struct one_run_simulation::process {
  uint64_t incarnation = 1;
  bool up = true;
  instant frozen_until{};
};

/// One submission of a job; ignored once its caller has moved on to another attempt.
struct one_run_simulation::attempt_ref {
  std::shared_ptr<caller> sender;
  uint64_t attempt = 0;
};

struct one_run_simulation::entry_process : process {
  std::unique_ptr<job_scheduler> scheduler;
  std::vector<order_batch> orders;
  std::vector<std::pair<session_id, uint64_t>> stops;
  std::map<request_serial, attempt_ref> callers;
};

struct one_run_simulation::agent_process : process {
  std::string name;
  std::unique_ptr<run_controller> controller;
  std::unique_ptr<fake_leased_target> target;
  uint64_t starts = 0;
  std::map<std::string, session_id> dummy;
};

/// Session between an agent and an entry.
struct one_run_simulation::channel {
  session_id session = 0;
  entry_process* entry = nullptr;
  agent_process* agent = nullptr;
  uint64_t entry_incarnation = 0;
  uint64_t agent_incarnation = 0;
  bool open_at_entry = true;
  bool open_at_agent = true;
  instant dial_time{};
  bool established = false;
  bool drops_messages = false;
  instant last_report{};
  instant last_answer{};
  uint64_t orders_seen = 0;
  std::vector<run_result> results{};
};

/// Caller that submits one job.
struct one_run_simulation::caller {
  std::string job;
  unsigned sends = 0;
  unsigned refusals = 0;
  bool final = false;
  uint64_t attempt = 0;
};

one_run_simulation::one_run_simulation(const settings& settings)
    : settings_(settings), random_(settings_.seed) {
  for (unsigned number = 0; number < settings_.entries; ++number) {
    entries_.push_back(std::make_unique<entry_process>());
  }
  for (unsigned number = 0; number < settings_.targets; ++number) {
    auto agent = std::make_unique<agent_process>();
    agent->name = "agent-" + std::to_string(number);
    fake_leased_target::settings target{.id = "target-" + std::to_string(number)};
    target.keeps_id = settings_.targets_keep_ids;
    target.clock_rate = 0.98 + 0.02 * number / settings_.targets;
    target.run_time = std::chrono::milliseconds(150 + 400 * number);
    agent->target = std::make_unique<fake_leased_target>(
        time_, target,
        [this, name = agent->name](const task_ref& task) {
          LogEvent(task.job, "started " + std::to_string(task.index) + " at " + name +
                                 ", already running: " + std::to_string(running_[task]));
          ++findings_.started;
          started_jobs_.insert(task.job);
          if (++running_[task] > 1) {
            ReportViolation("two concurrent runs of " + task.job + "." + std::to_string(task.index),
                            task.job);
          }
        },
        [this, name = agent->name](const task_ref& task) {
          LogEvent(task.job, "ended " + std::to_string(task.index) + " at " + name);
          --running_[task];
        });
    agents_.push_back(std::move(agent));
  }
}

one_run_simulation::~one_run_simulation() = default;

duration one_run_simulation::Between(int64_t min_ms, int64_t max_ms) {
  std::uniform_int_distribution<int64_t> spread(min_ms * 1000, max_ms * 1000);
  return duration(spread(random_));
}

bool one_run_simulation::Chance(double share) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

void one_run_simulation::Deliver(process& to, uint64_t incarnation,
                                 const std::function<void()>& work) {
  if (!to.up || to.incarnation != incarnation) {
    return;
  }
  if (to.frozen_until > time_.now()) {
    // Pending work is handled in any order after the process resumes.
    time_.At(to.frozen_until + Between(0, 3),
             [this, &to, incarnation, work] { Deliver(to, incarnation, work); });
    return;
  }
  work();
}

void one_run_simulation::LogEvent(const std::string& job, const std::string& text) {
  event_logs_[job].push_back(std::to_string(ToMilliseconds(time_.now().time_since_epoch())) + " " +
                             text);
}

void one_run_simulation::ReportViolation(std::string text, const std::string& job) {
  for (const std::string& line : event_logs_[job]) {
    text += "\n    " + line;
  }
  findings_.violations.push_back(std::move(text));
}

void one_run_simulation::StartEntry(entry_process& entry) {
  entry.callers.clear();
  entry.orders.clear();
  entry.stops.clear();
  entry.scheduler = std::make_unique<job_scheduler>(
      settings_.scheduler,
      [&entry](order_batch batch) { entry.orders.push_back(std::move(batch)); },
      [&entry](session_id session, uint64_t order) { entry.stops.emplace_back(session, order); },
      [this, &entry](request_serial serial, const job_answer& answer) {
        auto found = entry.callers.find(serial);
        if (found != entry.callers.end()) {
          attempt_ref sending = found->second;
          entry.callers.erase(found);
          time_.After(Between(1, 2), [this, sending, answer] {
            if (sending.sender->attempt == sending.attempt) {
              OnAnswer(sending.sender, answer);
            }
          });
        }
      },
      [this, &entry](const job_log_event& event) {
        LogEvent(std::string(event.job), (&entry == entries_[0].get() ? "entry 0 " : "entry 1 ") +
                                             std::string(event.fact) + " " + event.detail);
      });
  TickEntry(entry);
}

void one_run_simulation::TickEntry(entry_process& entry) {
  uint64_t incarnation = entry.incarnation;
  Deliver(entry, incarnation, [this, &entry, incarnation] {
    instant now = time_.now();
    for (session_id session : entry.scheduler->UnresponsiveSessions(now)) {
      for (auto& link : channels_) {
        if (link->session == session && link->open_at_entry) {
          Disconnect(*link, true, false);
        }
      }
    }
    entry.scheduler->Tick(now);
    entry.scheduler->Place(now);
    Flush(entry);
    time_.After(kTick, [this, &entry, incarnation] {
      if (entry.incarnation == incarnation) {
        TickEntry(entry);
      }
    });
  });
}

void one_run_simulation::Flush(entry_process& entry) {
  for (order_batch& batch : std::exchange(entry.orders, {})) {
    for (auto& link : channels_) {
      if (link->session != batch.session || link->drops_messages || !link->open_at_entry) {
        continue;
      }
      auto shared_batch = std::make_shared<order_batch>(batch);
      time_.After(Between(1, 3), [this, link, shared_batch] {
        Deliver(*link->agent, link->agent_incarnation, [this, link, shared_batch] {
          if (!link->open_at_agent) {
            return;
          }
          for (const task_order& order : shared_batch->orders) {
            LogEvent(order.task.job, link->agent->name + " receives from session " +
                                         std::to_string(link->session) + " order of task " +
                                         std::to_string(order.task.index) + " run " +
                                         std::to_string(order.run));
            link->orders_seen = std::max(link->orders_seen, order.order);
            link->agent->controller->Order({.session = link->session,
                                            .order = order.order,
                                            .task = order.task,
                                            .text = shared_batch->text,
                                            .run = order.run,
                                            .resources = order.resources,
                                            .estimate = order.estimate},
                                           time_.now());
          }
        });
      });
    }
  }
  for (auto [session, order] : std::exchange(entry.stops, {})) {
    for (auto& link : channels_) {
      if (link->session == session && !link->drops_messages && link->open_at_entry) {
        time_.After(Between(1, 3), [this, link, order = order] {
          Deliver(*link->agent, link->agent_incarnation, [this, link, order] {
            if (link->open_at_agent) {
              link->agent->controller->Withdraw(link->session, order, time_.now());
            }
          });
        });
      }
    }
  }
}

void one_run_simulation::StartAgent(agent_process& agent) {
  run_controller_options options = settings_.controller;
  options.fence = ++agent.starts * 100'000;
  agent.controller = std::make_unique<run_controller>(
      options, [this, &agent](const target_call& call) { CallTarget(agent, call); },
      [this, &agent](const run_result& result) {
        LogEvent(result.task.job,
                 agent.name + " reports " + std::to_string(result.task.index) + " as outcome " +
                     std::to_string(static_cast<int>(result.outcome)) + " " + result.reason);
        for (auto& link : channels_) {
          if (link->agent == &agent && link->session == result.session) {
            link->results.push_back(result);
          }
        }
      },
      [this, &agent](const run_log_event& event) {
        LogEvent(event.task.job, agent.name + " " + std::string(event.fact) + " " +
                                     std::to_string(event.task.index) + " " + event.detail);
      });
  uint64_t incarnation = agent.incarnation;
  auto heartbeat = std::make_shared<std::function<void()>>();
  *heartbeat = [this, &agent, incarnation, heartbeat] {
    if (agent.incarnation != incarnation) {
      return;
    }
    if (agent.target->up()) {
      target_announcement announcement = agent.target->Announcement();
      Deliver(agent, incarnation, [this, &agent, announcement] {
        agent.controller->OnTargetAnnounced(announcement, time_.now());
      });
    }
    time_.After(kHeartbeatInterval, *heartbeat);
  };
  time_.After(Between(1, 1500), *heartbeat);
  TickAgent(agent);
}

void one_run_simulation::TickAgent(agent_process& agent) {
  uint64_t incarnation = agent.incarnation;
  Deliver(agent, incarnation, [this, &agent, incarnation] {
    instant now = time_.now();
    agent.controller->Tick(now);
    for (auto& entry : entries_) {
      bool linked = std::ranges::any_of(channels_, [&](const auto& link) {
        return link->agent == &agent && link->entry == entry.get() && link->open_at_agent &&
               link->agent_incarnation == agent.incarnation;
      });
      linked = linked || std::ranges::any_of(channels_, [&](const auto& link) {
                 return link->agent == &agent && link->entry == entry.get() && !link->established &&
                        link->agent_incarnation == agent.incarnation &&
                        now - link->dial_time < kDialTimeout;
               });
      if (!linked && entry->up && Chance(0.1)) {
        Connect(agent, *entry);
      }
    }
    std::vector<std::shared_ptr<channel>> links = channels_;
    for (auto& link : links) {
      if (link->agent != &agent || link->agent_incarnation != incarnation || !link->open_at_agent) {
        continue;
      }
      if (now - link->last_answer > settings_.link_timeout) {
        Disconnect(*link, false, true);
      } else if (!link->results.empty() || now - link->last_report >= kReportInterval) {
        SendReport(*link);
      }
    }
    time_.After(kTick, [this, &agent, incarnation] {
      if (agent.incarnation == incarnation) {
        TickAgent(agent);
      }
    });
  });
}

void one_run_simulation::Connect(agent_process& agent, entry_process& entry) {
  auto link = std::make_shared<channel>();
  link->session = next_session_++;
  link->entry = &entry;
  link->agent = &agent;
  link->entry_incarnation = entry.incarnation;
  link->agent_incarnation = agent.incarnation;
  link->last_answer = time_.now();
  link->last_report = time_.now();
  instant sent = time_.now();
  link->dial_time = sent;
  link->open_at_agent = false;
  link->open_at_entry = false;
  channels_.push_back(link);
  time_.After(Between(1, 3), [this, link, sent] {
    Deliver(*link->entry, link->entry_incarnation, [this, link, sent] {
      for (auto& other : channels_) {
        if (other->entry == link->entry && other->agent == link->agent && other != link &&
            other->open_at_entry) {
          Disconnect(*other, true, false);
        }
      }
      link->open_at_entry = true;
      link->entry->scheduler->OnSessionOpened(
          link->session,
          {.name = link->agent->name, .address = link->agent->name, .domain = "zone-1"},
          time_.now());
      time_.After(Between(1, 3), [this, link, sent] {
        Deliver(*link->agent, link->agent_incarnation, [this, link, sent] {
          if (time_.now() - link->dial_time >= kDialTimeout) {
            return;
          }
          link->established = true;
          link->open_at_agent = true;
          link->last_answer = time_.now();
          link->agent->controller->OnSessionOpened(link->session, sent);
        });
      });
    });
  });
}

void one_run_simulation::Disconnect(channel& link, bool entry_notices, bool agent_notices) {
  if (entry_notices && std::exchange(link.open_at_entry, false) &&
      link.entry->incarnation == link.entry_incarnation) {
    link.entry->scheduler->OnSessionClosed(link.session, time_.now());
  }
  if (agent_notices && std::exchange(link.open_at_agent, false) &&
      link.agent->incarnation == link.agent_incarnation) {
    link.agent->controller->OnSessionClosed(link.session, time_.now());
  }
}

void one_run_simulation::SendReport(channel& link) {
  instant sent = time_.now();
  link.last_report = sent;
  session_report report{.load = link.agent->controller->Load(),
                        .entries = settings_.entries,
                        .orders_seen = link.orders_seen,
                        .settled = link.agent->controller->Settled()};
  auto results = std::make_shared<std::vector<run_result>>(std::exchange(link.results, {}));
  if (link.drops_messages) {
    return;
  }
  auto found = std::ranges::find_if(channels_, [&](const auto& each) { return &*each == &link; });
  std::shared_ptr<channel> shared_link = *found;
  time_.After(Between(1, 3), [this, shared_link, report, results, sent] {
    Deliver(
        *shared_link->entry, shared_link->entry_incarnation,
        [this, shared_link, report, results, sent] {
          if (!shared_link->open_at_entry) {
            return;
          }
          shared_link->entry->scheduler->OnReport(shared_link->session, report, time_.now());
          for (const run_result& result : *results) {
            shared_link->entry->scheduler->OnResult(result);
          }
          if (shared_link->drops_messages) {
            return;
          }
          time_.After(Between(1, 3), [this, shared_link, sent] {
            Deliver(*shared_link->agent, shared_link->agent_incarnation, [this, shared_link, sent] {
              if (shared_link->open_at_agent) {
                shared_link->last_answer = time_.now();
                shared_link->agent->controller->OnReportAnswered(shared_link->session, sent);
              }
            });
          });
        });
  });
}

void one_run_simulation::CallTarget(agent_process& agent, const target_call& call) {
  uint64_t incarnation = agent.incarnation;
  bool late = Chance(settings_.late_orders);
  duration latency = late ? Between(2000, 12000) : Between(0, 1);
  if (const auto* start = std::get_if<start_call>(&call)) {
    auto answered = std::make_shared<bool>(false);
    auto answer = [this, &agent, incarnation, answered, serial = start->serial](
                      start_answer reply, std::optional<int64_t> clock) {
      if (!std::exchange(*answered, true)) {
        Deliver(agent, incarnation, [this, &agent, serial, reply, clock] {
          agent.controller->OnStartAnswered(serial, reply, clock, time_.now());
        });
      }
    };
    time_.After(latency, [&agent, call = *start, answer, late] {
      if (agent.target->up()) {
        start_answer reply = agent.target->Start(call);
        if (!late) {
          answer(reply, agent.target->ClockMs());
        }
      }
    });
    time_.After(start->timeout, [answer] { answer(start_answer::kUnknown, std::nullopt); });
  } else if (const auto* stop = std::get_if<stop_call>(&call)) {
    time_.After(latency, [&agent, call = *stop] {
      if (agent.target->up()) {
        agent.target->Stop(call);
      }
    });
  } else if (const auto* renewal = std::get_if<renew_call>(&call)) {
    auto answered = std::make_shared<bool>(false);
    auto answer = [this, &agent, incarnation, answered, serial = renewal->serial](
                      const std::optional<target_report>& report, renew_failure failure) {
      if (!std::exchange(*answered, true)) {
        Deliver(agent, incarnation, [this, &agent, serial, report, failure] {
          if (report.has_value()) {
            agent.controller->OnRenewAnswered(serial, *report, time_.now());
          } else {
            agent.controller->OnRenewFailed(serial, failure, time_.now());
          }
        });
      }
    };
    time_.After(latency, [&agent, call = *renewal, answer, late] {
      if (!agent.target->up()) {
        return;
      }
      agent.target->Renew(
          call, [answer, late](const std::optional<target_report>& report, renew_failure failure) {
            if (!late) {
              answer(report, failure);
            }
          });
    });
    time_.After(renewal->timeout, [answer] { answer(std::nullopt, renew_failure::kNoAnswer); });
  }
}

void one_run_simulation::NewJob() {
  auto sender = std::make_shared<caller>();
  sender->job = "job-" + std::to_string(next_job_++);
  callers_.push_back(sender);
  Send(sender);
  time_.After(Between(1, 2 * ToMilliseconds(settings_.mean_job_interval)), [this] { NewJob(); });
}

void one_run_simulation::Send(const std::shared_ptr<caller>& sender) {
  if (sender->final || sender->sends >= kMaxSends) {
    return;
  }
  ++sender->sends;
  uint64_t attempt = ++sender->attempt;
  entry_process& entry = *entries_[random_() % entries_.size()];
  uint64_t incarnation = entry.incarnation;
  LogEvent(sender->job, "sent, attempt " + std::to_string(attempt) +
                            (&entry == entries_[0].get() ? " entry 0 " : " entry 1 ") +
                            std::to_string(ToMilliseconds(entry.frozen_until.time_since_epoch())));
  duration deadline = Between(600, 2500);
  request_serial serial = next_serial_++;
  auto text = std::make_shared<const std::string>("on");
  uint32_t count = 1 + random_() % 4;
  queue_plan queue{.service = "lights",
                   .max_attempts = 3,
                   .stretch = 3,
                   .allowance = std::chrono::milliseconds(500)};
  job_submission submission{.id = sender->job,
                            .text = text,
                            .queue = queue,
                            .steps = {{.count = count,
                                       .resources = {.cpu = 6000, .mem_mb = 10},
                                       .estimate = std::chrono::milliseconds(300)}},
                            .deadline = deadline};
  if (!entry.up) {
    time_.After(duration(1), [this, sender] { ScheduleRetry(sender); });
    return;
  }
  Deliver(entry, incarnation, [this, &entry, serial, sender, submission, attempt] {
    if (sender->attempt != attempt) {
      return;  // the connection has closed, which an entry detects before it accepts a job
    }
    entry.callers[serial] = {.sender = sender, .attempt = attempt};
    entry.scheduler->Submit(serial, submission, time_.now());
    entry.scheduler->Place(time_.now());
    Flush(entry);
  });
  // A caller without an answer gives up at its deadline, and one in ten gives up earlier.
  duration patience = Chance(0.1) ? Between(50, 500) : deadline;
  time_.After(patience, [this, sender, attempt, &entry, incarnation, serial] {
    if (sender->attempt != attempt || sender->final) {
      return;
    }
    Deliver(entry, incarnation, [this, &entry, serial] {
      entry.callers.erase(serial);
      entry.scheduler->CallerGone(serial);
      Flush(entry);
    });
    ScheduleRetry(sender);
  });
}

void one_run_simulation::OnAnswer(const std::shared_ptr<caller>& sender, const job_answer& answer) {
  switch (answer.outcome) {
    case job_outcome::kCompleted:
    case job_outcome::kFailed:
    case job_outcome::kCancelled:
      LogEvent(sender->job, "answered");
      findings_.completed += answer.outcome == job_outcome::kCompleted ? 1 : 0;
      sender->final = true;
      break;
    case job_outcome::kRefused:
      ++findings_.refused;
      ++sender->refusals;
      sender->final = true;
      break;
    case job_outcome::kAbandoned:
      ++findings_.abandoned;
      ScheduleRetry(sender);
      break;
  }
}

void one_run_simulation::ScheduleRetry(const std::shared_ptr<caller>& sender) {
  LogEvent(sender->job, "caller got no answer, retries");
  ++sender->attempt;
  ++findings_.retries;
  time_.After(kRetryDelay, [this, sender] { Send(sender); });
}

void one_run_simulation::Kill(process& victim, duration down, std::function<void()> restart) {
  victim.up = false;
  ++victim.incarnation;
  victim.frozen_until = {};
  time_.After(down, [&victim, restart = std::move(restart)] {
    victim.up = true;
    restart();
  });
}

void one_run_simulation::InjectFault() {
  entry_process& entry = *entries_[random_() % entries_.size()];
  agent_process& agent = *agents_[random_() % agents_.size()];
  auto kind = random_() % 8;
  for (const auto& sender : callers_) {
    LogEvent(sender->job, "fault " + std::to_string(kind) + " " + agent.name);
  }
  switch (kind) {
    case 0:
      if (entry.up) {
        // The callers' connections close at once. Agents detect it only in some cases: not if the
        // VM lost power.
        bool noticed = Chance(0.5);
        for (auto& [serial, sending] : std::exchange(entry.callers, {})) {
          if (sending.sender->attempt == sending.attempt) {
            ScheduleRetry(sending.sender);
          }
        }
        for (auto& link : channels_) {
          if (link->entry == &entry && link->entry_incarnation == entry.incarnation) {
            Disconnect(*link, false, noticed);
            link->drops_messages = true;
          }
        }
        Kill(entry, Between(100, 3000), [this, &entry] { StartEntry(entry); });
      }
      break;
    case 1:
      if (agent.up) {
        bool noticed = Chance(0.5);
        for (auto& link : channels_) {
          if (link->agent == &agent && link->agent_incarnation == agent.incarnation) {
            Disconnect(*link, noticed, false);
            link->drops_messages = true;
          }
        }
        Kill(agent, Between(20, 3000), [this, &agent] { StartAgent(agent); });
      }
      break;
    case 2:
      entry.frozen_until = std::max(entry.frozen_until, time_.now() + Between(100, 4000));
      break;
    case 3:
      agent.frozen_until = std::max(agent.frozen_until, time_.now() + Between(100, 4000));
      break;
    case 4:
    case 5: {
      channel& link = *channels_[random_() % channels_.size()];
      if (Chance(0.5)) {
        link.drops_messages = true;
      } else {
        Disconnect(link, true, true);
      }
      break;
    }
    case 6:
      if (agent.target->up()) {
        agent.target->Crash();
        time_.After(Between(100, 3000), [&agent] { agent.target->Restart(); });
      }
      break;
    case 7:
      agent.target->failing = Chance(0.3) ? 1 : 0;
      break;
  }
  time_.After(Between(1, 2 * ToMilliseconds(settings_.mean_fault_interval)),
              [this] { InjectFault(); });
}

const one_run_simulation::findings& one_run_simulation::Run() {
  for (auto& entry : entries_) {
    StartEntry(*entry);
  }
  for (auto& agent : agents_) {
    StartAgent(*agent);
  }
  time_.After(std::chrono::seconds(3), [this] { NewJob(); });
  time_.After(std::chrono::seconds(5), [this] { InjectFault(); });
  time_.RunUntil(time_.now() + settings_.length);
  for (const auto& sender : callers_) {
    if (sender->sends > 0 && sender->refusals == sender->sends &&
        started_jobs_.contains(sender->job)) {
      ReportViolation("refused as not run, but was started: " + sender->job, sender->job);
    }
  }
  return findings_;
}

}  // namespace wagtail::leased
