#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>

namespace wagtail {

/// @return VmHWM of a process in KB, 0 if it has ended
size_t PeakMemoryKb(pid_t pid);

/// @return number of open descriptors of a process, 0 if it has ended
size_t OpenDescriptors(pid_t pid);

/// @return bytes that the kernel has received for TCP connections to this address and that no
///   process has read
size_t UnreadBytes(const std::string& ip);

/// What one process used at most while it was observed.
struct process_usage {
  /// Memory of the process and the bytes that the kernel held for it unread at the same time.
  size_t memory_kb = 0;
  size_t unread_kb = 0;
  size_t descriptors = 0;
};

/// Samples the usage of a process on a thread until destruction.
class usage_sampler {
 public:
  /// @param ip address that only this process uses
  usage_sampler(pid_t pid, std::string ip);

  process_usage peak() const;

 private:
  void Sample();

  const pid_t pid_;
  const std::string ip_;
  std::atomic<size_t> memory_kb_ = 0;
  std::atomic<size_t> unread_kb_ = 0;
  std::atomic<size_t> descriptors_ = 0;
  std::jthread thread_;
};

}  // namespace wagtail
