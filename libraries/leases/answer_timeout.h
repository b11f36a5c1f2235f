#pragma once

#include "base/time.h"

namespace wagtail::leased {

struct answer_timeout_options {
  /// Bounds of the timeout. The upper one also holds until the first answer.
  duration min = std::chrono::milliseconds(6);
  duration max = std::chrono::milliseconds(40);
  /// The timeout is the smoothed round trip plus this many times its variation.
  unsigned variations = 4;
  /// Number of calls in a row without an answer from which on the timeout is doubled with each: the
  /// target has become slower than what was learnt, rather than lost single answers.
  unsigned max_lost_in_a_row = 2;
  /// Share of calls without an answer from which on the learnt timeout is used; below it, `max`. An
  /// answer that is only late costs a connection and a start that has to be voided.
  double min_lost_share = 0.1;
};

/// Learns how long to wait for a target's answers from the answers that arrive, as a transport's
/// retransmission timer does. Handles targets that lose answers: the shorter the wait, the sooner a
/// task can start elsewhere. A target that answers nearly always gets the longest wait. Uses no
/// clocks.
class answer_timeout {
 public:
  explicit answer_timeout(const answer_timeout_options& options) : options_(options) {}

  /// A call was answered.
  /// @param took time between the call and its answer
  void OnAnswer(duration took);
  /// A call got no answer within the timeout.
  void OnTimeout();
  /// Forgets what was learnt.
  void Reset() { *this = answer_timeout(options_); }

  /// @return how long to wait for the answer to the next call
  duration Get() const;

 private:
  answer_timeout_options options_;
  bool has_answers_ = false;
  duration smoothed_{0};
  duration variation_{0};
  unsigned lost_in_a_row_ = 0;
  double lost_share_ = 0;  ///< moving average
};

}  // namespace wagtail::leased
