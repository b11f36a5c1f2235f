#include "snapshot/rcu_domain.h"

#include <urcu/urcu-memb.h>

#include "base/verify.h"

#if defined(__SANITIZE_THREAD__)
#define WAGTAIL_THREAD_SANITIZER 1
#elif defined(__has_feature)
#if __has_feature(thread_sanitizer)
#define WAGTAIL_THREAD_SANITIZER 1
#endif
#endif

#ifdef WAGTAIL_THREAD_SANITIZER
#include <sanitizer/tsan_interface.h>
#endif

namespace wagtail {

namespace {

#ifdef WAGTAIL_THREAD_SANITIZER
/// Represents, for ThreadSanitizer, the ordering between the end of a read section and a later
/// grace period.
char grace_period_order;

void AnnounceReadEnd() { __tsan_release(&grace_period_order); }
void ObserveReadEnds() { __tsan_acquire(&grace_period_order); }
#else
void AnnounceReadEnd() {}
void ObserveReadEnds() {}
#endif

/// Registers a thread with liburcu until the thread exits.
class thread_registration {
 public:
  thread_registration() { urcu_memb_register_thread(); }
  ~thread_registration() { urcu_memb_unregister_thread(); }
  thread_registration(const thread_registration&) = delete;
  thread_registration& operator=(const thread_registration&) = delete;

  int depth = 0;  ///< nesting of read sections
};

thread_registration& ThisThread() {
  thread_local thread_registration registration;
  return registration;
}

}  // namespace

rcu_read_section::rcu_read_section() {
  ++ThisThread().depth;
  urcu_memb_read_lock();
}

rcu_read_section::~rcu_read_section() {
  AnnounceReadEnd();
  urcu_memb_read_unlock();
  --ThisThread().depth;
}

void WaitForReaders() {
  VERIFY(ThisThread().depth == 0);
  urcu_memb_synchronize_rcu();
  ObserveReadEnds();
}

}  // namespace wagtail
