#include "rpc/rpc_server.h"

#include <future>
#include <utility>

#include "rpc/batching_stream.h"

namespace wagtail {

rpc_server::rpc_server(kj::Own<kj::ConnectionReceiver> receiver,
                       capnp::Capability::Client bootstrap)
    : receiver_(kj::mv(receiver)),
      server_(kj::mv(bootstrap)),
      listening_(server_.listen(*receiver_).eagerlyEvaluate([](kj::Exception&& /*error*/) {})) {}

absl::Status rpc_server::Listen(event_loop& loop, const std::string& address,
                                listen_hook on_listening) {
  std::promise<absl::Status> outcome;
  loop.Post([&] {
    auto listening = loop.provider().getNetwork().parseAddress(address).then(
        [&](kj::Own<kj::NetworkAddress> where) {
          on_listening(Batching(where->listen()));
          outcome.set_value(absl::OkStatus());
        });
    loop.Detach(kj::mv(listening), [&outcome](kj::Exception&& error) {
      outcome.set_value(absl::UnavailableError(error.getDescription().cStr()));
    });
  });
  return outcome.get_future().get();
}

}  // namespace wagtail
