#include "wagtail_load/job_id_pool.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "base/try.h"

namespace wagtail {

namespace {

std::string NewRunId() {
  std::random_device entropy;
  return absl::StrFormat("load-%08x%08x", entropy(), entropy());
}

}  // namespace

job_id_pool::job_id_pool(const load_scenario& plan, const entry_client& client)
    : plan_(plan), client_(client), run_id_(NewRunId()), ids_(plan.entries.size()) {}

absl::StatusOr<std::string> job_id_pool::Take(size_t entry) {
  if (plan_.ids == id_source::kOwnKeys) {
    return absl::StrCat(run_id_, "-", next_key_++);
  }
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
