// The time since boot, including the time during which the VM was suspended.

#pragma once

#include <chrono>
#include <ctime>

namespace baobabport::support {

/**
 * Clock for everything on which a guarantee depends, such as leases: unlike the steady clock it continues
 * while the VM is suspended. Its times have the steady clock's type, but may only be compared with one
 * another.
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
