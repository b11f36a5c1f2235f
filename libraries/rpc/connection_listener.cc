#include "rpc/connection_listener.h"

#include <utility>

#include "rpc/listen.h"

namespace wagtail {

connection_listener::connection_listener(kj::Own<kj::ConnectionReceiver> receiver,
                                         accept_hook accepted)
    : receiver_(kj::mv(receiver)),
      accepted_(std::move(accepted)),
      accepting_(AcceptMore().eagerlyEvaluate([](kj::Exception&& /*error*/) {})) {}

kj::Promise<void> connection_listener::AcceptMore() {
  return receiver_->accept().then([this](kj::Own<kj::AsyncIoStream> connection) {
    accepted_(kj::mv(connection));
    return AcceptMore();
  });
}

absl::Status connection_listener::Listen(event_loop& loop, const std::string& address,
                                         accept_hook accepted,
                                         std::unique_ptr<connection_listener>& listener) {
  return ListenAt(loop, address, [&](kj::Own<kj::ConnectionReceiver> receiver) {
    listener = std::make_unique<connection_listener>(kj::mv(receiver), std::move(accepted));
  });
}

}  // namespace wagtail
