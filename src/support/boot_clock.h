// The time since boot, including the time during which the VM was suspended.

#pragma once

#include <chrono>
#include <ctime>

namespace baobabport::support {

/**
 * A clock for everything that guards a promise: unlike the steady clock it goes on while the VM is
 * suspended. Its times are of the steady clock's type and are only compared with one another.
 */
struct boot_clock
{
    using time_point = std::chrono::steady_clock::time_point;

    [[nodiscard]] static time_point now()
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};

} // namespace baobabport::support
