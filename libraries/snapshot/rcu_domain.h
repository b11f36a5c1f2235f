#pragma once

/// @file
/// The only place that knows liburcu. Tells ThreadSanitizer of the orderings that it can't see.

namespace wagtail {

/// Marks a read-side critical section of this thread while it lives; may be nested. The thread is
/// registered at its first one and unregistered when it ends.
class rcu_read_section {
 public:
  rcu_read_section();
  ~rcu_read_section();
  rcu_read_section(const rcu_read_section&) = delete;
  rcu_read_section& operator=(const rcu_read_section&) = delete;
};

/// Waits until every read section that had begun before the call has ended. Must not be called
/// inside a read section of the same thread, which would wait for itself.
void WaitForReaders();

}  // namespace wagtail
