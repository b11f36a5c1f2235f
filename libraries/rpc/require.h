#pragma once

#include <kj/exception.h>

namespace wagtail {

/// Fails the current RPC call or promise unless `condition` holds.
/// @param what error message sent to the other end
inline void Require(bool condition, const char* what) {
  if (!condition) {
    kj::throwFatalException(
        kj::Exception(kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::heapString(what)));
  }
}

}  // namespace wagtail
