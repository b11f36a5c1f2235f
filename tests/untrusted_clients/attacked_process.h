#pragma once

#include <cstddef>
#include <functional>
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

/// Checks that the process outlives a crowd within its memory and descriptors, and answers an
/// ordinary request while the crowd is there.
/// @param script what each client of the crowd sends
void CheckUnder(const attacked_process& attacked, size_t clients, const crowd_script& script);

/// @return the request line and header of a POST with a JSON body
/// @param body_header the field that states the length of the body, or how it is sent
std::string Head(const std::string& path, const std::string& body_header);
std::string HeadWithLength(const std::string& path, size_t length);
std::string HeadOfChunks(const std::string& path);

}  // namespace wagtail::leased
