#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace wagtail {

struct peer_plan_options {
  /// A peer is sent a copy once it has made no progress towards this process's plan for this long.
  /// Longer than a peer takes to read a change itself and to report that.
  duration patience = std::chrono::milliseconds(300);
  /// Time over which the processes spread their copies to one peer, so that the first of them makes
  /// most others needless.
  duration spread = std::chrono::milliseconds(600);
};

/// What a process knows of a peer's plan, and when the peer needs a copy of its own. Handles
/// changes in quick succession over slow links: every process follows the operators' table itself,
/// so copies go only to peers that the table doesn't reach. Uses no sockets, threads or clocks.
class peer_plan {
 public:
  /// @param place of this process in the spread, from 0 to below 1
  explicit peer_plan(double place, const peer_plan_options& options = {});

  /// The peer has said that it has this revision.
  void OnPeerHas(uint64_t revision);
  /// @param revision that this process has
  /// @return whether to send the peer a copy now
  bool NeedsCopy(uint64_t revision, instant now);
  /// A copy of this revision was sent to the peer.
  void OnCopySent(uint64_t revision);

 private:
  duration patience_;
  duration delay_;
  uint64_t known_revision_ = 0;  ///< newest that the peer is known to have or was sent
  std::optional<instant> behind_since_{};
};

}  // namespace wagtail
