#include <algorithm>
#include <chrono>
#include <utility>

#include "tests/freshness/deployment_model.h"

namespace wagtail {

namespace {

using std::chrono::seconds;

constexpr std::size_t kMostEntryProcesses = 12;
const duration kOperatorDelay = seconds(5);

}  // namespace

void deployment_model::Apply(const disturbance& what) {
  std::size_t entry = what.which % entries_.size();
  std::size_t daemon = what.which % daemons_.size();
  std::size_t nodes = 1 + entries_.size() + daemons_.size();
  node_id one = what.which % nodes;
  node_id other = what.which / nodes % nodes;
  switch (what.kind) {
    case disturbance_kind::kCommit:
      ChangeConfiguration(entry);
      break;
    case disturbance_kind::kCut:
      network_.Cut(one, other, what.span);
      break;
    case disturbance_kind::kFreeze:
      network_.Freeze(one, other, what.span);
      break;
    case disturbance_kind::kPause:
      if (one != table_node_) {
        network_.Pause(one, what.span);
      }
      break;
    case disturbance_kind::kPartition:
      Partition(what.which, what.span);
      break;
    case disturbance_kind::kTableOutage:
      for (node_id node = 0; node < nodes; ++node) {
        network_.Cut(table_node_, node, what.span);
      }
      break;
    case disturbance_kind::kTableCutFromSome:
      for (node_id node = 0; node < nodes; ++node) {
        if (((what.which >> node) & 1U) != 0) {
          network_.Cut(table_node_, node, what.span);
        }
      }
      break;
    case disturbance_kind::kTableSlow:
      slowness_ = what.span / 2;
      slow_until_ = network_.real_now() + what.span;
      break;
    case disturbance_kind::kKillEntry:
      KillEntry(entry, what.span / 4);
      break;
    case disturbance_kind::kStopEntry:
      StopEntry(entry, what.span / 4);
      break;
    case disturbance_kind::kSupersedeEntry:
      Supersede(entry);
      break;
    case disturbance_kind::kReplaceDaemon:
      network_.Restart(daemons_[daemon].node);
      StartDaemon(daemon);
      break;
  }
  Run(what.pause);
}

void deployment_model::ChangeConfiguration(std::size_t entry) {
  if (!IsUp(entry)) {
    return;
  }
  const auto& held = entries_[entry].logic->rows().configuration;
  std::string key(kConfigurationRowKey);
  std::string leaving = network_.Random(2) == 0 ? "" : "d" + std::to_string(network_.Random(3));
  Commit(entry, {{{key, held.revision}}, {{key, leaving}}});
}

void deployment_model::Partition(uint64_t which, duration span) {
  std::size_t nodes = 1 + entries_.size() + daemons_.size();
  for (node_id one = 0; one < nodes; ++one) {
    for (node_id other = 0; other < one; ++other) {
      if (((which >> one) & 1U) != ((which >> other) & 1U)) {
        network_.Cut(one, other, span);
      }
    }
  }
}

void deployment_model::KillEntry(std::size_t index, duration down) {
  auto& entry = entries_[index];
  if (!IsUp(index)) {
    return;
  }
  ended_.push_back(entry.self.incarnation);
  network_.Restart(entry.node);
  entry.logic.reset();
  network_.After(entry.node, down, [this, index] { StartEntry(index); });
  auto ended = entry.self.incarnation;
  network_.After(table_node_, kOperatorDelay, [this, ended] { Vouch(ended); });
}

void deployment_model::StopEntry(std::size_t index, duration down) {
  auto& entry = entries_[index];
  if (!IsUp(index)) {
    return;
  }
  const auto* known = entry.registry.Find(entry.self.name);
  ended_.push_back(entry.self.incarnation);
  network_.Restart(entry.node);
  entry.logic.reset();
  if (known != nullptr && known->row && known->row->incarnation == entry.self.incarnation) {
    entry_row last = *known->row;
    last.state = entry_state::kStopped;
    Commit(index,
           {{{EntryKey(last.name), known->revision}}, {{EntryKey(last.name), Serialise(last)}}});
  }
  network_.After(entry.node, down, [this, index] { StartEntry(index); });
}

void deployment_model::Supersede(std::size_t index) {
  if (entries_.size() < kMostEntryProcesses) {
    AddEntry(entries_[index].self.name, entries_[index].self.failure_domain);
  }
}

void deployment_model::Vouch(entry_incarnation ended) {
  if (IsFault(wiring_fault::kKeepTheVoteOverARestart)) {
    return;
  }
  for (auto& entry : entries_) {
    if (entry.logic) {
      entry.logic->OnEntryStopped(ended, network_.ClockOf(entry.node));
    }
  }
}

void deployment_model::Heal() {
  network_.Heal();
  slow_until_ = network_.real_now();
  Run(kOperatorDelay * 2);
  for (auto ended : ended_) {
    Vouch(ended);
  }
}

std::size_t deployment_model::FreshDaemons() const {
  return std::ranges::count_if(daemons_, [this](const daemon_process& daemon) {
    return daemon.gate->Check(network_.ClockOf(daemon.node)) != start_refusal::kStale;
  });
}

std::optional<std::string> deployment_model::Unfinished() const {
  if (committed_.empty()) {
    return "nothing was ever committed";
  }
  uint64_t newest = committed_.rbegin()->first;
  if (claimed_ != newest) {
    return "the newest version is not in force";
  }
  bool all_hold = std::ranges::all_of(daemons_, [newest](const daemon_process& daemon) {
    return daemon.gate->version() == newest;
  });
  if (!all_hold) {
    return "a daemon does not hold the newest version";
  }
  return FreshDaemons() == daemons_.size() ? std::nullopt
                                           : std::optional<std::string>("a daemon is not fresh");
}

}  // namespace wagtail
