#include "membership/possible_targets.h"

namespace wagtail {

namespace {

enum class incarnation_status { kNotPossible, kPresent, kLost };

incarnation_status StatusAt(const target_record& record, std::string_view service,
                            uint64_t minted_at) {
  if (record.condition == row_condition::kMalformed) {
    return incarnation_status::kLost;  // the owner may run a release that parses it
  }
  if (minted_at < record.revision && record.condition == row_condition::kErased) {
    return incarnation_status::kLost;
  }
  if (!record.row || record.row->service != service) {
    return incarnation_status::kNotPossible;  // a target's service never changes
  }
  if (minted_at >= record.revision) {
    bool announced = record.row->state == announcement_state::kAnnounced;
    return announced ? incarnation_status::kPresent : incarnation_status::kNotPossible;
  }
  bool is_first_row = record.row->first_revision == 0;
  bool announced_later = is_first_row || record.row->first_revision > minted_at;
  return announced_later ? incarnation_status::kNotPossible : incarnation_status::kLost;
}

}  // namespace

possible_targets PossibleTargets(
    const target_registry& registry, std::string_view service, uint64_t minted_at,
    const std::function<bool(std::string_view target)>& may_be_linked) {
  possible_targets result;
  if (registry.revision() < minted_at) {
    result.coverage = registry_coverage::kRegistryBehind;
  }
  for (const auto& [name, record] : registry.records()) {
    if (may_be_linked && !may_be_linked(name)) {
      continue;
    }
    switch (StatusAt(record, service, minted_at)) {
      case incarnation_status::kNotPossible:
        break;
      case incarnation_status::kPresent:
        result.present.push_back(*record.row);
        break;
      case incarnation_status::kLost:
        result.lost.push_back(name);
        break;
    }
  }
  return result;
}

}  // namespace wagtail
