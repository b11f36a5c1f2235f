#include "table/table_follower.h"

#include <utility>

namespace wagtail {

table_follower::table_follower(table_follower_options options, hooks hooks)
    : options_(options), hooks_(std::move(hooks)) {}

void table_follower::Start() { Read(); }

void table_follower::Read() {
  hooks_.read([this](absl::StatusOr<table_changes> read) {
    if (!read.ok()) {
      OnFailure(read.status());
      return;
    }
    OnSuccess();
    if (read->revision >= revision_) {
      rows former = std::exchange(rows_, {});
      for (table_row& row : read->rows) {
        if (!row.is_readable && former.contains(row.key)) {
          row.value = former[row.key];
        }
        if (row.value.has_value()) {
          rows_.insert_or_assign(std::move(row.key), *std::move(row.value));
        }
      }
      revision_ = read->revision;
      hooks_.on_changed(rows_, revision_, rows_source::kRead);
    }
    Follow();
  });
}

void table_follower::Follow() {
  hooks_.follow(revision_, [this](absl::StatusOr<table_changes> changes) {
    if (!changes.ok()) {
      OnFailure(changes.status());
      return;
    }
    for (table_row& row : changes->rows) {
      if (row.value.has_value()) {
        rows_.insert_or_assign(std::move(row.key), *std::move(row.value));
      } else if (row.is_readable) {
        rows_.erase(row.key);
      }
    }
    hooks_.on_answered();
    bool has_changes = !changes->rows.empty();
    revision_ = std::max(revision_, changes->revision);
    if (has_changes) {
      hooks_.on_changed(rows_, revision_, rows_source::kPoll);
    }
    Follow();
  });
}

void table_follower::OnFailure(const absl::Status& status) {
  if (is_readable_ || !reported_unavailable_) {
    hooks_.on_unavailable(status);
  }
  is_readable_ = false;
  reported_unavailable_ = true;
  hooks_.run_after(options_.retry_delay, [this] { Read(); });
}

void table_follower::OnSuccess() {
  hooks_.on_answered();
  if (!is_readable_) {
    is_readable_ = true;
    hooks_.on_available();
  }
}

}  // namespace wagtail
