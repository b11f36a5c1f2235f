#pragma once

#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "wagtail_load/entry_client.h"

namespace wagtail {

/// Keeps job ids at hand, fetched in batches from the entry that will get the job. Safe from
/// several threads.
class job_id_pool {
 public:
  /// @param plan,client must outlive the pool
  job_id_pool(const scenario& plan, const entry_client& client);

  /// @param entry index into the scenario's entries
  /// @return an id minted by this entry, fetched now if none is at hand
  absl::StatusOr<std::string> Take(size_t entry);

 private:
  /// Small, so that ids are used soon after they were minted.
  static constexpr uint32_t kBatch = 16;

  const scenario& plan_;
  const entry_client& client_;
  std::mutex mutex_;
  std::vector<std::deque<std::string>> ids_;  ///< per entry
};

}  // namespace wagtail
