#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "security/job_id_codec.h"

namespace wagtail {

struct final_answer;

/// Compares answers with what the targets themselves say they started.
class start_audit {
 public:
  explicit start_audit(std::string_view cluster_key) : ids_(std::string(cluster_key)) {}

  /// @param counters answer of a stand-in target to GET /control?tasks=1
  void AddTarget(const nlohmann::json& counters);
  /// @return a task that was started twice, at one target or at two, or nothing
  std::string FindDoubled() const;
  /// @return what is untrue of the answer, or nothing
  std::string FindUntruth(const final_answer& answer) const;

 private:
  uint64_t StartsOf(const std::string& job) const;

  job_id_codec ids_;
  std::map<std::string, uint64_t, std::less<>> starts_;  ///< by "job/task"
};

}  // namespace wagtail
