#include "rpc/rpc_server.h"

#include <utility>

#include "rpc/batching_stream.h"

namespace wagtail {

rpc_server::rpc_server(kj::Own<kj::ConnectionReceiver> receiver,
                       capnp::Capability::Client bootstrap)
    : receiver_(kj::mv(receiver)),
      server_(kj::mv(bootstrap)),
      listening_(server_.listen(*receiver_).eagerlyEvaluate([](kj::Exception&& /*error*/) {})) {}

absl::Status rpc_server::Listen(event_loop& loop, const std::string& address,
                                const listen_hook& on_listening) {
  return ListenAt(loop, address, [&](kj::Own<kj::ConnectionReceiver> receiver) {
    on_listening(Batching(kj::mv(receiver)));
  });
}

}  // namespace wagtail
