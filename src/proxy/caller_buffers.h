// Input and output of a caller's connection, and the memory that they hold.

#pragma once

#include "platform/line_codec.h"
#include "proxy/client_limits.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

struct event_base;
struct bufferevent;

namespace baobabport::proxy {

/**
 * Owns the connection's socket and buffers, and charges them to the process's memory account.
 *
 * While the callers' share of memory is under pressure, one caller at a time is read beyond `small_size`, and
 * is closed if it sends nothing for `pressed_timeout`.
 */
class caller_buffers
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Bytes of input that are buffered while a statement runs; the rest stays in the caller's socket.
    static constexpr std::size_t max_input = std::size_t{256} * 1024;
    /// Bytes of unsent output above which no further statement of the caller is started.
    static constexpr std::size_t max_output = std::size_t{256} * 1024;
    /// A session that holds no more is read under pressure, too; a usual statement has a few hundred bytes.
    static constexpr std::size_t small_size = std::size_t{16} * 1024;
    /// Memory of a session that holds nothing else.
    static constexpr std::size_t session_size = std::size_t{4} * 1024;
    /// Copies of a statement while it runs: of the session, the request, its encoded form, and the output of
    /// a connection.
    static constexpr std::size_t copies_of_statement = 4;
    /// A caller that has sent a part of a message sends more within this time. A message of 1 MiB takes 4.2 s
    /// at 2 Mbit/s.
    static constexpr std::chrono::seconds message_timeout{30};
    static constexpr std::chrono::seconds pressed_timeout{2};
    /// A caller whose answers wait to be sent reads something within this time.
    static constexpr std::chrono::seconds unread_timeout{30};

    /// Takes over the socket. `shed` closes the connection, since the callers' memory is used up.
    caller_buffers(event_base *base, int socket, std::shared_ptr<client_limits> limits,
                   std::function<void()> shed);
    ~caller_buffers();
    caller_buffers(const caller_buffers &) = delete;
    caller_buffers &operator=(const caller_buffers &) = delete;

    [[nodiscard]] bufferevent *socket() const { return socket_; }

    void start();

    /// Returns the next complete line, or none.
    std::optional<std::string> next_line();

    /// Returns true if a line is too long. Nothing of it is kept after that.
    [[nodiscard]] bool overflowed();
    [[nodiscard]] bool output_is_full() const;
    void write(const std::string &bytes);
    void stop_reading();

    /// Records that bytes have arrived.
    void note_arrival(time_point now) { last_arrival_ = now; }

    /// Charges what the buffers hold, the session's values, and a running statement of this many bytes. This
    /// may end the session, or others. `waits_for_message`: the caller is the one who must go on.
    void charge(std::size_t state_bytes, std::size_t statement_bytes, bool waits_for_message, time_point now);

    /// Returns true if a charge may change what is read, although nothing has been read or written since.
    [[nodiscard]] bool awaits_memory() const { return suspended_ || has_turn_; }

    /// Returns whether there is memory for a statement of this size; a small one always finds it.
    [[nodiscard]] bool has_room(std::size_t bytes) const;

    /// Returns the reason for which the connection must be closed: the caller does not go on with a message.
    [[nodiscard]] const char *expired(time_point now) const;

    /// Closes the socket and releases the memory.
    void close();

private:
    void read_or_wait(bool waits_for_message, time_point now);

    bufferevent *socket_;
    std::shared_ptr<client_limits> limits_;
    platform::line_reader reader_;
    limits::memory_charge charge_;
    time_point last_arrival_;
    bool stopped_ = false;   ///< nothing more is read
    bool suspended_ = false; ///< nothing is read until there is memory
    bool has_turn_ = false;
    bool incomplete_ = false; ///< the caller has sent a part of a message, and more is read
};

} // namespace baobabport::proxy
