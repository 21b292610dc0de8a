// A timer on a libevent loop.

#pragma once

#include <chrono>
#include <functional>
#include <memory>

struct event_base;

namespace baobabport::inner {

/**
 * Calls a hook once or periodically, and never after the object is destroyed.
 */
class timer
{
public:
    timer(event_base *base, std::function<void()> hook);
    ~timer();
    timer(const timer &) = delete;
    timer &operator=(const timer &) = delete;

    /// Calls the hook once after the delay. Replaces an earlier `start` or `repeat`.
    void start(std::chrono::milliseconds delay);

    /// Calls the hook once per interval. Replaces an earlier `start` or `repeat`.
    void repeat(std::chrono::milliseconds interval);

    void stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace baobabport::inner
