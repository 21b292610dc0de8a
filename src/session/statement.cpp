#include "session/statement.h"

#include <algorithm>

namespace baobabport::session {

namespace {

/// Removes the first word and the blank after it from the text, and returns the word.
std::string_view next_word(std::string_view &text)
{
    const auto end = std::min(text.find(' '), text.size());
    const auto word = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return word;
}

std::optional<statement> without_arguments(statement_kind kind, std::string_view rest)
{
    if (!rest.empty())
        return std::nullopt;
    statement out;
    out.kind = kind;
    return out;
}

std::optional<statement> parse_begin(std::string_view rest)
{
    if (rest.empty())
        return without_arguments(statement_kind::begin, rest);
    if (rest == "READ")
        return without_arguments(statement_kind::begin_read, {});
    return std::nullopt;
}

std::optional<statement> parse_prepare(std::string_view rest)
{
    statement out;
    out.kind = statement_kind::prepare;
    out.name = next_word(rest);
    const auto mode = next_word(rest);
    out.prepares_write = mode == "WRITE";
    out.argument = rest;
    if (out.name.empty() || rest.empty() || (mode != "READ" && mode != "WRITE"))
        return std::nullopt;
    return out;
}

/// Returns a statement of a name and an argument; the argument may be empty if `rest_optional`.
std::optional<statement> with_name(statement_kind kind, std::string_view rest, bool rest_optional)
{
    statement out;
    out.kind = kind;
    out.name = next_word(rest);
    out.argument = rest;
    if (out.name.empty() || (rest.empty() && !rest_optional))
        return std::nullopt;
    return out;
}

std::optional<statement> with_argument(statement_kind kind, std::string_view rest)
{
    if (rest.empty())
        return std::nullopt;
    statement out;
    out.kind = kind;
    out.argument = rest;
    return out;
}

std::optional<statement> close_prepared(std::string_view rest)
{
    if (rest.empty())
        return std::nullopt;
    statement out;
    out.kind = statement_kind::close_prepared;
    out.name = rest;
    return out;
}

} // namespace

std::optional<statement> parse_statement(std::string_view text)
{
    auto rest = text;
    const auto word = next_word(rest);
    if (word == "READ")
        return with_argument(statement_kind::read, rest);
    if (word == "WRITE")
        return with_argument(statement_kind::write, rest);
    if (word == "EXECUTE")
        return with_name(statement_kind::execute, rest, true);
    if (word == "BEGIN")
        return parse_begin(rest);
    if (word == "COMMIT")
        return without_arguments(statement_kind::commit, rest);
    if (word == "ROLLBACK")
        return without_arguments(statement_kind::rollback, rest);
    if (word == "SET")
        return with_name(statement_kind::set_value, rest, true);
    if (word == "PREPARE")
        return parse_prepare(rest);
    if (word == "CLOSE")
        return close_prepared(rest);
    return std::nullopt;
}

} // namespace baobabport::session
