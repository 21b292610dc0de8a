// Connections of clients that do not behave.

#pragma once

#include "support/address.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

struct event_base;
struct bufferevent;

namespace testing {

/**
 * A connection that sends what it is told, and reads nothing unless it is told to.
 */
class crowd_member
{
public:
    crowd_member(event_base *base, const baobabport::support::address &to);
    ~crowd_member();
    crowd_member(const crowd_member &) = delete;
    crowd_member &operator=(const crowd_member &) = delete;

    void send(const std::string &bytes);

    /// Ends the sending direction; the other one stays open.
    void half_close();

    /// Reads everything from now on.
    void read_all();

    /// Reads at most this many bytes, if any have arrived.
    void read_some(std::size_t bytes);

    [[nodiscard]] std::size_t unsent() const;

    /// Returns how many lines it has received that end an answer to a caller.
    [[nodiscard]] std::size_t prompts();

    std::string received;
    bool closed = false;

private:
    bufferevent *socket_;
    std::size_t prompts_ = 0;
    std::size_t counted_ = 0; ///< bytes of `received` in which prompts were counted
};

/// Members with the same destination.
class crowd
{
public:
    crowd(event_base *base, const baobabport::support::address &to, std::size_t members);

    /// Makes each member send what the function returns for its number.
    void send(const std::function<std::string(std::size_t)> &bytes);
    void send(const std::string &bytes);

    /// Makes the members send the bytes in pieces of this size, by turns.
    void send_in_pieces(const std::string &bytes, std::size_t piece);

    /// Returns true if no member that is connected has anything left to send.
    [[nodiscard]] bool has_sent_all() const;

    std::vector<std::unique_ptr<crowd_member>> members;
};

} // namespace testing
