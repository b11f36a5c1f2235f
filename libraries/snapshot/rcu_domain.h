#pragma once

/// @file
/// The only code that uses liburcu. Annotates orderings that ThreadSanitizer can't detect.

namespace wagtail {

/// Scoped read-side critical section of this thread; may be nested. The thread is registered at its
/// first section and unregistered when the thread exits.
class rcu_read_section {
 public:
  rcu_read_section();
  ~rcu_read_section();
  rcu_read_section(const rcu_read_section&) = delete;
  rcu_read_section& operator=(const rcu_read_section&) = delete;
};

/// Waits until every read section that had begun before the call has ended. Must not be called
/// inside a read section of the same thread, which would deadlock.
void WaitForReaders();

}  // namespace wagtail
