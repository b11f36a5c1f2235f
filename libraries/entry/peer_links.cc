#include "entry/peer_links.h"

#include <capnp/rpc-twoparty.h>

#include <utility>

#include "rpc/handshake.h"
#include "rpc/require.h"
#include "rpc/wire_codec.h"

namespace wagtail {

struct peer_links::connection {
  kj::Own<kj::AsyncIoStream> stream;
  kj::Own<capnp::TwoPartyClient> client;
  kj::Maybe<wire::EntryPeer::Client> peer;
  uint64_t incarnation = 0;  ///< nonce of the entry that answered; 0 before the handshake
  kj::Canceler canceler;     ///< cancels pending requests when the connection is dropped
};

peer_links::peer_links(event_loop& loop, peer_links_options options)
    : loop_(loop), options_(std::move(options)) {}

peer_links::~peer_links() = default;

peer_links::connection& peer_links::ConnectionTo(const std::string& address) {
  auto found = connections_.find(address);
  if (found != connections_.end()) {
    return *found->second;
  }
  auto created = std::make_shared<connection>();
  connections_[address] = created;
  auto connected = loop_.timer().timeoutAfter(options_.connect_timeout.count() * kj::MICROSECONDS,
                                              Connect(created, address));
  auto guarded = connected.catch_(
      [this, address, created](kj::Exception&& error) -> kj::Promise<wire::EntryPeer::Client> {
        Drop(address, created);
        return kj::mv(error);
      });
  created->peer = wire::EntryPeer::Client(kj::mv(guarded));
  SchedulePing(address, created);
  return *created;
}

kj::Promise<wire::EntryPeer::Client> peer_links::Connect(
    const std::shared_ptr<connection>& connection, const std::string& address) {
  return loop_.provider()
      .getNetwork()
      .parseAddress(address)
      .then([](kj::Own<kj::NetworkAddress> network_address) {
        auto attempt = network_address->connect();
        return attempt.attach(kj::mv(network_address));
      })
      .then([this, connection](kj::Own<kj::AsyncIoStream> stream) {
        connection->stream = kj::mv(stream);
        connection->client = kj::heap<capnp::TwoPartyClient>(*connection->stream);
        auto gate = connection->client->bootstrap().castAs<wire::EntryGate>();
        return gate.challengeRequest().send().then(
            [this, connection, gate](auto&& challenge) mutable {
              uint64_t nonce = challenge.getNonce();
              uint64_t own_nonce = RandomNonce64();
              auto request = gate.enterRequest();
              request.setListenerNonce(nonce);
              request.setCallerNonce(own_nonce);
              request.setProof(ToData(
                  HandshakeProof(options_.cluster_key, handshake_side::kCaller, nonce, own_nonce)));
              return request.send().then([this, connection, nonce, own_nonce](auto&& entered) {
                Require(IsHandshakeProof(ToText(entered.getProof()), options_.cluster_key,
                                         handshake_side::kListener, nonce, own_nonce),
                        "handshake refused");
                connection->incarnation = entered.getNonce();
                return entered.getPeer();
              });
            });
      });
}

void peer_links::SchedulePing(const std::string& address,
                              const std::shared_ptr<connection>& watched) {
  loop_.After(options_.ping_interval, [this, address, watched] {
    auto found = connections_.find(address);
    if (found == connections_.end() || found->second != watched) {
      return;
    }
    auto ping = KJ_ASSERT_NONNULL(watched->peer).pingRequest().send().ignoreResult();
    auto bounded =
        loop_.timer().timeoutAfter(options_.ping_timeout.count() * kj::MICROSECONDS, kj::mv(ping));
    loop_.Detach(bounded.then([this, address, watched] { SchedulePing(address, watched); }),
                 [this, address, watched](kj::Exception&& /*error*/) { Drop(address, watched); });
  });
}

void peer_links::Drop(const std::string& address, const std::shared_ptr<connection>& dropped) {
  auto found = connections_.find(address);
  if (found == connections_.end() || found->second != dropped) {
    return;
  }
  connections_.erase(found);
  // May run inside a callback of the dropped connection, so the cancellation is deferred.
  loop_.Detach(
      kj::evalLater([dropped] { dropped->canceler.cancel("the other entry can't be reached"); }));
}

wire::EntryPeer::Client peer_links::PeerAt(const std::string& address) {
  return KJ_ASSERT_NONNULL(ConnectionTo(address).peer);
}

kj::Promise<forwarded_answer> peer_links::Submit(const std::string& address,
                                                 entry_incarnation owner, const std::string& job_id,
                                                 const std::string& team, const std::string& body) {
  connection& link = ConnectionTo(address);
  return link.canceler.wrap(KJ_ASSERT_NONNULL(link.peer)
                                .whenResolved()
                                .then([&link, owner, job_id, team, body]() {
                                  Require(link.incarnation == owner.nonce,
                                          "the address belongs to another incarnation");
                                  auto request = KJ_ASSERT_NONNULL(link.peer).submitRequest();
                                  request.setJobId(ToWireText(job_id));
                                  request.setTeam(ToWireText(team));
                                  request.setBody(ToData(body));
                                  return request.send();
                                })
                                .then([](auto&& response) {
                                  return forwarded_answer{.status = response.getStatus(),
                                                          .body = ToText(response.getAnswer())};
                                }));
}

kj::Promise<forwarded_answer> peer_links::Cancel(const std::string& address,
                                                 entry_incarnation owner, const std::string& job_id,
                                                 const std::string& team) {
  connection& link = ConnectionTo(address);
  return link.canceler.wrap(KJ_ASSERT_NONNULL(link.peer)
                                .whenResolved()
                                .then([&link, owner, job_id, team]() {
                                  Require(link.incarnation == owner.nonce,
                                          "the address belongs to another incarnation");
                                  auto request = KJ_ASSERT_NONNULL(link.peer).cancelRequest();
                                  request.setJobId(ToWireText(job_id));
                                  request.setTeam(ToWireText(team));
                                  return request.send();
                                })
                                .then([](auto&& response) {
                                  return forwarded_answer{.status = response.getStatus(),
                                                          .body = ToText(response.getAnswer())};
                                }));
}

}  // namespace wagtail
