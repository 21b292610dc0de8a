// Codec of the line protocol between callers, proxy and instances.

#pragma once

#include "replication/member_report.h"
#include "session/connection_state.h"
#include "session/messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace baobabport::platform {

/// Maximum size of a message in bytes, from the protocol's description; a longer one ends the connection.
inline constexpr std::size_t max_message = std::size_t{1024} * 1024;

/// Id of the statements that the proxy sends on its own behalf.
inline constexpr const char *own_statement_id = "-";

/**
 * Splits a stream of bytes into lines, each of which ends with CR LF. A CR or LF alone is data.
 *
 * Nothing is read after a line that is longer than `max_message`.
 */
class line_reader
{
public:
    void append(std::string_view bytes);

    /// Returns the next complete line without its line ending, or none.
    std::optional<std::string> next();

    /// Returns true if a line, complete or not, is longer than `max_message`, without its line ending.
    [[nodiscard]] bool overflowed() const { return first_line().length > max_message; }

    /// Returns the bytes of memory that it holds.
    [[nodiscard]] std::size_t held_bytes() const { return buf_.capacity(); }

    /// Returns true if a line has begun and its end has not arrived, or has not been looked for.
    [[nodiscard]] bool has_rest() const { return begin_ < buf_.size(); }

    /// Forgets the bytes that have not been returned, and their memory.
    void clear();

private:
    struct extent
    {
        std::size_t length = 0; ///< without the line ending
        bool complete = false;
    };

    /// Returns the extent of the first line that has not been returned.
    [[nodiscard]] extent first_line() const;

    std::string buf_;
    std::size_t begin_ = 0;   ///< start of the bytes that have not been returned
    std::size_t scanned_ = 0; ///< no line ending begins between `begin_` and this offset
};

/// Returns true if the text can be the last field of a line.
[[nodiscard]] bool fits_in_line(std::string_view text);

[[nodiscard]] session::caller_message read_caller_line(std::string_view line);
[[nodiscard]] session::instance_message read_instance_line(std::string_view line);

/// Append the parts of an answer to a caller.
void write_row(std::string_view data, std::string &out);
void write_success(std::string_view receipt, std::string &out);
void write_failure(session::answer_code code, std::string_view text, std::string &out);
void write_prompt(session::transaction_state state, std::string &out);

/// Append messages to an instance.
void write_open(const std::string &service, const std::string &caller, const std::string &instance,
                std::string &out);
void write_statement(std::string_view id, std::string_view text, std::string &out);

/// Returns true if the message of a statement is not longer than `max_message`.
[[nodiscard]] bool statement_fits(std::string_view id, std::string_view text);

/// Return the texts of statements that the proxy sends.
[[nodiscard]] std::string begin_text(bool read_only, const std::optional<consistency::position> &at_least);
[[nodiscard]] std::string at_least_text(const consistency::position &floor, std::string_view text);
/// Returns an execute in which `name` is replaced by `new_name`, or none if the text is not an execute of
/// `name`. The rest of the text stays as it is; `name` may hold blanks.
[[nodiscard]] std::optional<std::string> rename_execute(std::string_view text, std::string_view name,
                                                        std::string_view new_name);
[[nodiscard]] std::string set_text(const std::string &name, const std::string &value);
[[nodiscard]] std::string prepare_text(const session::named_statement &it);
[[nodiscard]] std::string close_text(const std::string &name);
[[nodiscard]] std::string rollback_text();
[[nodiscard]] std::string reset_text();
[[nodiscard]] std::string status_text();
[[nodiscard]] std::string pause_text(std::uint64_t term);
[[nodiscard]] std::string resume_text();
[[nodiscard]] std::string step_down_text(std::uint64_t term);

/// Returns the report in the row that answers a status command, or none if the row is malformed.
[[nodiscard]] std::optional<replication::member_report> read_member_report(std::string_view row);

/// Returns the name of the answer code in the protocol and in logs.
[[nodiscard]] std::string_view code_word(session::answer_code code);

} // namespace baobabport::platform
