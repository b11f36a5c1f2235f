#include "entry/key_binding.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

#include "absl/strings/str_cat.h"
#include "base/try.h"
#include "security/digest.h"

namespace wagtail {

namespace {

using json = nlohmann::json;

constexpr std::string_view kKeyPrefix = "key/";
// Rows erased in one transaction.
constexpr size_t kSweepBatch = 100;

std::string RowKey(std::string_view team, std::string_view key) {
  std::string digest = Sha256Hex(key);
  return absl::StrCat(std::string(kKeyPrefix), std::string(team), "/", digest);
}

std::string Serialize(const key_binding& binding) {
  return json({{"job_id", binding.job_id},
               {"digest", binding.digest},
               {"bound_at_s", binding.bound_at_s}})
      .dump();
}

absl::StatusOr<key_binding> Parse(std::string_view text) {
  try {
    json value = json::parse(text);
    return key_binding{.job_id = value.at("job_id").get<std::string>(),
                       .digest = value.at("digest").get<uint64_t>(),
                       .bound_at_s = value.at("bound_at_s").get<int64_t>()};
  } catch (const json::exception& error) {
    return MakeError(table_error::kBadAnswer, error.what());
  }
}

absl::StatusOr<std::optional<key_binding>> Find(table& table, const std::string& row_key) {
  table_changes changes = TRY(table.Read(row_key, 0));
  auto row = std::ranges::find(changes.rows, row_key, &table_row::key);
  if (row == changes.rows.end() || !row->value.has_value()) {
    return std::optional<key_binding>();
  }
  key_binding found = TRY(Parse(*row->value));
  return std::optional<key_binding>(found);
}

}  // namespace

absl::StatusOr<key_binding> BindKey(table& table, std::string_view team, std::string_view key,
                                    const key_binding& wanted) {
  std::string row_key = RowKey(team, key);
  std::optional<key_binding> existing = TRY(Find(table, row_key));
  if (existing.has_value()) {
    return *existing;
  }
  table_transaction write;
  write.conditions.push_back({.key = row_key, .revision = 0});
  write.writes.push_back({.key = row_key, .value = Serialize(wanted)});
  absl::StatusOr<uint64_t> committed = table.Commit(write);
  if (committed.ok()) {
    return wanted;
  }
  auto error = ErrorOf<table_error>(committed.status());
  if (error != table_error::kConflict && error != table_error::kOutcomeUnknown) {
    return committed.status();
  }
  // A concurrent write bound the key, or this write took effect and its answer was lost.
  existing = TRY(Find(table, row_key));
  if (existing.has_value()) {
    return *existing;
  }
  return committed.status();
}

absl::StatusOr<size_t> SweepKeys(table& table, int64_t now_s) {
  constexpr int64_t kLifetimeS = std::chrono::seconds(kKeyLifetime).count();
  table_changes changes = TRY(table.Read(kKeyPrefix, 0));
  table_transaction batch;
  size_t erased = 0;
  auto commit = [&]() -> absl::Status {
    TRY(table.Commit(batch));
    erased += batch.writes.size();
    batch = {};
    return absl::OkStatus();
  };
  for (const table_row& row : changes.rows) {
    absl::StatusOr<key_binding> binding =
        row.value.has_value() ? Parse(*row.value) : absl::StatusOr<key_binding>(key_binding{});
    bool is_expired =
        row.value.has_value() && binding.ok() && binding->bound_at_s + kLifetimeS < now_s;
    if (!is_expired) {
      continue;
    }
    batch.conditions.push_back({.key = row.key, .revision = row.revision});
    batch.writes.push_back({.key = row.key, .value = std::nullopt});
    if (batch.writes.size() == kSweepBatch) {
      TRY(commit());
    }
  }
  if (!batch.writes.empty()) {
    TRY(commit());
  }
  return erased;
}

}  // namespace wagtail
