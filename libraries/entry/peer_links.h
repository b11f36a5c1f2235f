#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "base/identifiers.h"
#include "base/time.h"
#include "rpc/event_loop.h"
#include "rpc/wire.capnp.h"

namespace wagtail {

struct peer_links_options {
  std::string cluster_key;
  entry_incarnation self;
  duration connect_timeout = std::chrono::seconds(1);
  duration ping_interval = std::chrono::milliseconds(500);
  duration ping_timeout = std::chrono::seconds(1);
};

/// Another entry's answer to a forwarded request.
struct forwarded_answer {
  uint16_t status = 0;  ///< HTTP status
  std::string body;
};

/// Connections to other entries, opened on demand and checked with pings. Used on the loop's
/// thread only.
class peer_links {
 public:
  peer_links(event_loop& loop, peer_links_options options);
  ~peer_links();

  /// Submits a job to the entry that minted its id.
  /// @param owner the incarnation expected at `address`
  /// @return its answer; fails if that incarnation is unreachable or unresponsive
  kj::Promise<forwarded_answer> Submit(const std::string& address, entry_incarnation owner,
                                       const std::string& job_id, const std::string& team,
                                       const std::string& body);
  kj::Promise<forwarded_answer> Cancel(const std::string& address, entry_incarnation owner,
                                       const std::string& job_id, const std::string& team);
  /// @return the interface of whichever incarnation answers at `address`
  wire::EntryPeer::Client PeerAt(const std::string& address);

 private:
  struct connection;

  connection& ConnectionTo(const std::string& address);
  kj::Promise<wire::EntryPeer::Client> Connect(const std::shared_ptr<connection>& connection,
                                               const std::string& address);
  void SchedulePing(const std::string& address, const std::shared_ptr<connection>& connection);
  void Drop(const std::string& address, const std::shared_ptr<connection>& connection);

  event_loop& loop_;
  peer_links_options options_;
  std::map<std::string, std::shared_ptr<connection>> connections_;
};

}  // namespace wagtail
