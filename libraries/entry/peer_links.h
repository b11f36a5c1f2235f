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

/// What another entry answered to a forwarded request.
struct forwarded_answer {
  uint16_t status = 0;  ///< HTTP status
  std::string body;
};

/// Connections to other entries, made on demand and watched while they stand. Lives on the loop's
/// thread.
class peer_links {
 public:
  peer_links(event_loop& loop, peer_links_options options);
  ~peer_links();

  /// Submits a job to the entry that minted its id.
  /// @param owner the incarnation expected at `address`
  /// @return its answer; fails when that incarnation can't be reached or falls silent
  kj::Promise<forwarded_answer> Submit(const std::string& address, entry_incarnation owner,
                                       const std::string& job_id, const std::string& team,
                                       const std::string& body);
  kj::Promise<forwarded_answer> Cancel(const std::string& address, entry_incarnation owner,
                                       const std::string& job_id, const std::string& team);
  /// @return the other entry's interface, whichever incarnation answers there
  wire::EntryPeer::Client PeerAt(const std::string& address);

 private:
  struct connection;

  connection& ConnectionTo(const std::string& address);
  kj::Promise<wire::EntryPeer::Client> Connect(const std::shared_ptr<connection>& connection,
                                               const std::string& address);
  void Watch(const std::string& address, const std::shared_ptr<connection>& connection);
  void Drop(const std::string& address, const std::shared_ptr<connection>& connection);

  event_loop& loop_;
  peer_links_options options_;
  std::map<std::string, std::shared_ptr<connection>> connections_;
};

}  // namespace wagtail
