// CBOR encoding of the messages between processes, and decoding of bytes that may be anything.

#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace baobabport::support {

/// Nesting of a message; ours have at most 5 levels.
inline constexpr std::size_t max_cbor_nesting = 16;

/// Returns false if the bytes nest arrays, maps or tags more deeply than `limit`, or use an indefinite
/// length, which our encoder never does. The decoder recurses into each level and would exhaust the stack.
[[nodiscard]] bool is_nesting_within(std::string_view bytes, std::size_t limit = max_cbor_nesting);

[[nodiscard]] std::string to_cbor(const nlohmann::json &message);

/// Returns the decoded value; throws `nlohmann::json::exception` if the bytes are not CBOR or nest too
/// deeply.
[[nodiscard]] nlohmann::json from_cbor(std::string_view bytes);

/// Returns the enumerator of the number; throws `nlohmann::json::exception` above `last`.
template <typename Enum>
[[nodiscard]] Enum enum_of(const nlohmann::json &field, Enum last)
{
    const auto value = field.get<std::uint64_t>();
    if (value > static_cast<std::uint64_t>(last))
        throw nlohmann::json::other_error::create(501, "unknown value",
                                                  nullptr); // NOLINT: as any other error
    return static_cast<Enum>(value);
}

/// Returns the message that `read` takes from the decoded fields, or none if the bytes are not such a
/// message.
template <typename Message, typename Read>
[[nodiscard]] std::optional<Message> decode_cbor(std::string_view bytes, const Read &read)
{
    try {
        const auto fields = from_cbor(bytes);
        Message out;
        read(fields, out);
        return out;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt; // the caller reports unreadable messages
    }
}

} // namespace baobabport::support
