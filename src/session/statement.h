// Parsed form of the statements that callers may send.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace baobabport::session {

enum class statement_kind : std::uint8_t
{
    begin,
    begin_read,
    commit,
    rollback,
    read,
    write,
    set_value,
    prepare,
    execute,
    close_prepared,
};

/**
 * A parsed statement.
 *
 * The kind determines which fields are set; the others are empty.
 */
struct statement
{
    statement_kind kind = statement_kind::read;
    std::string name;            ///< of the value or of the prepared statement
    std::string argument;        ///< value of `set_value`, shape of `prepare`, arguments of `execute`
    bool prepares_write = false; ///< `prepare`: the shape writes
};

/**
 * Returns the statement, or none if the text is not a valid one.
 */
[[nodiscard]] std::optional<statement> parse_statement(std::string_view text);

} // namespace baobabport::session
