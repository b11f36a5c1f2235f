#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "security/job_id_codec.h"

namespace wagtail {

struct final_answer;

/// Compares answers with the starts counted by the targets.
class start_audit {
 public:
  explicit start_audit(std::string_view cluster_key) : ids_(std::string(cluster_key)) {}

  /// @param counters answer of a stand-in target to GET /control?tasks=1
  void AddTarget(const nlohmann::json& counters);
  /// @return a task that was started more than once, on the same or different targets; empty if
  /// none
  std::string FindDuplicateStart() const;
  /// @return how the answer contradicts the starts; empty if it does not
  std::string FindContradiction(const final_answer& answer) const;

 private:
  uint64_t StartsOf(const std::string& job) const;

  job_id_codec ids_;
  std::map<std::string, uint64_t, std::less<>> starts_;  ///< by "job/task"
};

}  // namespace wagtail
