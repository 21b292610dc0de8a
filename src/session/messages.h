// The messages of a session, between a caller and the proxy and between the proxy and an instance.

#pragma once

#include "consistency/position.h"
#include "session/answer_code.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace baobabport::session {

/// The transaction state of a session.
enum class transaction_state : std::uint8_t
{
    none,
    open,
    failed, ///< only the end of the transaction is accepted
};

/// Opens a session on a database.
struct open_session
{
    std::string database;
    std::string caller;
};

/// Requests the execution of one statement.
struct statement_request
{
    std::string id;
    std::string text;
};

struct close_session
{
};

/// A message that could not be read.
struct unreadable
{
    std::string reason;
};

using caller_message = std::variant<open_session, statement_request, close_session, unreadable>;

struct row
{
    std::string data;
};

/// Ends a successful answer.
struct success
{
    std::string receipt; ///< the instance's authentication code for this answer
};

/// Ends an unsuccessful answer.
struct failure
{
    answer_code code = answer_code::failed;
    std::string text;
};

/// Ends every answer: the next statement may be sent.
struct prompt
{
    transaction_state state = transaction_state::none;
    std::optional<consistency::position> log; ///< up to which position the instance had applied its log
};

using instance_message = std::variant<row, success, failure, prompt, unreadable>;

/// An instance's complete answer to one statement.
struct statement_answer
{
    /// Maximum size of rows and receipt in bytes, with `row_overhead` for each row; a row of the longest
    /// message fits.
    static constexpr std::size_t max_size = std::size_t{3584} * 1024;
    static constexpr std::size_t row_overhead = sizeof(std::string);
    /// Maximum size of an error's text in bytes; the rest is cut off.
    static constexpr std::size_t max_error_text = 1024;

    std::vector<std::string> rows;
    std::string receipt;
    std::optional<failure> error; ///< none: success
    prompt end;
    bool cut = false;     ///< too long: the rows are dropped, and `error` says so
    std::size_t size = 0; ///< of all rows that were added
    bool dropped = false; ///< `drop_rows` was called

    /// Adds a row, or drops all rows if there are too many.
    void add_row(std::string data);

    /// Drops all rows, since there is no memory for them, as if there were too many.
    void drop_rows();

    /// Ends the answer. If it is an error, its rows and the end of a long text are dropped.
    void finish(const prompt &at);
};

} // namespace baobabport::session
