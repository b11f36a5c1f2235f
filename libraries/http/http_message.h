#pragma once

#include <functional>
#include <map>
#include <string>

/// @file
/// HTTP requests and answers as plain values, independent of the HTTP library.

namespace wagtail {

/// Header and query names are lower case.
using http_fields = std::map<std::string, std::string, std::less<>>;

struct http_request {
  std::string method{};  ///< GET, POST, PUT or DELETE
  std::string path{};    ///< path without query, percent-decoded, for instance /v1/jobs/ID
  http_fields query{};
  http_fields headers{};
  std::string body{};
  int socket = -1;  ///< of the connection, for detecting that the peer has closed it; -1 if unknown
};

struct http_response {
  int status = 200;
  http_fields headers{};
  std::string body{};
};

/// Answers one request; called from several threads at once.
using http_handler = std::function<http_response(const http_request&)>;

}  // namespace wagtail
