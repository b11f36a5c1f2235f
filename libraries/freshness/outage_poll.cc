#include "freshness/outage_poll.h"

namespace wagtail {

bool outage_poll::IsDue(const freshness_evidence& own, instant now) const {
  if (!ReadsFail(own.OwnReadAge(now))) {
    return false;
  }
  return !begun_ || now - *begun_ >= settings_.period;
}

uint64_t outage_poll::Begin(instant now) {
  answers_.clear();
  begun_ = now;
  return ++number_;
}

void outage_poll::OnAnswer(uint64_t poll, const poll_answer& answer) {
  if (poll != number_) {
    return;
  }
  answers_.insert_or_assign(answer.voter, answer);
}

std::optional<instant> outage_poll::Outcome(entry_incarnation self, const freshness_evidence& own,
                                            const voter_set& voters, instant now) const {
  if (!begun_) {
    return std::nullopt;
  }
  auto counts = [&](entry_incarnation voter) {
    if (voter == self) {
      return ReadsFail(own.OwnReadAge(now));
    }
    auto found = answers_.find(voter);
    if (found == answers_.end()) {
      return false;
    }
    // An answer that speaks of rows this entry failed to take over shows nothing about its own.
    return found->second.version <= own.version() && ReadsFail(found->second.own_read_age);
  };
  if (!voters.IsMajority(counts)) {
    return std::nullopt;
  }
  return begun_;
}

bool outage_poll::ReadsFail(const std::optional<duration>& own_read_age) const {
  return !own_read_age || *own_read_age > settings_.reads_fail_after;
}

}  // namespace wagtail
