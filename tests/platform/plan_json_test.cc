#include "platform/plan_json.h"

// Last, since its macros must not reach other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::platform {
namespace {

const std::string kConfiguration = R"({"version":7,"routes":[
  {"name":"r-1","host":"a.example","path_prefix":"/on/","kind":"unsafe","timeout_ms":1500,
   "target_latency_ms":60,"priority":2,"service":"lights","max_attempts":4,"stretch":1.6},
  {"name":"r-2","host":"a.example","path_prefix":"/on/now/","service":"lights"}],
  "services":[{"name":"lights","rejects_overload":false}],
  "limits":{"max_body_bytes":262144}})";

}  // namespace

TEST_GROUP(PlanJson){};

TEST(PlanJson, ReadsQueuesAndServices) {
  absl::StatusOr<operating_plan> plan = ReadPlan({{"config", kConfiguration}}, 12);
  CHECK(plan.ok());
  CHECK_EQUAL(12, plan->revision);
  CHECK_EQUAL(7, plan->version);
  const queue_plan* queue = plan->QueueFor("a.example", "/on/5c0e7a21d94b36f8");
  CHECK(queue != nullptr);
  STRCMP_EQUAL("r-1", queue->name.c_str());
  CHECK_EQUAL(4, queue->max_attempts);
  CHECK_EQUAL(60, ToMilliseconds(queue->allowance));
  CHECK(!plan->services.at(0).targets_guard_capacity);
  CHECK_EQUAL(262144, plan->max_body_bytes);
}

TEST(PlanJson, TheLongestPrefixOfTheHostWins) {
  operating_plan plan = *ReadPlan({{"config", kConfiguration}}, 12);
  STRCMP_EQUAL("r-2", plan.QueueFor("a.example", "/on/now/1")->name.c_str());
  CHECK(plan.QueueFor("b.example", "/on/now/1") == nullptr);
  CHECK(plan.QueueFor("a.example", "/off/1") == nullptr);
}

TEST(PlanJson, ReadsLeavingDomains) {
  operating_plan plan = *ReadPlan({{"evacuate/north", "{}"}, {"wave/1", "{}"}}, 3);
  CHECK(plan.IsLeaving("north"));
  CHECK(!plan.IsLeaving("south"));
  CHECK_EQUAL(0, plan.version);
}

TEST(PlanJson, RejectsAMalformedConfiguration) {
  CHECK(!ReadPlan({{"config", "{"}}, 3).ok());
  CHECK(!ReadPlan({{"config", R"({"version":"x"})"}}, 3).ok());
  CHECK(!ReadPlan({{"config", R"({"version":1,"services":[],"routes":[{"name":1}]})"}}, 3).ok());
}

}  // namespace wagtail::platform
