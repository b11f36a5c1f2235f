#include "freshness/daemon_questions.h"

#include <numeric>
#include <utility>

namespace wagtail {

std::vector<std::size_t> daemon_questions::OnTick(std::size_t links) {
  if (std::exchange(is_answered_, false) && chosen_ < links) {
    return {chosen_};
  }
  std::vector<std::size_t> all(links);
  std::iota(all.begin(), all.end(), 0);
  return all;
}

void daemon_questions::OnAnswer(std::size_t link, duration age) {
  // The first to answer well is kept. An entry that is itself cut off answers too, and would be
  // asked until its evidence is past the limit.
  if (is_answered_ || age > settings_.limit / 2) {
    return;
  }
  is_answered_ = true;
  chosen_ = link;
}

}  // namespace wagtail
