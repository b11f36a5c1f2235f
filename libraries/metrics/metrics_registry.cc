#include "metrics/metrics_registry.h"

#include <utility>

namespace wagtail {

template <typename M>
family<M>& metrics_registry::FindOrAdd(std::string_view name, std::string_view help,
                                       std::function<std::unique_ptr<M>()> make) {
  VERIFY(IsValidMetricName(name));
  std::lock_guard lock(mutex_);
  auto found = families_.find(name);
  if (found == families_.end()) {
    auto added = std::make_unique<family<M>>(std::string(name), std::string(help), std::move(make));
    found = families_.emplace(name, std::move(added)).first;
  }
  auto* result = dynamic_cast<family<M>*>(found->second.get());
  VERIFY(result != nullptr);
  return *result;
}

family<counter>& metrics_registry::Counters(std::string_view name, std::string_view help) {
  VERIFY(name.ends_with("_total"));
  return FindOrAdd<counter>(name, help, [] { return std::make_unique<counter>(); });
}

family<gauge>& metrics_registry::Gauges(std::string_view name, std::string_view help) {
  VERIFY(!name.ends_with("_total"));
  return FindOrAdd<gauge>(name, help, [] { return std::make_unique<gauge>(); });
}

family<histogram>& metrics_registry::Histograms(std::string_view name, std::string_view help,
                                                std::span<const double> bounds) {
  VERIFY(!name.ends_with("_total"));
  return FindOrAdd<histogram>(name, help,
                              [kept = std::vector<double>(bounds.begin(), bounds.end())] {
                                return std::make_unique<histogram>(kept);
                              });
}

void metrics_registry::BeforeWrite(std::function<void()> hook) {
  std::lock_guard lock(mutex_);
  hooks_.push_back(std::move(hook));
}

std::string metrics_registry::Write() const {
  std::vector<std::function<void()>> hooks;
  {
    std::lock_guard lock(mutex_);
    hooks = hooks_;
  }
  // Called without the lock, since a hook may add a family.
  for (const auto& hook : hooks) {
    hook();
  }
  std::lock_guard lock(mutex_);
  std::string out;
  for (const auto& [name, entry] : families_) {
    entry->Write(out);
  }
  return out;
}

}  // namespace wagtail
