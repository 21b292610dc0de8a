// The messages by which a process obtains what its relay last read from the store.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace baobabport::inner {

enum class directory_part : std::uint8_t
{
    desired_state,
    instances,
};

/// Requests one part of the directory.
struct directory_request
{
    directory_part part = directory_part::desired_state;
};

/// The items of the part, as they are in the store but for keys, which are replaced by hashes.
struct directory_answer
{
    bool available = false; ///< false: the other side has not read it, or it is too large to pass on
    std::vector<std::pair<std::string, std::string>> items; ///< key and value
};

[[nodiscard]] std::string encode(const directory_request &message);
[[nodiscard]] std::string encode(const directory_answer &message);

/// Return the decoded message, or none if the bytes are not a message of that type.
[[nodiscard]] std::optional<directory_request> decode_directory_request(std::string_view bytes);
[[nodiscard]] std::optional<directory_answer> decode_directory_answer(std::string_view bytes);

} // namespace baobabport::inner
