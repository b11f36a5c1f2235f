#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "wagtail_load/entry_client.h"

namespace wagtail {

/// Keeps job ids at hand, fetched in batches from the entry that will get the job, or makes keys of
/// the caller's own. Safe from several threads.
class job_id_pool {
 public:
  /// @param plan,client must outlive the pool
  job_id_pool(const load_scenario& plan, const entry_client& client);

  /// @param entry index into the scenario's entries
  /// @return an id minted by this entry, fetched now if none is at hand
  absl::StatusOr<std::string> Take(size_t entry);

  /// @return a text that no other run has, for ids of changes
  const std::string& run_id() const { return run_id_; }

 private:
  /// Small, so that ids are used soon after they were minted.
  static constexpr uint32_t kBatch = 16;

  const load_scenario& plan_;
  const entry_client& client_;
  const std::string run_id_;  ///< makes own keys differ between runs
  std::atomic<uint64_t> next_key_ = 0;
  std::mutex mutex_;
  std::vector<std::deque<std::string>> ids_;  ///< per entry
};

}  // namespace wagtail
