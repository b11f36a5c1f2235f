#include "configuration/stage_order.h"

#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

#include "configuration/configuration_text.h"
#include "tests/configuration/sample_text.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

namespace {

using names = std::vector<std::string>;

size_t StageOf(const std::vector<job_stage>& stages, const std::string& service) {
  const auto found = std::ranges::find_if(stages, [&](const job_stage& stage) {
    return std::ranges::find(stage.services, service) != stage.services.end();
  });
  return found - stages.begin();
}

std::string Numbered(size_t index) { return "s" + std::to_string(index); }

/// Random services, each of which depends on a subset of the preceding ones.
configuration AnyAcyclicServices(size_t count) {
  configuration any;
  for (size_t index = 0; index < count; ++index) {
    service_configuration service;
    service.name = Numbered(index);
    for (size_t earlier = 0; earlier < index; ++earlier) {
      if (*rc::gen::inRange(0, 3) == 0) {
        service.depends_on.push_back(Numbered(earlier));
      }
    }
    any.services.emplace(service.name, service);
  }
  return any;
}

}  // namespace

TEST_GROUP(StageOrder) { configuration sample = *ParseConfiguration(kSampleText, "op.jsonc"); };

TEST(StageOrder, PutsServicesAfterTheirDependencies) {
  const names used = {"flicker-check", "court-control", "flicker-check"};
  const std::vector<job_stage> expected = {{{"court-control"}}, {{"flicker-check"}}};
  CHECK(*StageOrder(sample, used) == expected);
}

TEST(StageOrder, FollowsDependenciesThroughUnusedServices) {
  const names used = {"report", "court-control"};
  const std::vector<job_stage> expected = {{{"court-control"}}, {{"report"}}};
  CHECK(*StageOrder(sample, used) == expected);
}

TEST(StageOrder, RefusesAnUnknownService) {
  const names used = {"nothing"};
  CHECK(ErrorOf<configuration_error>(StageOrder(sample, used).status()) ==
        configuration_error::kUnknownService);
  CHECK(StageOrder(sample, {})->empty());
}

TEST(StageOrder, EveryDependencyRunsEarlierAndNoStageIsEmpty) {
  CHECK(rc::check("stages respect dependencies", [] {
    const auto count = *rc::gen::inRange<size_t>(1, 12);
    const configuration any = AnyAcyclicServices(count);
    names used;
    for (const auto& [name, service] : any.services) {
      if (*rc::gen::arbitrary<bool>()) {
        used.push_back(name);
      }
    }
    const std::vector<job_stage> stages = *StageOrder(any, used);
    RC_ASSERT(std::ranges::none_of(stages,
                                   [](const job_stage& stage) { return stage.services.empty(); }));
    for (const std::string& service : used) {
      RC_ASSERT(StageOf(stages, service) < stages.size());
      for (const std::string& dependency : any.services.at(service).depends_on) {
        const bool both_used = std::ranges::find(used, dependency) != used.end();
        RC_ASSERT(!both_used || StageOf(stages, dependency) < StageOf(stages, service));
      }
    }
  }));
}

}  // namespace wagtail
