#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "http.h"

namespace review {

/// Stand-in of the platform's store: rows of tables, without parts.
class store {
 public:
  store();
  ~store();

  bool Start(const std::string& address) { return server_.Start(address); }
  /// Writes a row as the operator does. An empty value removes it.
  void Put(const std::string& table, const std::string& key, const std::string& value);
  /// @return the value of a row, or an empty one
  std::string Get(const std::string& table, const std::string& key);

 private:
  struct row {
    std::string value{};
    uint64_t revision = 0;
  };

  std::optional<http_message> Answer(const http_message& request);
  http_message Rows(const std::string& target, uint64_t after);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, row>> tables_;
  uint64_t revision_ = 1;
  bool ending_ = false;
  http_server server_;
};

}  // namespace review
