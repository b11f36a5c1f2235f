#pragma once

#include <cstddef>
#include <functional>
#include <span>
#include <string>

#include "tests/process/child_process.h"
#include "tests/support/tcp_relay.h"
#include "tests/untrusted_clients/client_crowd.h"
#include "tests/untrusted_clients/small_cluster.h"

namespace wagtail::leased {

/// Descriptors that a process must leave free for its files and its connections to other processes.
constexpr size_t kSpareDescriptors = 20;

/// A process that receives the load, with an ordinary request to it.
struct attacked_process {
  child_process& process;
  process_limits limits;
  std::string ip;                 ///< of this process alone
  loopback_address address;       ///< where the crowd connects
  std::function<bool()> request;  ///< returns whether it was answered 200
};

/// @param cluster must outlive the result
/// @return the entry, under callers that send jobs; an ordinary request is a small job
attacked_process AttackedEntry(small_cluster& cluster, const process_limits& limits);

/// @param cluster must outlive the result
/// @return the agent, under targets that announce themselves; an ordinary request is a heartbeat
attacked_process AttackedAgent(small_cluster& cluster, const process_limits& limits);

/// Checks that the process outlives a crowd within its memory and descriptors, and answers an
/// ordinary request while the crowd is there.
/// @param script what each client of the crowd sends
void CheckUnder(const attacked_process& attacked, size_t clients, const crowd_script& script);

/// The same for several crowds at once.
/// @param clients number of each crowd
void CheckUnderCrowds(const attacked_process& attacked, size_t clients,
                      std::span<const crowd_script> scripts);

}  // namespace wagtail::leased
