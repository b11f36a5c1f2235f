#include "rpc/listen.h"

#include <future>
#include <utility>

namespace wagtail {

absl::Status ListenAt(event_loop& loop, const std::string& address,
                      const listen_hook& on_listening) {
  std::promise<absl::Status> outcome;
  loop.Post([&] {
    auto listening = loop.provider().getNetwork().parseAddress(address).then(
        [&](kj::Own<kj::NetworkAddress> parsed) {
          on_listening(parsed->listen());
          outcome.set_value(absl::OkStatus());
        });
    loop.Detach(kj::mv(listening), [&outcome](kj::Exception&& error) {
      outcome.set_value(absl::UnavailableError(error.getDescription().cStr()));
    });
  });
  return outcome.get_future().get();
}

}  // namespace wagtail
