#pragma once

#include <cstddef>
#include <string>

#include "tests/untrusted_clients/client_crowd.h"

/// @file
/// Requests, and parts of requests, that the clients of a crowd send.

namespace wagtail::leased {

/// @return the request line and header of a POST with a JSON body
/// @param body_header the field that states the length of the body, or how it is sent
std::string Head(const std::string& path, const std::string& body_header);
std::string HeadWithLength(const std::string& path, size_t length);
std::string HeadOfChunks(const std::string& path);

/// @return a whole request
std::string Request(const std::string& path, const std::string& body);

/// @return a body of announced length that stops a byte short of its end
crowd_script UnfinishedBody(const std::string& path, size_t size);

}  // namespace wagtail::leased
