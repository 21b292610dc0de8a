#include "support/address.h"

#include <arpa/inet.h>
#include <charconv>

namespace baobabport::support {

std::optional<address> parse_address(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    address out;
    out.ip = text.substr(0, colon);
    in_addr ip{};
    if (inet_pton(AF_INET, out.ip.c_str(), &ip) != 1)
        return std::nullopt;
    const auto *first = text.data() + colon + 1;
    const auto *last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(first, last, out.port);
    if (ec != std::errc() || end != last || out.port == 0)
        return std::nullopt;
    return out;
}

} // namespace baobabport::support
