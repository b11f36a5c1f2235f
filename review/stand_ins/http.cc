#include "http.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>

#include "sockets.h"

namespace review {
namespace {

using steady = std::chrono::steady_clock;

constexpr int kBacklog = 128;
constexpr size_t kBufferSize = 65536;

bool SendAll(int socket, const std::string& text) {
  size_t sent = 0;
  while (sent < text.size()) {
    ssize_t written = send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (written <= 0) {
      return false;
    }
    sent += static_cast<size_t>(written);
  }
  return true;
}

std::string Lower(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char each) { return std::tolower(each); });
  return text;
}

/// Reads messages from a socket until a deadline.
class message_reader {
 public:
  message_reader(int socket, steady::time_point end) : socket_(socket), end_(end) {}

  std::optional<http_message> Next() {
    size_t head_end = std::string::npos;
    while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill()) {
        return std::nullopt;
      }
    }
    http_message message;
    ReadHead(buffer_.substr(0, head_end), message);
    buffer_.erase(0, head_end + 4);
    if (message.headers.contains("transfer-encoding")) {
      return ReadChunks(message) ? std::optional(message) : std::nullopt;
    }
    auto length = message.headers.find("content-length");
    size_t size =
        length == message.headers.end() ? 0 : std::strtoul(length->second.c_str(), nullptr, 10);
    while (buffer_.size() < size) {
      if (!Fill()) {
        return std::nullopt;
      }
    }
    message.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return message;
  }

 private:
  bool Fill() {
    auto left = std::chrono::duration_cast<milliseconds>(end_ - steady::now()).count();
    pollfd waiting{.fd = socket_, .events = POLLIN, .revents = 0};
    if (left <= 0 || poll(&waiting, 1, static_cast<int>(std::min<int64_t>(left, 3'600'000))) <= 0) {
      return false;
    }
    std::array<char, kBufferSize> bytes{};
    ssize_t received = recv(socket_, bytes.data(), bytes.size(), 0);
    if (received <= 0) {
      return false;
    }
    buffer_.append(bytes.data(), static_cast<size_t>(received));
    return true;
  }

  bool ReadChunks(http_message& message) {
    while (true) {
      size_t line_end = std::string::npos;
      while ((line_end = buffer_.find("\r\n")) == std::string::npos) {
        if (!Fill()) {
          return false;
        }
      }
      size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < line_end + 2 + size + 2) {
        if (!Fill()) {
          return false;
        }
      }
      message.body += buffer_.substr(line_end + 2, size);
      buffer_.erase(0, line_end + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }

  static void ReadHead(const std::string& head, http_message& message) {
    size_t line_end = std::min(head.find("\r\n"), head.size());
    std::string first = head.substr(0, line_end);
    size_t space = first.find(' ');
    size_t second = first.find(' ', space + 1);
    message.method = first.substr(0, space);
    message.target = first.substr(space + 1, second - space - 1);
    if (message.method.starts_with("HTTP/")) {
      message.status = std::atoi(message.target.c_str());
    }
    while (line_end < head.size()) {
      size_t begin = line_end + 2;
      line_end = std::min(head.find("\r\n", begin), head.size());
      std::string line = head.substr(begin, line_end - begin);
      size_t colon = line.find(':');
      if (colon != std::string::npos) {
        size_t value = std::min(line.find_first_not_of(' ', colon + 1), line.size());
        message.headers[Lower(line.substr(0, colon))] = line.substr(value);
      }
    }
  }

  int socket_;
  steady::time_point end_;
  std::string buffer_;
};

std::string HeadersOf(const http_message& message) {
  std::string text;
  for (const auto& [name, value] : message.headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  return text + "content-length: " + std::to_string(message.body.size()) + "\r\n\r\n" +
         message.body;
}

}  // namespace

bool http_server::Start(const std::string& address) {
  int created = ListenAt(address, kBacklog);
  if (created < 0) {
    return false;
  }
  listener_ = created;
  acceptor_ = std::thread([this] { Accept(); });
  return true;
}

void http_server::Stop() {
  int listener = listener_.exchange(-1);
  if (listener >= 0) {
    shutdown(listener, SHUT_RDWR);
    acceptor_.join();
    close(listener);
  }
  {
    std::lock_guard lock(mutex_);
    for (int socket : open_) {
      shutdown(socket, SHUT_RDWR);
    }
  }
  while (threads_ > 0) {
    std::this_thread::sleep_for(milliseconds(1));
  }
}

void http_server::Accept() {
  while (true) {
    int listener = listener_;
    int socket = listener < 0 ? -1 : accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      return;
    }
    std::lock_guard lock(mutex_);
    if (listener_ < 0) {
      close(socket);
      return;
    }
    open_.insert(socket);
    ++threads_;
    std::thread([this, socket] { Serve(socket); }).detach();
  }
}

void http_server::Serve(int socket) {
  int one = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  message_reader reader(socket, steady::now() + std::chrono::hours(1));
  while (auto request = reader.Next()) {
    std::optional<http_message> response = answer_(*request);
    if (!response.has_value()) {
      break;
    }
    std::string line = "HTTP/1.1 " + std::to_string(response->status) + " Answer\r\n";
    if (!SendAll(socket, line + HeadersOf(*response))) {
      break;
    }
  }
  {
    std::lock_guard lock(mutex_);
    open_.erase(socket);
    close(socket);
  }
  --threads_;
}

std::optional<http_message> Call(const std::string& address, const http_message& request,
                                 milliseconds timeout) {
  int socket = ConnectTo(address);
  if (socket < 0) {
    return std::nullopt;
  }
  http_message full = request;
  full.headers.try_emplace("host", address);
  full.headers.try_emplace("content-type", "application/json");
  std::string line = request.method + " " + request.target + " HTTP/1.1\r\n";
  std::optional<http_message> response;
  if (SendAll(socket, line + HeadersOf(full))) {
    response = message_reader(socket, steady::now() + timeout).Next();
  }
  close(socket);
  return response;
}

std::string QueryParameter(const std::string& target, const std::string& name) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    size_t next = target.find('&', at + 1);
    std::string pair = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
    if (pair.starts_with(name + "=")) {
      std::string decoded;
      for (size_t each = name.size() + 1; each < pair.size(); ++each) {
        if (pair[each] == '%' && each + 2 < pair.size()) {
          decoded += static_cast<char>(std::strtol(pair.substr(each + 1, 2).c_str(), nullptr, 16));
          each += 2;
        } else {
          decoded += pair[each];
        }
      }
      return decoded;
    }
    at = next;
  }
  return {};
}

}  // namespace review
