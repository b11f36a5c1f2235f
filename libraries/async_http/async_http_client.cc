#include "async_http/async_http_client.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cerrno>
#include <charconv>
#include <cstring>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

#include "http/http_error.h"
#include "http/http_runtime.h"

namespace wagtail {
namespace {

/// Shorter than the usual idle timeouts of servers, so that the client closes first.
constexpr kj::Duration kIdleTimeout = 10 * kj::SECONDS;
constexpr uint64_t kMaxAnswerBytes = 8 << 20;

std::optional<sockaddr_in> ParsePeer(const std::string& peer) {
  size_t colon = peer.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  uint16_t port = 0;
  const char* end = peer.data() + peer.size();
  auto parsed = std::from_chars(peer.data() + colon + 1, end, port);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  bool valid = parsed.ec == std::errc() && parsed.ptr == end &&
               inet_pton(AF_INET, peer.substr(0, colon).c_str(), &address.sin_addr) == 1;
  return valid ? std::optional(address) : std::nullopt;
}

/// @return kConnectFailed if the peer refused the connection, so that the request was not sent
http_error KindOf(const kj::Exception& error) {
  std::string_view text = error.getDescription().cStr();
  bool refused = text.find(std::strerror(ECONNREFUSED)) != std::string_view::npos;
  return refused ? http_error::kConnectFailed : http_error::kNoAnswer;
}

}  // namespace

/// The pool of connections, and what its requests and answers refer to.
struct async_http_client::connections {
  std::string peer;
  kj::HttpHeaderTable table;
  kj::Own<kj::NetworkAddress> address;
  kj::Own<kj::HttpClient> client;  ///< null if `peer` is no address

  kj::Promise<http_response> Exchange(const async_http_call& call);
};

async_http_client::async_http_client(event_loop& loop, const std::string& peer)
    : loop_(loop), connections_(std::make_shared<connections>()) {
  connections_->peer = peer;
  std::optional<sockaddr_in> address = ParsePeer(peer);
  if (!address.has_value()) {
    return;
  }
  connections_->address = loop.provider().getNetwork().getSockaddr(&*address, sizeof(*address));
  kj::HttpClientSettings settings;
  settings.idleTimeout = kIdleTimeout;
  connections_->client =
      kj::newHttpClient(loop.timer(), connections_->table, *connections_->address, settings);
}

async_http_client::~async_http_client() = default;

const std::string& async_http_client::peer() const { return connections_->peer; }

kj::Promise<http_response> async_http_client::connections::Exchange(const async_http_call& call) {
  kj::HttpHeaders headers(table);
  headers.set(kj::HttpHeaderId::HOST, peer);
  for (const auto& [name, value] : call.headers) {
    headers.add(kj::StringPtr(name.c_str()), kj::StringPtr(value.c_str()));
  }
  auto body = std::make_shared<const std::string>(call.body);
  auto request = client->request(call.method, call.target, headers, body->size());
  kj::Promise<void> written = kj::READY_NOW;
  if (!body->empty()) {
    written = request.body->write(body->data(), body->size());
  }
  auto sent = written.attach(kj::mv(request.body)).then([body] {});
  return sent.then([response = kj::mv(request.response)]() mutable { return kj::mv(response); })
      .then([](kj::HttpClient::Response&& response) {
        auto answer = std::make_shared<http_response>();
        answer->status = static_cast<int>(response.statusCode);
        response.headers->forEach([&answer](kj::StringPtr name, kj::StringPtr value) {
          answer->headers[LowerCase(name.cStr())] = value.cStr();
        });
        auto text = response.body->readAllText(kMaxAnswerBytes);
        return text.attach(kj::mv(response.body)).then([answer](kj::String&& all) {
          answer->body.assign(all.begin(), all.size());
          return kj::mv(*answer);
        });
      });
}

void async_http_client::Call(const async_http_call& call, answer_hook answer) {
  if (connections_->client.get() == nullptr) {
    answer(MakeError(http_error::kBadCall, "not an IPv4 address and port: " + peer()));
    return;
  }
  auto hook = std::make_shared<answer_hook>(std::move(answer));
  // A header that can't be sent fails the call, not its caller.
  auto exchange = kj::evalNow([this, &call] { return connections_->Exchange(call); });
  auto with_timeout =
      loop_.timer().timeoutAfter(call.timeout.count() * kj::MICROSECONDS, kj::mv(exchange));
  auto answered =
      with_timeout.then([hook](http_response&& response) { (*hook)(response); },
                        [hook](kj::Exception&& error) {
                          (*hook)(MakeError(KindOf(error), error.getDescription().cStr()));
                        });
  // An answer in flight refers to the connections, which outlive a client that is replaced.
  std::shared_ptr<connections> kept = connections_;
  loop_.Detach(answered.attach(kj::mv(kept)));
}

}  // namespace wagtail
