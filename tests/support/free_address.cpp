#include "support/free_address.h"

#include <unistd.h>

namespace testing {

baobabport::support::address free_address()
{
    constexpr std::uint16_t first_port = 20000; // below the ephemeral port range of the system
    constexpr int bits = 7;
    constexpr int mask = (1 << bits) - 1;
    static std::uint16_t used = 0;
    const int pid = getpid();
    // From 127.64.0.1 upwards: the low 20 bits of the process id.
    const auto ip = "127." + std::to_string(64 + ((pid >> (2 * bits)) & (mask >> 1))) + '.' +
                    std::to_string((pid >> bits) & mask) + '.' + std::to_string(1 + (pid & mask));
    return {ip, static_cast<std::uint16_t>(first_port + used++)};
}

} // namespace testing
