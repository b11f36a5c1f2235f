#include "http/connection_table.h"

#include <algorithm>
#include <tuple>

namespace wagtail {

std::string_view ToText(closing_reason reason) {
  switch (reason) {
    case closing_reason::kHeaderTime:
      return "header_time";
    case closing_reason::kBodyTime:
      return "body_time";
    case closing_reason::kIdleTime:
      return "idle_time";
    case closing_reason::kConnections:
      return "connections";
    case closing_reason::kMemory:
      return "memory";
    case closing_reason::kHandlerTime:
      return "handler_time";
  }
  return "unknown";
}

connection_table::admission connection_table::Admit(instant now) {
  if (connections_.size() - closing_ < limits_.max_connections) {
    return {};
  }
  auto first = LongestWithoutRequest();
  if (first != connections_.end()) {
    return {.displaced = Close(first, closing_reason::kConnections)};
  }
  auto handler = LongestHandler(now);
  if (handler != connections_.end()) {
    return {.displaced = Close(handler, closing_reason::kHandlerTime)};
  }
  return {.accepted = false};
}

connection_table::connection_map::iterator connection_table::LongestWithoutRequest() {
  auto can_be_closed = [](const auto& each) {
    return !each.second.is_closing && each.second.phase != connection_phase::kHandling;
  };
  // A connection whose answer is on its way gives way last: the caller would lose the answer.
  auto closing_order = [](const auto& one, const auto& other) {
    bool is_answered = one.second.phase == connection_phase::kAnswering;
    bool other_is_answered = other.second.phase == connection_phase::kAnswering;
    return std::tuple(is_answered, one.second.last_completed) <
           std::tuple(other_is_answered, other.second.last_completed);
  };
  auto first = connections_.end();
  for (auto each = connections_.begin(); each != connections_.end(); ++each) {
    if (can_be_closed(*each) && (first == connections_.end() || closing_order(*each, *first))) {
      first = each;
    }
  }
  return first;
}

connection_table::connection_map::iterator connection_table::LongestHandler(instant now) {
  auto longest = connections_.end();
  if (!limits_.handler_grace.has_value()) {
    return longest;
  }
  for (auto each = connections_.begin(); each != connections_.end(); ++each) {
    const connection& candidate = each->second;
    if (candidate.is_closing || candidate.phase != connection_phase::kHandling ||
        now - candidate.phase_began < *limits_.handler_grace) {
      continue;
    }
    if (longest == connections_.end() || candidate.phase_began < longest->second.phase_began) {
      longest = each;
    }
  }
  return longest;
}

void connection_table::Open(int socket, instant now) {
  Remove(socket);
  connections_[socket] = {.phase_began = now, .last_completed = now};
}

void connection_table::Remove(int socket) {
  auto found = connections_.find(socket);
  if (found != connections_.end()) {
    closing_ -= found->second.is_closing ? 1 : 0;
    connections_.erase(found);
  }
}

bool connection_table::Enter(int socket, connection_phase phase, instant now) {
  auto found = connections_.find(socket);
  if (found == connections_.end()) {
    return true;
  }
  found->second.phase = phase;
  found->second.phase_began = now;
  return !found->second.is_closing;
}

void connection_table::Complete(int socket, instant now) {
  auto found = connections_.find(socket);
  if (found != connections_.end()) {
    found->second.phase = connection_phase::kIdle;
    found->second.phase_began = now;
    found->second.last_completed = now;
  }
}

std::optional<closing_reason> connection_table::OverdueReason(const connection& each,
                                                              instant now) const {
  duration in_phase = now - each.phase_began;
  switch (each.phase) {
    case connection_phase::kIdle:
      return in_phase >= limits_.idle_timeout ? std::optional(closing_reason::kIdleTime)
                                              : std::nullopt;
    case connection_phase::kHeader:
      return in_phase >= limits_.header_timeout ? std::optional(closing_reason::kHeaderTime)
                                                : std::nullopt;
    case connection_phase::kBody:
    case connection_phase::kAnswering:
      return in_phase >= limits_.body_timeout ? std::optional(closing_reason::kBodyTime)
                                              : std::nullopt;
    case connection_phase::kHandling:
      return std::nullopt;
  }
  return std::nullopt;
}

std::vector<connection_table::closing> connection_table::TakeOverdue(instant now) {
  std::vector<closing> overdue;
  for (auto each = connections_.begin(); each != connections_.end(); ++each) {
    std::optional<closing_reason> reason = OverdueReason(each->second, now);
    if (reason.has_value() && !each->second.is_closing) {
      overdue.push_back(Close(each, *reason));
    }
  }
  return overdue;
}

std::optional<connection_table::closing> connection_table::TakeSlowestBody(instant now,
                                                                           duration grace) {
  auto slowest = connections_.end();
  for (auto each = connections_.begin(); each != connections_.end(); ++each) {
    const connection& candidate = each->second;
    if (candidate.is_closing || candidate.phase != connection_phase::kBody ||
        now - candidate.phase_began <= grace) {
      continue;
    }
    if (slowest == connections_.end() || candidate.phase_began < slowest->second.phase_began) {
      slowest = each;
    }
  }
  if (slowest == connections_.end()) {
    return std::nullopt;
  }
  return Close(slowest, closing_reason::kMemory);
}

std::vector<int> connection_table::TakeIdle(instant now, duration idle_for) {
  std::vector<int> idle;
  for (auto& [socket, each] : connections_) {
    bool is_idle = each.phase == connection_phase::kIdle && now - each.phase_began >= idle_for;
    if (is_idle && !each.is_read_shut) {
      each.is_read_shut = true;
      idle.push_back(socket);
    }
  }
  return idle;
}

bool connection_table::IsReadShut(int socket) const {
  auto found = connections_.find(socket);
  return found != connections_.end() && found->second.is_read_shut;
}

connection_table::closing connection_table::Close(connection_map::iterator found,
                                                  closing_reason reason) {
  found->second.is_closing = true;
  ++closing_;
  return {.socket = found->first, .reason = reason};
}

}  // namespace wagtail
