#include "wagtail_load/job_id_pool.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/try.h"

namespace wagtail {

job_id_pool::job_id_pool(const scenario& plan, const entry_client& client)
    : plan_(plan), client_(client), ids_(plan.entries.size()) {}

absl::StatusOr<std::string> job_id_pool::Take(size_t entry) {
  {
    std::lock_guard lock(mutex_);
    if (!ids_[entry].empty()) {
      std::string id = std::move(ids_[entry].front());
      ids_[entry].pop_front();
      return id;
    }
  }
  // Without the lock: a silent entry holds up only those who need its ids.
  std::vector<std::string> fresh = TRY(client_.MintIds(plan_.entries[entry], kBatch));
  std::string id = std::move(fresh.back());
  fresh.pop_back();
  std::lock_guard lock(mutex_);
  std::ranges::move(fresh, std::back_inserter(ids_[entry]));
  return id;
}

}  // namespace wagtail
