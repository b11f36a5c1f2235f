#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <limits>
#include <string>

namespace wagtail::leased {

/// Reference to one task of a job whose id the caller chose.
struct task_ref {
  std::string job{};
  uint32_t step = 0;
  uint32_t index = 0;  ///< within the step
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the defaulted comparison
  auto operator<=>(const task_ref&) const = default;
};

/// Resources that a task occupies while it runs.
struct task_resources {
  int64_t cpu = 0;  ///< thousandths of a core
  int64_t mem_mb = 0;
  int64_t gpu = 0;
  bool operator==(const task_resources&) const = default;

  /// @return whether `needed` fits into these resources
  bool Holds(const task_resources& needed) const {
    return needed.cpu <= cpu && needed.mem_mb <= mem_mb && needed.gpu <= gpu;
  }
  /// @return how many tasks that each occupy `needed` fit into these resources
  int64_t CountOf(const task_resources& needed) const {
    int64_t count = std::numeric_limits<int64_t>::max();
    auto limit = [&count](int64_t free, int64_t each) {
      if (each > 0) {
        count = std::min(count, std::max<int64_t>(free, 0) / each);
      }
    };
    limit(cpu, needed.cpu);
    limit(mem_mb, needed.mem_mb);
    limit(gpu, needed.gpu);
    return count;
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

/// About how many tasks a target runs at most, whatever they ask for: each is an order, a start, a
/// lease and an end to its agent. Ordinary tasks ask for larger parts of a target.
inline constexpr int64_t kMaxTasksPerTarget = 256;

/// @param asked resources that the task asks for
/// @param capacity of the target
/// @return resources that a task occupies: what it asks for, and at least a small part of the
///   processor
inline task_resources OccupiedBy(const task_resources& asked, const task_resources& capacity) {
  task_resources occupied = asked;
  occupied.cpu = std::max(asked.cpu, capacity.cpu / kMaxTasksPerTarget);
  return occupied;
}

}  // namespace wagtail::leased
