#pragma once

#include <memory>
#include <string>
#include <utility>

#include "tests/process/caller.h"
#include "tests/process/test_cluster.h"

#include <CppUTest/TestHarness.h>  // NOLINT(llvm-include-order): its macros replace new

namespace wagtail {

/// Base of test groups that use a deployment: starts it, and checks the invariants after each test.
class cluster_test_group : public Utest {
 public:
  void Launch(cluster_spec spec) {
    cluster = std::make_unique<test_cluster>(std::move(spec));
    std::string fault = cluster->Start();
    STRCMP_EQUAL("", fault.c_str());
  }
  void teardown() override {
    if (cluster == nullptr) {
      return;
    }
    std::string violation = cluster->FindViolation();
    cluster.reset();
    STRCMP_EQUAL("", violation.c_str());
  }

  std::unique_ptr<test_cluster> cluster;
};

}  // namespace wagtail
