#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/time.h"
#include "configuration/configuration.h"
#include "freshness/freshness_evidence.h"
#include "freshness/freshness_settings.h"

/// @file
/// The last check before a target's daemon starts a task.

namespace wagtail {

enum class start_refusal {
  kStale,    ///< the daemon can't show that its configuration is the newest
  kLeaving,  ///< the configuration takes the target or its failure domain out
};

/// Whether to take an answer's evidence at once or to ask again for the rows first.
enum class answer_use {
  kTaken,
  kRowsMissing,  ///< the answer speaks of a version whose rows have not been handed over
};

/// Knows one target's place in the newest configuration and the evidence for it.
class start_gate {
 public:
  /// @param target name of the target beside this daemon
  /// @param failure_domain of the target, from the daemon's settings
  start_gate(std::string target, std::string failure_domain, const freshness_settings& settings);

  /// Takes over a configuration unless it is older than the one held. Call it before OnAnswer()
  /// with the answer that brought it.
  /// @param version as defined for freshness_evidence
  void OnConfiguration(const configuration& newest, uint64_t version);

  /// An entry told the age of its evidence.
  /// @param asked_at when this daemon sent the question
  answer_use OnAnswer(instant asked_at, duration age, uint64_t version);

  /// To be asked by the thread that starts the task, with a `now` read just before it does so.
  /// @return why no task may be started, or empty if one may
  std::optional<start_refusal> Check(instant now) const;

  /// @return the version whose rows are held; sent along with each question and as confirmation
  uint64_t version() const { return held_version_; }
  const freshness_evidence& evidence() const { return evidence_; }

 private:
  std::string target_;
  std::string failure_domain_;
  freshness_settings settings_;
  freshness_evidence evidence_;
  uint64_t held_version_ = 0;
  bool admitted_ = false;
};

}  // namespace wagtail
