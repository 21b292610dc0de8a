// Message authentication and random texts, through OpenSSL.

#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace baobabport::support {

/**
 * Returns the HMAC-SHA256 of the message, 32 bytes.
 */
std::string hmac_sha256(std::string_view key, std::string_view message);

/**
 * Returns true if both are equal, in a time that does not depend on where they differ.
 */
bool equal_in_constant_time(std::string_view a, std::string_view b);

/**
 * Returns random bytes from the system's source.
 */
std::string random_bytes(std::size_t n);

/**
 * Returns the bytes as base64 text.
 */
std::string to_base64(std::string_view bytes);

/**
 * Returns the bytes of a base64 text, or none if it is not one.
 */
std::optional<std::string> from_base64(std::string_view text);

} // namespace baobabport::support
