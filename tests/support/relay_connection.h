#pragma once

#include <poll.h>

#include <array>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace wagtail {

/// Bytes on their way from one socket to the other, each chunk held back until it is due.
class relay_direction {
 public:
  relay_direction(int from, int to) : from_(from), to_(to) {}

  /// Drops what is on its way and everything received from now on, end of stream included.
  void Silence();
  /// @return whether more bytes may be read from the source
  bool wants_read() const;
  /// @return whether a chunk is due at `now`
  bool wants_write(instant now) const;
  /// @return when the next chunk is due, if one waits
  std::optional<instant> next_due() const;
  /// @return whether the end of the stream was passed on
  bool finished() const { return finished_; }
  /// Reads what has arrived.
  /// @param delay until the chunk may go on
  /// @return false when the source is broken
  bool Receive(instant now, duration delay);
  /// Sends the chunks that are due.
  /// @return false when the destination is broken
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
  /// @param server socket towards the destination, non-blocking, possibly still connecting
  relay_connection(int client, int server);
  ~relay_connection();
  relay_connection(const relay_connection&) = delete;
  relay_connection& operator=(const relay_connection&) = delete;

  void Silence();
  /// Drops what comes from the server from now on.
  void SilenceAnswers();
  /// @return the client's socket and the server's, in this order, with the events waited for
  std::array<pollfd, 2> Wanted(instant now) const;
  /// @return the earliest time at which a chunk becomes due
  std::optional<instant> next_due() const;
  /// Moves bytes after a poll of Wanted.
  /// @return false when the connection is over
  bool Progress(const pollfd& client, const pollfd& server, instant now, duration up_delay,
                duration down_delay);

 private:
  int client_;
  int server_;
  bool silent_ = false;
  relay_direction up_;
  relay_direction down_;
};

}  // namespace wagtail
