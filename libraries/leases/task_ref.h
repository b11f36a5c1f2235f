#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace wagtail::leased {

/// One task of a job whose id the caller chose.
struct task_ref {
  std::string job{};
  uint32_t step = 0;
  uint32_t index = 0;  ///< within the step
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the defaulted comparison
  auto operator<=>(const task_ref&) const = default;
};

/// What a task occupies while it runs.
struct task_resources {
  int64_t cpu = 0;  ///< thousandths of a core
  int64_t mem_mb = 0;
  int64_t gpu = 0;
  bool operator==(const task_resources&) const = default;

  /// @return whether `needed` fits into what is here
  bool Holds(const task_resources& needed) const {
    return needed.cpu <= cpu && needed.mem_mb <= mem_mb && needed.gpu <= gpu;
  }
  task_resources& operator+=(const task_resources& other) {
    cpu += other.cpu;
    mem_mb += other.mem_mb;
    gpu += other.gpu;
    return *this;
  }
  task_resources& operator-=(const task_resources& other) {
    cpu -= other.cpu;
    mem_mb -= other.mem_mb;
    gpu -= other.gpu;
    return *this;
  }
};

}  // namespace wagtail::leased
