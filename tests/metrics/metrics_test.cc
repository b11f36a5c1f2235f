#include <array>
#include <limits>
#include <string>
#include <thread>
#include <vector>

#include "metrics/metrics_registry.h"
#include "metrics/process_metrics.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

TEST_GROUP(Metrics) { metrics_registry registry_; };

TEST(Metrics, WritesFamiliesAndSeriesSorted) {
  registry_.Gauges("wagtail_queue_length", "Tasks that wait.").Add({}).Set(1.5);
  auto& refusals = registry_.Counters("wagtail_refusals_total", "Refused jobs.");
  refusals.Add({{"reason", "quota"}, {"caller", "kandy"}}).Increment();
  refusals.Add({{"caller", "jutland"}, {"reason", "quota"}}).Increment(2);
  STRCMP_EQUAL(
      "# HELP wagtail_queue_length Tasks that wait.\n"
      "# TYPE wagtail_queue_length gauge\n"
      "wagtail_queue_length 1.5\n"
      "# HELP wagtail_refusals_total Refused jobs.\n"
      "# TYPE wagtail_refusals_total counter\n"
      "wagtail_refusals_total{caller=\"jutland\",reason=\"quota\"} 2\n"
      "wagtail_refusals_total{caller=\"kandy\",reason=\"quota\"} 1\n",
      registry_.Write().c_str());
}

TEST(Metrics, WritesCumulativeBucketsWithInclusiveBounds) {
  constexpr std::array kBounds = {0.1, 1.0};
  auto& latency = registry_.Histograms("job_seconds", "Response time.", kBounds).Add({{"s", "a"}});
  for (double value : {0.1, 0.5, 7.0, std::numeric_limits<double>::quiet_NaN()}) {
    latency.Observe(value);
  }
  STRCMP_EQUAL(
      "# HELP job_seconds Response time.\n"
      "# TYPE job_seconds histogram\n"
      "job_seconds_bucket{s=\"a\",le=\"0.1\"} 1\n"
      "job_seconds_bucket{s=\"a\",le=\"1\"} 2\n"
      "job_seconds_bucket{s=\"a\",le=\"+Inf\"} 3\n"
      "job_seconds_sum{s=\"a\"} 7.6\n"
      "job_seconds_count{s=\"a\"} 3\n",
      registry_.Write().c_str());
}

TEST(Metrics, EscapesHelpAndLabelValues) {
  registry_.Gauges("g", "a\\b\n\"c\"").Add({{"l", "a\\b\n\"c\""}}).Set(0);
  STRCMP_EQUAL(
      "# HELP g a\\\\b\\n\"c\"\n"
      "# TYPE g gauge\n"
      "g{l=\"a\\\\b\\n\\\"c\\\"\"} 0\n",
      registry_.Write().c_str());
}

TEST(Metrics, ChecksNames) {
  CHECK_TRUE(IsValidMetricName("wagtail_response_seconds"));
  CHECK_TRUE(IsValidMetricName("ns:rule"));
  for (std::string_view bad :
       {"", "9x", "a-b", "wait_ms", "wait_milliseconds_total", "cpu_percent"}) {
    CHECK_FALSE(IsValidMetricName(bad));
  }
  CHECK_TRUE(IsValidLabelName("reason"));
  for (std::string_view bad : {"", "__name", "1a", "a:b", "a b"}) {
    CHECK_FALSE(IsValidLabelName(bad));
  }
  CHECK_FALSE(AreValidLabels({{"a", "1"}, {"a", "2"}}));
}

TEST(Metrics, FormatsSpecialValues) {
  STRCMP_EQUAL("+Inf", FormatMetricValue(std::numeric_limits<double>::infinity()).c_str());
  STRCMP_EQUAL("-Inf", FormatMetricValue(-std::numeric_limits<double>::infinity()).c_str());
  STRCMP_EQUAL("NaN", FormatMetricValue(std::numeric_limits<double>::quiet_NaN()).c_str());
}

TEST(Metrics, BoundsTheNumberOfSeries) {
  auto& sent = registry_.Counters("sent_total", "Messages.");
  for (size_t i = 0; i < kMaxSeriesPerFamily; ++i) {
    sent.Add({{"peer", std::to_string(i)}}).Increment();
  }
  sent.Add({{"peer", "one too many"}}).Increment();
  sent.Add({{"peer", "another"}}).Increment();
  DOUBLES_EQUAL(2, sent.Add({{"peer", std::string(kOverflowLabelValue)}}).value(), 0);
  DOUBLES_EQUAL(1, sent.Add({{"peer", "0"}}).value(), 0);
}

TEST(Metrics, RunsHooksBeforeWriting) {
  registry_.BeforeWrite([this] { registry_.Gauges("late", "Late.").Add({}).Set(3); });
  CHECK(registry_.Write().find("late 3\n") != std::string::npos);
}

TEST(Metrics, ExportsProcessMetrics) {
  AddProcessMetrics(registry_);
  std::string text = registry_.Write();
  for (const char* name :
       {"process_cpu_seconds_total ", "process_resident_memory_bytes ", "process_open_fds ",
        "process_threads ", "process_start_time_seconds "}) {
    size_t at = text.find("\n" + std::string(name));
    CHECK(at != std::string::npos);
    CHECK(std::stod(text.substr(at + 1 + std::string(name).size())) > 0);
  }
}

TEST(Metrics, LosesNoUpdateFromSeveralThreads) {
  constexpr int kThreads = 4;
  constexpr int kUpdates = 10'000;
  auto& sent = registry_.Counters("sent_total", "Messages.").Add({});
  auto& latency = registry_.Histograms("wait_seconds", "Waits.", LatencyBounds()).Add({});
  std::vector<std::jthread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (int j = 0; j < kUpdates; ++j) {
        sent.Increment();
        latency.Observe(1);
      }
    });
  }
  threads.clear();
  DOUBLES_EQUAL(kThreads * kUpdates, sent.value(), 0);
  LONGS_EQUAL(kThreads * kUpdates, latency.Read().count);
  DOUBLES_EQUAL(kThreads * kUpdates, latency.Read().sum, 0);
}

}  // namespace wagtail
