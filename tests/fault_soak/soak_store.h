#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "http/http_server.h"
#include "tests/support/tcp_relay.h"

namespace wagtail::leased {

/// Stand-in for the platform's store: rows in tables, reads, long polls and writes.
class soak_store {
 public:
  enum class mood {
    kWell,
    kDown,         ///< answers 503
    kSlow,         ///< answers after two seconds
    kLosesAnswers  ///< does what it is asked and answers too late
  };

  /// @param where IP to listen on
  /// @param entries addresses of entries that begin so are handed out with `relays` in their place
  soak_store(const std::string& where, std::string entries, std::string relays);
  ~soak_store();

  loopback_address address() const;
  void SetMood(mood mood) { mood_ = mood; }
  /// The operator writes a row, or erases it with an empty value.
  void Put(const std::string& table, const std::string& key, const std::string& value);

 private:
  struct row {
    std::string value;
    uint64_t revision = 0;
    bool deleted = false;
  };
  http_response Answer(const http_request& request);
  http_response Rows(const http_request& request, uint64_t after);
  http_response Write(const std::string& body);
  std::string HandedOut(const std::string& table, const std::string& key) const;

  std::string ip_;
  std::string entries_;
  std::string relays_;
  std::atomic<mood> mood_ = mood::kWell;
  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t revision_ = 1;
  std::map<std::string, std::map<std::string, row>> tables_;
  std::unique_ptr<http_server> server_;
};

}  // namespace wagtail::leased
