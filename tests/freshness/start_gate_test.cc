#include "freshness/start_gate.h"

#include <chrono>
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {
namespace {

using std::chrono::seconds;

instant At(duration since_origin) { return instant(since_origin); }

configuration WithoutDomain(const std::string& failure_domain) {
  configuration result;
  result.leaving_failure_domains.insert(failure_domain);
  return result;
}

}  // namespace

TEST_GROUP(StartGate) { start_gate gate_{"galle-1", "galle", freshness_settings{}}; };

TEST(StartGate, RefusesWithoutAnyConfiguration) {
  CHECK(gate_.Check(At(seconds(1))) == start_refusal::kStale);
  CHECK(gate_.OnAnswer(At(seconds(1)), seconds(0), 0) == answer_use::kTaken);
  CHECK(gate_.Check(At(seconds(1))) == start_refusal::kStale);
}

TEST(StartGate, RefusesOnceTheEvidenceIsOlderThanTheLimit) {
  gate_.OnConfiguration(configuration{}, 4);
  CHECK(gate_.OnAnswer(At(seconds(10)), seconds(1), 4) == answer_use::kTaken);
  CHECK_FALSE(gate_.Check(At(seconds(12))).has_value());
  CHECK(gate_.Check(At(seconds(12) + duration(1))) == start_refusal::kStale);
}

TEST(StartGate, RefusesWhatTheConfigurationTakesOut) {
  gate_.OnConfiguration(configuration{}, 4);
  gate_.OnConfiguration(WithoutDomain("galle"), 5);
  gate_.OnAnswer(At(seconds(10)), seconds(0), 5);
  CHECK(gate_.Check(At(seconds(10))) == start_refusal::kLeaving);
}

TEST(StartGate, KeepsTheNewerConfigurationWhenAnOlderOneComesLate) {
  gate_.OnConfiguration(WithoutDomain("galle"), 5);
  gate_.OnConfiguration(configuration{}, 4);
  gate_.OnAnswer(At(seconds(10)), seconds(0), 4);
  CHECK_EQUAL(5U, gate_.version());
  CHECK(gate_.Check(At(seconds(10))) == start_refusal::kLeaving);
}

TEST(StartGate, TakesNoEvidenceForAVersionWhoseRowsItLacks) {
  gate_.OnConfiguration(configuration{}, 4);
  CHECK(gate_.OnAnswer(At(seconds(10)), seconds(0), 5) == answer_use::kRowsMissing);
  CHECK(gate_.Check(At(seconds(10))) == start_refusal::kStale);
}

}  // namespace wagtail
