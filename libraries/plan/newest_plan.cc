#include "plan/newest_plan.h"

#include <utility>

namespace wagtail {

bool newest_plan::Offer(operating_plan plan) {
  if (plan.revision <= plan_.revision) {
    return false;
  }
  plan_.revision = plan.revision;
  if (plan == plan_) {
    return false;
  }
  plan_ = std::move(plan);
  return true;
}

}  // namespace wagtail
