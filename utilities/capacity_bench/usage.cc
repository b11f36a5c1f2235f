#include "utilities/capacity_bench/usage.h"

#include <dirent.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <time.h>

#include <cstdlib>
#include <fstream>
#include <memory>
#include <string>

namespace wagtail {

namespace {

// IPv4 header of 20 bytes, TCP header of 20 bytes and 12 bytes of timestamps.
constexpr uint64_t kHeaderBytes = 52;
// The kernel's TCP_ESTABLISHED; the two headers that hold it and tcp_info can't be mixed.
constexpr uint8_t kEstablished = 1;

duration TimeOf(clockid_t clock) {
  timespec now{};
  clock_gettime(clock, &now);
  return std::chrono::duration_cast<duration>(std::chrono::seconds(now.tv_sec) +
                                              std::chrono::nanoseconds(now.tv_nsec));
}

void AddTraffic(int descriptor, socket_traffic& sum) {
  tcp_info info{};
  socklen_t length = sizeof info;
  if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &length) != 0) {
    return;  // not a TCP socket
  }
  if (info.tcpi_state != kEstablished) {
    return;
  }
  ++sum.connections;
  sum.payload_bytes += info.tcpi_bytes_acked + info.tcpi_bytes_received;
  sum.segments += uint64_t{info.tcpi_segs_out} + info.tcpi_segs_in;
}

}  // namespace

duration ThreadTime() { return TimeOf(CLOCK_THREAD_CPUTIME_ID); }

duration TimeOfLoop(event_loop& loop) {
  duration used{};
  loop.Run([&used] { used = ThreadTime(); });
  return used;
}

duration ProcessTime() { return TimeOf(CLOCK_PROCESS_CPUTIME_ID); }

uint64_t ResidentKib() {
  std::ifstream status("/proc/self/status");
  std::string word;
  while (status >> word) {
    if (word == "VmRSS:") {
      uint64_t kib = 0;
      status >> kib;
      return kib;
    }
  }
  return 0;
}

uint64_t socket_traffic::wire_bytes() const { return payload_bytes + kHeaderBytes * segments; }

socket_traffic CountTraffic() {
  socket_traffic sum;
  std::unique_ptr<DIR, int (*)(DIR*)> folder(opendir("/proc/self/fd"), closedir);
  if (folder == nullptr) {
    return sum;
  }
  while (const dirent* item = readdir(folder.get())) {
    AddTraffic(std::atoi(item->d_name), sum);
  }
  return sum;
}

}  // namespace wagtail
