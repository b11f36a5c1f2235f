#include "tests/one_run/one_run_simulation.h"

#include <algorithm>
#include <utility>

namespace wagtail::leased {
namespace {

constexpr duration kTick = std::chrono::milliseconds(10);
constexpr duration kReportPause = std::chrono::milliseconds(100);
constexpr duration kHeartbeat = std::chrono::milliseconds(1500);
constexpr duration kDialLimit = std::chrono::milliseconds(700);
constexpr duration kResend = std::chrono::milliseconds(1300);
constexpr unsigned kMostSends = 3;

}  // namespace

/// A process: gets nothing while frozen, loses everything when killed.
struct one_run_simulation::node {
  uint64_t life = 1;
  bool up = true;
  instant frozen_until{};
};

/// One sending of a job; void once its caller has turned away from it.
struct one_run_simulation::attempt_ref {
  std::shared_ptr<caller> who;
  uint64_t attempt = 0;
};

struct one_run_simulation::entry_node : node {
  std::unique_ptr<job_scheduler> board;
  std::vector<order_batch> orders;
  std::vector<std::pair<session_id, uint64_t>> stops;
  std::map<request_serial, attempt_ref> callers;
};

struct one_run_simulation::agent_node : node {
  std::string name;
  std::unique_ptr<run_controller> controller;
  std::unique_ptr<fake_leased_target> target;
  uint64_t starts = 0;
  std::map<std::string, session_id> dummy;
};

/// One session between an agent and an entry.
struct one_run_simulation::channel {
  session_id session = 0;
  entry_node* entry = nullptr;
  agent_node* agent = nullptr;
  uint64_t entry_life = 0;
  uint64_t agent_life = 0;
  bool open_at_entry = true;
  bool open_at_agent = true;
  instant dialed{};
  bool joined = false;
  bool silent = false;
  instant last_report{};
  instant last_answer{};
  uint64_t orders_seen = 0;
  std::vector<run_result> results{};
};

/// Who handed in a job.
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
    entries_.push_back(std::make_unique<entry_node>());
  }
  for (unsigned number = 0; number < settings_.targets; ++number) {
    auto agent = std::make_unique<agent_node>();
    agent->name = "agent-" + std::to_string(number);
    fake_leased_target::settings target{.id = "target-" + std::to_string(number)};
    target.keeps_id = settings_.targets_keep_ids;
    target.clock_rate = 0.98 + 0.02 * number / settings_.targets;
    target.run_time = std::chrono::milliseconds(150 + 400 * number);
    agent->target = std::make_unique<fake_leased_target>(
        time_, target,
        [this, name = agent->name](const task_ref& task) {
          Tell(task.job, "began " + std::to_string(task.index) + " at " + name + " beside " +
                             std::to_string(running_[task]));
          ++findings_.started;
          started_jobs_.insert(task.job);
          if (++running_[task] > 1) {
            Broken("two runs at once of " + task.job + "." + std::to_string(task.index), task.job);
          }
        },
        [this, name = agent->name](const task_ref& task) {
          Tell(task.job, "over " + std::to_string(task.index) + " at " + name);
          --running_[task];
        });
    agents_.push_back(std::move(agent));
  }
}

one_run_simulation::~one_run_simulation() = default;

duration one_run_simulation::Between(int64_t least_ms, int64_t most_ms) {
  std::uniform_int_distribution<int64_t> spread(least_ms * 1000, most_ms * 1000);
  return duration(spread(random_));
}

bool one_run_simulation::Chance(double share) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

void one_run_simulation::Deliver(node& to, uint64_t life, const std::function<void()>& work) {
  if (!to.up || to.life != life) {
    return;
  }
  if (to.frozen_until > time_.now()) {
    // What waits is taken up in any order once the process wakes.
    time_.At(to.frozen_until + Between(0, 3), [this, &to, life, work] { Deliver(to, life, work); });
    return;
  }
  work();
}

