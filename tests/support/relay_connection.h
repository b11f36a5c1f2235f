#pragma once

#include <poll.h>

#include <array>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace wagtail {

/// Forwards bytes from one socket to the other, each chunk after its delay.
class relay_direction {
 public:
  relay_direction(int from, int to) : from_(from), to_(to) {}

  /// Drops the held chunks and everything received from now on, the end of the stream included.
  void Silence();
  /// @return whether more bytes may be read from the source
  bool wants_read() const;
  /// @return whether a chunk is due at `now`
  bool wants_write(instant now) const;
  /// @return when the next held chunk is due, if any
  std::optional<instant> next_due() const;
  /// @return whether the end of the stream was forwarded
  bool finished() const { return finished_; }
  /// Reads one chunk from the source.
  /// @param delay until the chunk is forwarded
  /// @return false if the source failed
  bool Receive(instant now, duration delay);
  /// Sends the chunks that are due.
  /// @return false if the destination failed
  bool Send(instant now);

 private:
  struct chunk {
    instant due;
    std::string bytes;  ///< empty marks the end of the stream
  };

  int from_;
  int to_;
  bool silent_ = false;
  bool source_ended_ = false;
  bool finished_ = false;
  size_t held_bytes_ = 0;
  std::deque<chunk> chunks_;
};

/// One relayed connection; owns both sockets.
class relay_connection {
 public:
  /// @param client accepted socket, non-blocking
  /// @param server socket to the destination, non-blocking, possibly still connecting
  relay_connection(int client, int server);
  ~relay_connection();
  relay_connection(const relay_connection&) = delete;
  relay_connection& operator=(const relay_connection&) = delete;

  void Silence();
  /// Drops all bytes from the server from now on.
  void SilenceAnswers();
  /// @return poll entries of the client's and the server's socket, in this order
  std::array<pollfd, 2> PollEntries(instant now) const;
  /// @return when the next held chunk is due, if any
  std::optional<instant> next_due() const;
  /// Forwards bytes after a poll of PollEntries().
  /// @return false once the connection has ended
  bool Forward(const pollfd& client, const pollfd& server, instant now, duration up_delay,
               duration down_delay);

 private:
  int client_;
  int server_;
  bool silent_ = false;
  relay_direction up_;
  relay_direction down_;
};

}  // namespace wagtail
