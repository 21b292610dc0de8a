// Message authentication, random bytes and base64, through OpenSSL.

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
 * Returns true if both are equal, in a time that does not depend on the position of a difference.
 */
bool equal_in_constant_time(std::string_view a, std::string_view b);

/**
 * Returns `n` random bytes from OpenSSL's generator; throws `std::runtime_error` if it fails.
 */
std::string random_bytes(std::size_t n);

/**
 * Returns the bytes as base64 text.
 */
std::string to_base64(std::string_view bytes);

/**
 * Returns the bytes decoded from a base64 text, or none if the text is invalid.
 */
std::optional<std::string> from_base64(std::string_view text);

} // namespace baobabport::support
