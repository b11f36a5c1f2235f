#include "placement/baseline_choices.h"

#include <algorithm>

namespace wagtail {

namespace {

target_state* PickUniformly(std::span<target_state* const> targets, std::mt19937_64& random) {
  if (targets.empty()) {
    return nullptr;
  }
  std::uniform_int_distribution<size_t> position(0, targets.size() - 1);
  return targets[position(random)];
}

}  // namespace

target_state* ChooseRandom(const choice_request& request) {
  return PickUniformly(request.candidates, request.random);
}

target_state* ChooseRoundRobin(const choice_request& request) {
  const auto& all = request.group.targets;
  for (size_t step = 0; step < all.size(); ++step) {
    target_state* target = all[request.group.next++ % all.size()];
    if (std::ranges::find(request.candidates, target) != request.candidates.end()) {
      return target;
    }
  }
  return nullptr;
}

target_state* ChooseLeastOutstanding(const choice_request& request) {
  const auto least_loaded =
      std::ranges::min_element(request.candidates, {}, &target_state::outstanding);
  if (least_loaded == request.candidates.end()) {
    return nullptr;
  }
  std::vector<target_state*> tied;
  std::ranges::copy_if(request.candidates, std::back_inserter(tied),
                       [&](const target_state* target) {
                         return target->outstanding() == (*least_loaded)->outstanding();
                       });
  return PickUniformly(tied, request.random);
}

}  // namespace wagtail
