#include "configuration/stage_order.h"

#include <algorithm>
#include <map>
#include <set>

#include "absl/strings/str_cat.h"
#include "base/verify.h"
#include "settings/settings_problem.h"

namespace wagtail {

namespace {

using service_set = std::set<std::string, std::less<>>;

/// Computes the number of stages of the job that precede a service.
class stage_counter {
 public:
  stage_counter(const configuration& checked, const service_set& used)
      : checked_(checked), used_(used) {}

  size_t StagesBefore(const std::string& service) {
    const auto known = stages_before_.find(service);
    if (known != stages_before_.end()) {
      return known->second;
    }
    const auto found = checked_.services.find(service);
    VERIFY(found != checked_.services.end());
    size_t stages = 0;
    for (const std::string& dependency : found->second.depends_on) {
      const size_t own_stage = used_.contains(dependency) ? 1 : 0;
      stages = std::max(stages, StagesBefore(dependency) + own_stage);
    }
    stages_before_.emplace(service, stages);
    return stages;
  }

 private:
  const configuration& checked_;
  const service_set& used_;
  std::map<std::string, size_t, std::less<>> stages_before_;
};

}  // namespace

absl::StatusOr<std::vector<job_stage>> StageOrder(const configuration& checked,
                                                  std::span<const std::string> used) {
  const service_set services(used.begin(), used.end());
  stage_counter counter(checked, services);
  std::vector<job_stage> stages;
  for (const std::string& service : services) {
    if (!checked.services.contains(service)) {
      return MakeError(configuration_error::kUnknownService,
                       absl::StrCat("no service ", Shown(service)));
    }
    const size_t stage = counter.StagesBefore(service);
    stages.resize(std::max(stages.size(), stage + 1));
    stages[stage].services.push_back(service);
  }
  return stages;
}

}  // namespace wagtail
