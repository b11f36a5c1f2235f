#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include "base/verify.h"
#include "metrics/metric_labels.h"
#include "metrics/text_exposition.h"

namespace wagtail {

/// Maximum number of distinct series of a family; further ones share an overflow series, so that
/// label values chosen by callers can't exhaust memory.
inline constexpr size_t kMaxSeriesPerFamily = 2000;
/// Label value of the overflow series.
inline constexpr std::string_view kOverflowLabelValue = "_overflow";

/// Interface of a family for the registry, independent of its metric type.
class metric_family {
 public:
  metric_family() = default;
  virtual ~metric_family() = default;
  metric_family(const metric_family&) = delete;
  metric_family& operator=(const metric_family&) = delete;
  /// Appends the family in the text exposition format.
  virtual void Write(std::string& out) const = 0;
};

/// All series of one metric name; M is counter, gauge or histogram.
template <typename M>
class family final : public metric_family {
 public:
  /// @param make builds a series in its initial state
  family(std::string name, std::string help, std::function<std::unique_ptr<M>()> make)
      : name_(std::move(name)), help_(std::move(help)), make_(std::move(make)) {}

  /// Finds or adds the series with these labels; the first call fixes the label names. Takes a
  /// lock, so hot paths should keep the reference.
  /// @param labels in any order; valid distinct names
  /// @return a series, valid as long as the registry
  M& Add(metric_labels labels) {
    std::ranges::sort(labels);
    VERIFY(AreValidLabels(labels));
    if constexpr (std::is_same_v<M, histogram>) {
      VERIFY(std::ranges::find(labels, "le", &metric_label::name) == labels.end());
    }
    std::lock_guard lock(mutex_);
    VERIFY(series_.empty() || HaveSameNames(labels, series_.begin()->first));
    if (series_.size() >= kMaxSeriesPerFamily && !series_.contains(labels)) {
      std::ranges::for_each(labels, [](metric_label& label) { label.value = kOverflowLabelValue; });
    }
    auto [entry, added] = series_.try_emplace(std::move(labels));
    if (added) {
      entry->second = make_();
    }
    return *entry->second;
  }

  void Write(std::string& out) const override {
    WriteFamilyHeader(out, name_, help_, TypeName());
    std::lock_guard lock(mutex_);
    for (const auto& [labels, series] : series_) {
      WriteSeries(out, name_, labels, *series);
    }
  }

 private:
  static constexpr std::string_view TypeName() {
    if constexpr (std::is_same_v<M, counter>) {
      return "counter";
    } else if constexpr (std::is_same_v<M, gauge>) {
      return "gauge";
    } else {
      return "histogram";
    }
  }

  const std::string name_;
  const std::string help_;
  const std::function<std::unique_ptr<M>()> make_;
  mutable std::mutex mutex_;
  std::map<metric_labels, std::unique_ptr<M>> series_;
};

}  // namespace wagtail