void one_run_simulation::Tell(const std::string& job, const std::string& what) {
  stories_[job].push_back(std::to_string(ToMilliseconds(time_.now().time_since_epoch())) + " " +
                          what);
}

void one_run_simulation::Broken(std::string what, const std::string& job) {
  for (const std::string& line : stories_[job]) {
    what += "\n    " + line;
  }
  findings_.broken.push_back(std::move(what));
}

void one_run_simulation::StartEntry(entry_node& entry) {
  entry.callers.clear();
  entry.orders.clear();
  entry.stops.clear();
  entry.board = std::make_unique<job_scheduler>(
      settings_.board, [&entry](order_batch batch) { entry.orders.push_back(std::move(batch)); },
      [&entry](session_id session, uint64_t order) { entry.stops.emplace_back(session, order); },
      [this, &entry](request_serial serial, const job_answer& answer) {
        auto found = entry.callers.find(serial);
        if (found != entry.callers.end()) {
          attempt_ref sending = found->second;
          entry.callers.erase(found);
          time_.After(Between(1, 2), [this, sending, answer] {
            if (sending.who->attempt == sending.attempt) {
              Answered(sending.who, answer);
            }
          });
        }
      },
      [this, &entry](const job_log_event& note) {
        Tell(std::string(note.job), (&entry == entries_[0].get() ? "entry 0 " : "entry 1 ") +
                                        std::string(note.fact) + " " + note.detail);
      });
  TickEntry(entry);
}

void one_run_simulation::TickEntry(entry_node& entry) {
  uint64_t life = entry.life;
  Deliver(entry, life, [this, &entry, life] {
    instant now = time_.now();
    for (session_id session : entry.board->UnresponsiveSessions(now)) {
      for (auto& link : channels_) {
        if (link->session == session && link->open_at_entry) {
          Break(*link, true, false);
        }
      }
    }
    entry.board->Tick(now);
    entry.board->Place(now);
    Flush(entry);
    time_.After(kTick, [this, &entry, life] {
      if (entry.life == life) {
        TickEntry(entry);
      }
    });
  });
}

