#include "membership/possible_targets.h"

namespace wagtail {

namespace {

enum class place { kNone, kPresent, kLost };

place PlaceAt(const target_record& record, std::string_view service, uint64_t minted_at) {
  if (record.condition == row_condition::kMalformed) {
    return place::kLost;  // another release, the owner's perhaps, may read what this one can't
  }
  if (minted_at < record.revision && record.condition == row_condition::kErased) {
    return place::kLost;
  }
  if (!record.row || record.row->service != service) {
    return place::kNone;  // a target's service never changes
  }
  if (minted_at >= record.revision) {
    bool announced = record.row->state == announcement_state::kAnnounced;
    return announced ? place::kPresent : place::kNone;
  }
  bool is_first_row = record.row->first_revision == 0;
  bool began_later = is_first_row || record.row->first_revision > minted_at;
  return began_later ? place::kNone : place::kLost;
}

}  // namespace

possible_targets PossibleTargets(
    const target_registry& registry, std::string_view service, uint64_t minted_at,
    const std::function<bool(std::string_view target)>& may_be_linked) {
  possible_targets result;
  if (registry.revision() < minted_at) {
    result.knowledge = places_knowledge::kRegistryBehind;
  }
  for (const auto& [name, record] : registry.records()) {
    if (may_be_linked && !may_be_linked(name)) {
      continue;
    }
    switch (PlaceAt(record, service, minted_at)) {
      case place::kNone:
        break;
      case place::kPresent:
        result.present.push_back(*record.row);
        break;
      case place::kLost:
        result.lost.push_back(name);
        break;
    }
  }
  return result;
}

}  // namespace wagtail
