// An IPv4 address and a port.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace baobabport::support {

/// The address on which a process listens. Host names are not resolved.
struct address
{
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const address &) const = default;

    [[nodiscard]] std::string text() const { return ip + ':' + std::to_string(port); }
};

/**
 * Returns the address parsed from `IP:PORT`, or none if the text is invalid.
 */
std::optional<address> parse_address(const std::string &text);

} // namespace baobabport::support
