#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review {

using milliseconds = std::chrono::milliseconds;

/// A request or a response. Names of headers are in lower case.
struct http_message {
  std::string method{};
  std::string target{};
  int status = 200;
  std::map<std::string, std::string> headers{};
  std::string body{};
};

/// HTTP/1.1 server with a thread for each connection.
class http_server {
 public:
  /// @return the response, or nothing to close the connection without one
  using handler = std::function<std::optional<http_message>(const http_message&)>;

  explicit http_server(handler answer) : answer_(std::move(answer)) {}
  ~http_server() { Stop(); }
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// @return whether the server listens at this address (IP:PORT)
  bool Start(const std::string& address);
  /// Closes the listener and all connections, as the end of a process does.
  void Stop();

 private:
  void Accept();
  void Serve(int socket);

  handler answer_;
  std::atomic<int> listener_ = -1;
  std::thread acceptor_;
  std::mutex mutex_;
  std::set<int> open_;
  std::atomic<int> threads_ = 0;
};

/// Sends a request on a connection of its own.
/// @return the response, or nothing if none arrived in time
std::optional<http_message> Call(const std::string& address, const http_message& request,
                                 milliseconds timeout);

/// @return the value of a query parameter of a target, percent-decoded
std::string QueryParameter(const std::string& target, const std::string& name);

}  // namespace review
