#pragma once

#include <cstddef>
#include <vector>

#include "base/time.h"
#include "freshness/freshness_settings.h"

/// @file
/// Which of the linked entries a target's daemon asks for evidence.

namespace wagtail {

/// Asks one entry per period while its answers are recent enough, and all of them as soon as they
/// are not, so that a lost answer, a silent entry or one that is cut off costs one period.
class daemon_questions {
 public:
  explicit daemon_questions(const freshness_settings& settings) : settings_(settings) {}

  /// To be called once per freshness_settings.period.
  /// @param links number of entries linked at present
  /// @return positions of the links to send a question to
  std::vector<std::size_t> OnTick(std::size_t links);
  /// An answer came over this link.
  /// @param age of the evidence now, the time the answer took included
  void OnAnswer(std::size_t link, duration age);

 private:
  freshness_settings settings_;
  std::size_t chosen_ = 0;
  bool is_answered_ = false;
};

}  // namespace wagtail