void one_run_simulation::Flush(entry_node& entry) {
  for (order_batch& batch : std::exchange(entry.orders, {})) {
    for (auto& link : channels_) {
      if (link->session != batch.session || link->silent || !link->open_at_entry) {
        continue;
      }
      auto moved = std::make_shared<order_batch>(batch);
      time_.After(Between(1, 3), [this, link, moved] {
        Deliver(*link->agent, link->agent_life, [this, link, moved] {
          if (!link->open_at_agent) {
            return;
          }
          for (const task_order& order : moved->orders) {
            Tell(order.task.job, link->agent->name + " gets from session " +
                                     std::to_string(link->session) + " order of " +
                                     std::to_string(order.task.index) + " run " +
                                     std::to_string(order.run));
            link->orders_seen = std::max(link->orders_seen, order.order);
            link->agent->controller->Order({.session = link->session,
                                            .order = order.order,
                                            .task = order.task,
                                            .text = moved->text,
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
      if (link->session == session && !link->silent && link->open_at_entry) {
        time_.After(Between(1, 3), [this, link, order = order] {
          Deliver(*link->agent, link->agent_life, [this, link, order] {
            if (link->open_at_agent) {
              link->agent->controller->Withdraw(link->session, order, time_.now());
            }
          });
        });
      }
    }
  }
}

void one_run_simulation::StartAgent(agent_node& agent) {
  run_controller_options options = settings_.controller;
  options.fence = ++agent.starts * 100'000;
  agent.controller = std::make_unique<run_controller>(
      options, [this, &agent](const target_call& call) { Carry(agent, call); },
      [this, &agent](const run_result& result) {
        Tell(result.task.job, agent.name + " ends " + std::to_string(result.task.index) + " as " +
                                  std::to_string(static_cast<int>(result.outcome)) + " " +
                                  result.reason);
        for (auto& link : channels_) {
          if (link->agent == &agent && link->session == result.session) {
            link->results.push_back(result);
          }
        }
      },
      [this, &agent](const run_log_event& note) {
        Tell(note.task.job, agent.name + " " + std::string(note.fact) + " " +
                                std::to_string(note.task.index) + " " + note.detail);
      });
  uint64_t life = agent.life;
  auto beat = std::make_shared<std::function<void()>>();
  *beat = [this, &agent, life, beat] {
    if (agent.life != life) {
      return;
    }
    if (agent.target->up()) {
      target_announcement heard = agent.target->Announcement();
      Deliver(agent, life,
              [this, &agent, heard] { agent.controller->OnTargetAnnounced(heard, time_.now()); });
    }
    time_.After(kHeartbeat, *beat);
  };
  time_.After(Between(1, 1500), *beat);
  TickAgent(agent);
}

void one_run_simulation::TickAgent(agent_node& agent) {
  uint64_t life = agent.life;
  Deliver(agent, life, [this, &agent, life] {
    instant now = time_.now();
    agent.controller->Tick(now);
    for (auto& entry : entries_) {
      bool linked = std::ranges::any_of(channels_, [&](const auto& link) {
        return link->agent == &agent && link->entry == entry.get() && link->open_at_agent &&
               link->agent_life == agent.life;
      });
      linked = linked || std::ranges::any_of(channels_, [&](const auto& link) {
                 return link->agent == &agent && link->entry == entry.get() && !link->joined &&
                        link->agent_life == agent.life && now - link->dialed < kDialLimit;
               });
      if (!linked && entry->up && Chance(0.1)) {
        Connect(agent, *entry);
      }
    }
    std::vector<std::shared_ptr<channel>> links = channels_;
    for (auto& link : links) {
      if (link->agent != &agent || link->agent_life != life || !link->open_at_agent) {
        continue;
      }
      if (now - link->last_answer > settings_.link_silence) {
        Break(*link, false, true);
      } else if (!link->results.empty() || now - link->last_report >= kReportPause) {
        SendReport(*link);
      }
    }
    time_.After(kTick, [this, &agent, life] {
      if (agent.life == life) {
        TickAgent(agent);
      }
    });
  });
}

void one_run_simulation::Connect(agent_node& agent, entry_node& entry) {
  auto link = std::make_shared<channel>();
  link->session = next_session_++;
  link->entry = &entry;
  link->agent = &agent;
  link->entry_life = entry.life;
  link->agent_life = agent.life;
  link->last_answer = time_.now();
  link->last_report = time_.now();
  instant sent = time_.now();
  link->dialed = sent;
  link->open_at_agent = false;
  link->open_at_entry = false;
  channels_.push_back(link);
  time_.After(Between(1, 3), [this, link, sent] {
    Deliver(*link->entry, link->entry_life, [this, link, sent] {
      for (auto& other : channels_) {
        if (other->entry == link->entry && other->agent == link->agent && other != link &&
            other->open_at_entry) {
          Break(*other, true, false);
        }
      }
      link->open_at_entry = true;
      link->entry->board->OnSessionOpened(
          link->session,
          {.name = link->agent->name, .address = link->agent->name, .domain = "zone-1"},
          time_.now());
      time_.After(Between(1, 3), [this, link, sent] {
        Deliver(*link->agent, link->agent_life, [this, link, sent] {
          if (time_.now() - link->dialed >= kDialLimit) {
            return;
          }
          link->joined = true;
          link->open_at_agent = true;
          link->last_answer = time_.now();
          link->agent->controller->OnSessionOpened(link->session, sent);
        });
      });
    });
  });
}

void one_run_simulation::Break(channel& link, bool entry_notices, bool agent_notices) {
  if (entry_notices && std::exchange(link.open_at_entry, false) &&
      link.entry->life == link.entry_life) {
    link.entry->board->OnSessionClosed(link.session, time_.now());
  }
  if (agent_notices && std::exchange(link.open_at_agent, false) &&
      link.agent->life == link.agent_life) {
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
  if (link.silent) {
    return;
  }
  auto shared = std::ranges::find_if(channels_, [&](const auto& each) { return &*each == &link; });
  std::shared_ptr<channel> held = *shared;
  time_.After(Between(1, 3), [this, held, report, results, sent] {
    Deliver(*held->entry, held->entry_life, [this, held, report, results, sent] {
      if (!held->open_at_entry) {
        return;
      }
      held->entry->board->OnReport(held->session, report, time_.now());
      for (const run_result& result : *results) {
        held->entry->board->OnResult(result);
      }
      if (held->silent) {
        return;
      }
      time_.After(Between(1, 3), [this, held, sent] {
        Deliver(*held->agent, held->agent_life, [this, held, sent] {
          if (held->open_at_agent) {
            held->last_answer = time_.now();
            held->agent->controller->OnReportAnswered(held->session, sent);
          }
        });
      });
    });
  });
}

void one_run_simulation::Carry(agent_node& agent, const target_call& call) {
  uint64_t life = agent.life;
  bool late = Chance(settings_.late_orders);
  duration way = late ? Between(2000, 12000) : Between(0, 1);
  if (const auto* start = std::get_if<start_call>(&call)) {
    auto answered = std::make_shared<bool>(false);
    auto answer = [this, &agent, life, answered, serial = start->serial](
                      start_answer verdict, std::optional<int64_t> clock) {
      if (!std::exchange(*answered, true)) {
        Deliver(agent, life, [this, &agent, serial, verdict, clock] {
          agent.controller->OnStartAnswered(serial, verdict, clock, time_.now());
        });
      }
    };
    time_.After(way, [&agent, call = *start, answer, late] {
      if (agent.target->up()) {
        start_answer verdict = agent.target->Start(call);
        if (!late) {
          answer(verdict, agent.target->ClockMs());
        }
      }
    });
    time_.After(start->timeout, [answer] { answer(start_answer::kUnknown, std::nullopt); });
  } else if (const auto* stop = std::get_if<stop_call>(&call)) {
    time_.After(way, [&agent, call = *stop] {
      if (agent.target->up()) {
        agent.target->Stop(call);
      }
    });
  } else if (const auto* renewal = std::get_if<renew_call>(&call)) {
    auto answered = std::make_shared<bool>(false);
    auto answer = [this, &agent, life, answered, serial = renewal->serial](
                      const std::optional<target_report>& report, renew_failure failure) {
      if (!std::exchange(*answered, true)) {
        Deliver(agent, life, [this, &agent, serial, report, failure] {
          if (report.has_value()) {
            agent.controller->OnRenewAnswered(serial, *report, time_.now());
          } else {
            agent.controller->OnRenewFailed(serial, failure, time_.now());
          }
        });
      }
    };
    time_.After(way, [&agent, call = *renewal, answer, late] {
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
  auto who = std::make_shared<caller>();
  who->job = "job-" + std::to_string(next_job_++);
  callers_.push_back(who);
  Send(who);
  time_.After(Between(1, 2 * ToMilliseconds(settings_.job_pause)), [this] { NewJob(); });
}

void one_run_simulation::Send(const std::shared_ptr<caller>& who) {
  if (who->final || who->sends >= kMostSends) {
    return;
  }
  ++who->sends;
  uint64_t attempt = ++who->attempt;
  entry_node& entry = *entries_[random_() % entries_.size()];
  uint64_t life = entry.life;
  Tell(who->job, "sent, attempt " + std::to_string(attempt) +
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
  job_submission submission{.id = who->job,
                            .text = text,
                            .queue = queue,
                            .steps = {{.count = count,
                                       .resources = {.cpu = 6000, .mem_mb = 10},
                                       .estimate = std::chrono::milliseconds(300)}},
                            .deadline = deadline};
  if (!entry.up) {
    time_.After(duration(1), [this, who] { SendAgain(who); });
    return;
  }
  Deliver(entry, life, [this, &entry, serial, who, submission, attempt] {
    if (who->attempt != attempt) {
      return;  // the connection has ended meanwhile, which an entry sees before it takes a job
    }
    entry.callers[serial] = {.who = who, .attempt = attempt};
    entry.board->Submit(serial, submission, time_.now());
    entry.board->Place(time_.now());
    Flush(entry);
  });
  // A caller that gets no answer gives up at its deadline; one that is impatient leaves earlier.
  duration patience = Chance(0.1) ? Between(50, 500) : deadline;
  time_.After(patience, [this, who, attempt, &entry, life, serial] {
    if (who->attempt != attempt || who->final) {
      return;
    }
    Deliver(entry, life, [this, &entry, serial] {
      entry.callers.erase(serial);
      entry.board->CallerGone(serial);
      Flush(entry);
    });
    SendAgain(who);
  });
}

void one_run_simulation::Answered(const std::shared_ptr<caller>& who, const job_answer& answer) {
  switch (answer.outcome) {
    case job_outcome::kCompleted:
    case job_outcome::kFailed:
    case job_outcome::kCancelled:
      Tell(who->job, "answered");
      findings_.completed += answer.outcome == job_outcome::kCompleted ? 1 : 0;
      who->final = true;
      break;
    case job_outcome::kRefused:
      ++findings_.refused;
      ++who->refusals;
      who->final = true;
      break;
    case job_outcome::kAbandoned:
      ++findings_.abandoned;
      SendAgain(who);
      break;
  }
}

void one_run_simulation::SendAgain(const std::shared_ptr<caller>& who) {
  Tell(who->job, "caller loses its answer");
  ++who->attempt;
  ++findings_.sent_again;
  time_.After(kResend, [this, who] { Send(who); });
}

void one_run_simulation::Kill(node& victim, duration down, std::function<void()> restart) {
  victim.up = false;
  ++victim.life;
  victim.frozen_until = {};
  time_.After(down, [&victim, restart = std::move(restart)] {
    victim.up = true;
    restart();
  });
}

void one_run_simulation::Fault() {
  entry_node& entry = *entries_[random_() % entries_.size()];
  agent_node& agent = *agents_[random_() % agents_.size()];
  auto kind = random_() % 8;
  for (const auto& who : callers_) {
    Tell(who->job, "fault " + std::to_string(kind) + " " + agent.name);
  }
  switch (kind) {
    case 0:
      if (entry.up) {
        // The callers' connections break at once; agents notice, or not if the VM lost power.
        bool noticed = Chance(0.5);
        for (auto& [serial, sending] : std::exchange(entry.callers, {})) {
          if (sending.who->attempt == sending.attempt) {
            SendAgain(sending.who);
          }
        }
        for (auto& link : channels_) {
          if (link->entry == &entry && link->entry_life == entry.life) {
            Break(*link, false, noticed);
            link->silent = true;
          }
        }
        Kill(entry, Between(100, 3000), [this, &entry] { StartEntry(entry); });
      }
      break;
    case 1:
      if (agent.up) {
        bool noticed = Chance(0.5);
        for (auto& link : channels_) {
          if (link->agent == &agent && link->agent_life == agent.life) {
            Break(*link, noticed, false);
            link->silent = true;
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
        link.silent = true;
      } else {
        Break(link, true, true);
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
  time_.After(Between(1, 2 * ToMilliseconds(settings_.fault_pause)), [this] { Fault(); });
}

const one_run_simulation::findings& one_run_simulation::Run() {
  for (auto& entry : entries_) {
    StartEntry(*entry);
  }
  for (auto& agent : agents_) {
    StartAgent(*agent);
  }
  time_.After(std::chrono::seconds(3), [this] { NewJob(); });
  time_.After(std::chrono::seconds(5), [this] { Fault(); });
  time_.RunUntil(time_.now() + settings_.length);
  for (const auto& who : callers_) {
    if (who->sends > 0 && who->refusals == who->sends && started_jobs_.contains(who->job)) {
      Broken("refused as not run, but started: " + who->job, who->job);
    }
  }
  return findings_;
}

}  // namespace wagtail::leased
