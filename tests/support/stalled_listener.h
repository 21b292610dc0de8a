// A listener that accepts a connection and reads only when the test requests it.

#pragma once

#include "support/address.h"

#include <chrono>
#include <cstdint>
#include <event2/event.h>
#include <string>

namespace testing {

/// State of a connection, as its other end detects it.
enum class connection_end : std::uint8_t
{
    still_open,
    closed, ///< all sent bytes arrived, then the end of the stream
    reset,  ///< bytes that had not arrived are lost
};

/**
 * The remote end of a connection on which unread bytes accumulate.
 */
class stalled_listener
{
public:
    stalled_listener();
    ~stalled_listener();
    stalled_listener(const stalled_listener &) = delete;
    stalled_listener &operator=(const stalled_listener &) = delete;

    [[nodiscard]] const baobabport::support::address &at() const { return at_; }

    /// Accepts a pending connection; returns true once there is one.
    bool accepted();

    /// Writes to the connection.
    void write(const std::string &text) const;

    /// Returns true if there are received bytes that were not read.
    [[nodiscard]] bool has_unread() const;

    /// Reads all received bytes and returns the state of the connection.
    connection_end read();

    /// Returns all bytes read so far.
    [[nodiscard]] const std::string &text() const { return text_; }

private:
    int listener_ = -1;
    int socket_ = -1;
    baobabport::support::address at_;
    std::string text_;
    connection_end end_ = connection_end::still_open;
};

/// Runs the loop until the condition holds; returns false if it does not within 10 s.
template <typename Condition>
bool run_until(event_base *base, Condition condition)
{
    constexpr std::chrono::seconds wait_limit{10};
    constexpr timeval interval{0, 5000};
    const auto end = std::chrono::steady_clock::now() + wait_limit;
    auto *const wake = event_new(
        base, -1, EV_PERSIST, [](int, short, void *) {}, nullptr);
    event_add(wake, &interval);
    while (!condition() && std::chrono::steady_clock::now() < end)
        event_base_loop(base, EVLOOP_ONCE);
    event_free(wake);
    return condition();
}

} // namespace testing
