#pragma once

#include <atomic>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace review {

/// TCP relay on loopback. Open connections through it can be made to go silent, while new ones
/// work.
class relay {
 public:
  ~relay();

  /// @param from address to listen at (IP:PORT)
  /// @param to address to connect to
  /// @return whether it listens
  bool Start(const std::string& from, const std::string& to);
  /// From now on the connections that are open pass nothing on, and are not closed either.
  /// @return their number
  size_t SilenceOpenConnections();

 private:
  struct pair {
    int near = -1;
    int far = -1;
    std::atomic<bool> silent = false;
  };

  void Accept();
  void Forward(pair& connection);

  std::string to_;
  std::atomic<int> listener_ = -1;
  std::thread acceptor_;
  std::mutex mutex_;
  std::set<pair*> open_;
  std::atomic<int> threads_ = 0;
};

}  // namespace review
