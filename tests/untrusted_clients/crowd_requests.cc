#include "tests/untrusted_clients/crowd_requests.h"

#include "absl/strings/str_cat.h"
#include "tests/fault_soak/soak_caller.h"

namespace wagtail::leased {

std::string Head(const std::string& path, const std::string& body_header) {
  return absl::StrCat("POST ", path, " HTTP/1.1\r\nHost: ", kSoakHost,
                      "\r\nContent-Type: application/json\r\n", body_header, "\r\n\r\n");
}

std::string HeadWithLength(const std::string& path, size_t length) {
  return Head(path, absl::StrCat("Content-Length: ", length));
}

std::string HeadOfChunks(const std::string& path) {
  return Head(path, "Transfer-Encoding: chunked");
}

std::string Request(const std::string& path, const std::string& body) {
  return HeadWithLength(path, body.size()) + body;
}

crowd_script UnfinishedBody(const std::string& path, size_t size) {
  return {.head = HeadWithLength(path, size), .piece = std::string(size - 1, ' '), .pieces = 1};
}

}  // namespace wagtail::leased
