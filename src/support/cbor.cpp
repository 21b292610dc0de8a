#include "support/cbor.h"

#include <vector>

namespace baobabport::support {

namespace {

enum class major_type : std::uint8_t
{
    unsigned_number,
    negative_number,
    bytes,
    text,
    array,
    map,
    tag,
    simple,
};

struct item_head
{
    major_type type = major_type::simple;
    std::uint64_t argument = 0; ///< a value, or a number of bytes or items
};

/// Returns the head at `at` and moves `at` past it; none if the bytes end or the length is indefinite.
std::optional<item_head> read_head(std::string_view bytes, std::size_t &at)
{
    constexpr unsigned largest_inline = 23;
    constexpr unsigned largest_sized = 27; // the argument has 1, 2, 4 or 8 bytes
    if (at >= bytes.size())
        return std::nullopt;
    const auto first = static_cast<std::uint8_t>(bytes[at++]);
    item_head out;
    out.type = static_cast<major_type>(first >> 5U);
    const unsigned info = first & 0x1fU;
    if (info <= largest_inline) {
        out.argument = info;
        return out;
    }
    if (info > largest_sized)
        return std::nullopt;
    const auto size = std::size_t{1} << (info - largest_inline - 1);
    if (bytes.size() - at < size)
        return std::nullopt;
    for (std::size_t n = 0; n < size; ++n)
        out.argument = out.argument << 8U | static_cast<std::uint8_t>(bytes[at++]);
    return out;
}

} // namespace

bool is_nesting_within(std::string_view bytes, std::size_t limit)
{
    std::vector<std::uint64_t> open{1}; // items still expected at each level
    std::size_t at = 0;
    while (!open.empty()) {
        if (open.back() == 0) {
            open.pop_back();
            continue;
        }
        --open.back();
        const auto head = read_head(bytes, at);
        if (!head)
            return false;
        switch (head->type) {
        case major_type::bytes:
        case major_type::text:
            if (head->argument > bytes.size() - at)
                return false;
            at += head->argument;
            break;
        case major_type::array:
        case major_type::map:
        case major_type::tag:
            if (open.size() > limit || head->argument > bytes.size())
                return false; // each item takes a byte at least
            open.push_back(head->type == major_type::tag   ? 1
                           : head->type == major_type::map ? 2 * head->argument
                                                           : head->argument);
            break;
        case major_type::unsigned_number:
        case major_type::negative_number:
        case major_type::simple:
            break;
        }
    }
    return true;
}

std::string to_cbor(const nlohmann::json &message)
{
    std::string out;
    nlohmann::json::to_cbor(message, out);
    return out;
}

nlohmann::json from_cbor(std::string_view bytes)
{
    if (!is_nesting_within(bytes))
        throw nlohmann::json::other_error::create(501, "not a message",
                                                  nullptr); // NOLINT: as any other error
    return nlohmann::json::from_cbor(bytes.begin(), bytes.end());
}

} // namespace baobabport::support
