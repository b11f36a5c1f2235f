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

async_http_client::async_http_client(event_loop& loop, const std::string& peer)
    : loop_(loop), peer_(peer) {
  std::optional<sockaddr_in> address = ParsePeer(peer);
  if (!address.has_value()) {
    return;
  }
  address_ = loop.provider().getNetwork().getSockaddr(&*address, sizeof(*address));
  kj::HttpClientSettings settings;
  settings.idleTimeout = kIdleTimeout;
  client_ = kj::newHttpClient(loop.timer(), table_, *address_, settings);
}

async_http_client::~async_http_client() = default;

kj::Promise<http_response> async_http_client::Exchange(const async_http_call& call) {
  kj::HttpHeaders headers(table_);
  headers.set(kj::HttpHeaderId::HOST, peer_);
  for (const auto& [name, value] : call.headers) {
    headers.add(kj::StringPtr(name.c_str()), kj::StringPtr(value.c_str()));
  }
  auto body = std::make_shared<const std::string>(call.body);
  auto request = client_->request(call.method, call.target, headers, body->size());
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
  if (client_.get() == nullptr) {
    answer(MakeError(http_error::kBadCall, "not an IPv4 address and port: " + peer_));
    return;
  }
  auto hook = std::make_shared<answer_hook>(std::move(answer));
  auto with_timeout =
      loop_.timer().timeoutAfter(call.timeout.count() * kj::MICROSECONDS, Exchange(call));
  loop_.Detach(with_timeout.then([hook](http_response&& response) { (*hook)(response); },
                                 [hook](kj::Exception&& error) {
                                   (*hook)(MakeError(KindOf(error), error.getDescription().cStr()));
                                 }));
}

}  // namespace wagtail
