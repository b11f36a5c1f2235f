#include "http/open_connections.h"

#include <sys/socket.h>

#include <optional>
#include <utility>

namespace wagtail {
namespace {

/// How late a limit of time may take effect.
constexpr duration kCheckInterval = std::chrono::milliseconds(500);
/// Bodies that arrive faster than this never give way to other requests: a caller's largest body
/// takes a fraction of it.
constexpr duration kBodyGrace = std::chrono::seconds(2);

}  // namespace

open_connections::open_connections(connection_limits limits,
                                   std::function<void(closing_reason)> closed)
    : closed_(std::move(closed)), table_(limits) {
  checker_ = std::jthread([this](const std::stop_token& stop) { CheckTimes(stop); });
}

open_connections::~open_connections() = default;

bool open_connections::Admit() {
  std::lock_guard lock(mutex_);
  connection_table::admission admission = table_.Admit(MonotonicNow());
  if (admission.displaced.has_value()) {
    ShutDown(*admission.displaced);
  }
  return admission.accepted;
}

void open_connections::Open(int socket) {
  std::lock_guard lock(mutex_);
  table_.Open(socket, MonotonicNow());
  if (table_.size() == 1) {
    opened_.notify_one();
  }
}

void open_connections::Remove(int socket) {
  std::lock_guard lock(mutex_);
  table_.Remove(socket);
}

bool open_connections::Enter(int socket, connection_phase phase) {
  std::lock_guard lock(mutex_);
  return table_.Enter(socket, phase, MonotonicNow());
}

void open_connections::Complete(int socket) {
  std::lock_guard lock(mutex_);
  table_.Complete(socket, MonotonicNow());
}

void open_connections::CloseSlowestBody() {
  std::lock_guard lock(mutex_);
  std::optional<connection_table::closing> slowest =
      table_.TakeSlowestBody(MonotonicNow(), kBodyGrace);
  if (slowest.has_value()) {
    ShutDown(*slowest);
  }
}

void open_connections::CloseIdle(duration idle_for) {
  std::lock_guard lock(mutex_);
  for (int socket : table_.TakeIdle(MonotonicNow(), idle_for)) {
    // The connection's thread still reads and answers what has arrived, then closes the socket.
    shutdown(socket, SHUT_RD);
  }
}

bool open_connections::IsReadShut(int socket) const {
  std::lock_guard lock(mutex_);
  return table_.IsReadShut(socket);
}

void open_connections::ShutDown(const connection_table::closing& closing) {
  closed_(closing.reason);
  // A handler at work sees that its caller is gone, and its answer is still sent.
  bool has_handler = closing.reason == closing_reason::kHandlerTime;
  shutdown(closing.socket, has_handler ? SHUT_RD : SHUT_RDWR);
}

void open_connections::CheckTimes(const std::stop_token& stop) {
  std::unique_lock lock(mutex_);
  while (!stop.stop_requested()) {
    if (table_.size() == 0) {
      opened_.wait(lock, stop, [this] { return table_.size() > 0; });
      continue;
    }
    opened_.wait_for(lock, stop, kCheckInterval, [] { return false; });
    for (const connection_table::closing& overdue : table_.TakeOverdue(MonotonicNow())) {
      ShutDown(overdue);
    }
  }
}

}  // namespace wagtail
