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

/// Fake of the platform's store: rows in tables, reads, long polls and writes.
class soak_store {
 public:
  enum class fault_mode {
    kNone,
    kDown,        ///< answers 503
    kSlow,        ///< answers after two seconds
    kLoseAnswers  ///< carries out requests and answers too late
  };

  /// @param ip IP to listen on
  /// @param entry_prefix prefix of entry addresses that reads replace by `relay_prefix`
  soak_store(const std::string& ip, std::string entry_prefix, std::string relay_prefix);
  ~soak_store();

  loopback_address address() const;
  void SetFaultMode(fault_mode mode) { fault_mode_ = mode; }
  /// Writes a row as the operator does; an empty value erases it.
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
  std::string RelayedKey(const std::string& table, const std::string& key) const;

  std::string ip_;
  std::string entry_prefix_;
  std::string relay_prefix_;
  std::atomic<fault_mode> fault_mode_ = fault_mode::kNone;
  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t revision_ = 1;
  std::map<std::string, std::map<std::string, row>> tables_;
  std::unique_ptr<http_server> server_;
};

}  // namespace wagtail::leased
