// A listener that takes connections and reads nothing until it is told to.

#pragma once

#include "support/address.h"

#include <chrono>
#include <cstdint>
#include <event2/event.h>
#include <string>

namespace testing {

/// How a connection looks from its other side.
enum class connection_end : std::uint8_t
{
    still_open,
    closed, ///< all that was sent arrived, then its end
    reset,  ///< what had not arrived is lost
};

/**
 * Stands at the far side of a link on which bytes are held up.
 */
class stalled_listener
{
public:
    stalled_listener();
    ~stalled_listener();
    stalled_listener(const stalled_listener &) = delete;
    stalled_listener &operator=(const stalled_listener &) = delete;

    [[nodiscard]] const baobabport::support::address &at() const { return at_; }

    /// Returns true once a connection has been taken.
    bool accepted();

    /// Writes to the connection.
    void write(const std::string &text) const;

    /// Returns true if something has arrived that was not read.
    [[nodiscard]] bool has_unread() const;

    /// Reads what has arrived and returns how the connection stands.
    connection_end read();

    /// Returns all that was read.
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
