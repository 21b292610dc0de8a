// An IP number and a port.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace baobabport::support {

/// Where a process listens. Names are never looked up.
struct address
{
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const address &) const = default;

    [[nodiscard]] std::string text() const { return ip + ':' + std::to_string(port); }
};

/**
 * Returns the address written as `IP:PORT`, or none.
 */
std::optional<address> parse_address(const std::string &text);

} // namespace baobabport::support
