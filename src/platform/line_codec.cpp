// Parsing and formatting of the line protocol.

#include "platform/line_codec.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>
#include <vector>

namespace baobabport::platform {

using consistency::position;
using session::answer_code;
using session::transaction_state;

namespace {

constexpr std::string_view no_position = "-";
constexpr std::string_view line_ending = "\r\n";
constexpr std::string_view statement_word = "QUERY ";
/// A reader that waits for bytes keeps at most this capacity beyond twice the bytes that it has; usual lines
/// fit it.
constexpr std::size_t spare_capacity = 4096;

struct code_name
{
    answer_code code;
    std::string_view word;
};

constexpr std::array<code_name, 13> code_names{{
    {answer_code::busy, "BUSY"},
    {answer_code::aborted, "ABORTED"},
    {answer_code::lagging, "LAGGING"},
    {answer_code::read_only, "READONLY"},
    {answer_code::moved, "MOVED"},
    {answer_code::connection_limit, "MAXCONN"},
    {answer_code::in_doubt, "INDOUBT"},
    {answer_code::timed_out, "TIMEOUT"},
    {answer_code::failed, "FAILED"},
    {answer_code::unknown_name, "UNKNOWN"},
    {answer_code::malformed, "MALFORMED"},
    {answer_code::no_database, "NODB"},
    {answer_code::denied, "DENIED"},
}};

std::string_view pop_word(std::string_view &text)
{
    const auto end = std::min(text.find(' '), text.size());
    const auto word = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return word;
}

template <typename Number>
bool read_number(std::string_view text, Number &out)
{
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
    return ec == std::errc() && end == text.data() + text.size();
}

std::optional<position> read_position(std::string_view text)
{
    const auto dot = text.find('.');
    position out;
    if (dot == std::string_view::npos || !read_number(text.substr(0, dot), out.term) ||
        !read_number(text.substr(dot + 1), out.offset))
        return std::nullopt;
    return out;
}

std::string position_text(const position &at)
{
    return std::to_string(at.term) + '.' + std::to_string(at.offset);
}

session::instance_message read_failure(std::string_view rest)
{
    const auto word = pop_word(rest);
    const auto *const it = std::find_if(code_names.begin(), code_names.end(),
                                        [word](const auto &name) { return name.word == word; });
    if (it == code_names.end())
        return session::unreadable{"unknown error code " + std::string(word)};
    return session::failure{it->code, std::string(rest)};
}

session::instance_message read_prompt(std::string_view rest)
{
    const auto word = pop_word(rest);
    session::prompt out;
    if (word == "T")
        out.state = transaction_state::open;
    else if (word == "E")
        out.state = transaction_state::failed;
    else if (word != "I")
        return session::unreadable{"unknown session state " + std::string(word)};
    if (rest != no_position) {
        out.log = read_position(rest);
        if (!out.log)
            return session::unreadable{"bad log position " + std::string(rest)};
    }
    return out;
}

void end_line(std::string &out)
{
    out += line_ending;
}

} // namespace

void line_reader::append(std::string_view bytes)
{
    if (begin_ == buf_.size()) {
        buf_.clear();
        begin_ = 0;
        scanned_ = 0;
    }
    buf_.append(bytes);
}

line_reader::extent line_reader::first_line() const
{
    const auto end = buf_.find(line_ending, scanned_);
    if (end != std::string::npos)
        return {end - begin_, true};
    // A CR at the end may be the first half of a line ending.
    const bool half_ending = buf_.size() > begin_ && buf_.back() == line_ending.front();
    return {buf_.size() - begin_ - (half_ending ? 1 : 0), false};
}

std::optional<std::string> line_reader::next()
{
    const auto line = first_line();
    if (line.length > max_message)
        return std::nullopt;
    if (!line.complete) {
        buf_.erase(0, begin_);
        begin_ = 0;
        scanned_ = line.length;
        if (buf_.capacity() > 2 * buf_.size() + spare_capacity)
            buf_.shrink_to_fit();
        return std::nullopt;
    }
    if (line.length > spare_capacity && begin_ == 0 && buf_.size() == line.length + line_ending.size()) {
        // A long line that arrived alone is passed on without a copy.
        buf_.resize(line.length);
        scanned_ = 0;
        return std::exchange(buf_, {});
    }
    std::string out = buf_.substr(begin_, line.length);
    begin_ += line.length + line_ending.size();
    scanned_ = begin_;
    return out;
}

void line_reader::clear()
{
    buf_ = {};
    begin_ = 0;
    scanned_ = 0;
}

bool fits_in_line(std::string_view text)
{
    return text.find(line_ending) == std::string_view::npos;
}

session::caller_message read_caller_line(std::string_view line)
{
    auto rest = line;
    const auto word = pop_word(rest);
    if (word == "QUERY") {
        session::statement_request out;
        out.id = pop_word(rest);
        out.text = rest;
        if (out.id.empty() || out.text.empty())
            return session::unreadable{"a statement needs an id and a text"};
        return out;
    }
    if (word == "CONNECT") {
        session::open_session out;
        out.database = pop_word(rest);
        out.caller = rest;
        if (out.database.empty())
            return session::unreadable{"no database is named"};
        return out;
    }
    if (word == "QUIT")
        return session::close_session{};
    return session::unreadable{"unknown message"};
}

session::instance_message read_instance_line(std::string_view line)
{
    auto rest = line;
    const auto word = pop_word(rest);
    if (word == "ROW")
        return session::row{std::string(rest)};
    if (word == "COMPLETE")
        return session::success{std::string(rest)};
    if (word == "ERROR")
        return read_failure(rest);
    if (word == "READY")
        return read_prompt(rest);
    return session::unreadable{"unknown message"};
}

void write_row(std::string_view data, std::string &out)
{
    out += "ROW ";
    out += data;
    end_line(out);
}

void write_success(std::string_view receipt, std::string &out)
{
    out += "COMPLETE ";
    out += receipt.empty() ? std::string_view("-") : receipt;
    end_line(out);
}

void write_failure(answer_code code, std::string_view text, std::string &out)
{
    out += "ERROR ";
    out += code_word(code);
    out += ' ';
    out += text.empty() ? std::string_view("-") : text;
    end_line(out);
}

void write_prompt(transaction_state state, std::string &out)
{
    out += "READY ";
    out += state == transaction_state::none ? 'I' : state == transaction_state::open ? 'T' : 'E';
    out += ' ';
    out += no_position;
    end_line(out);
}

void write_open(const std::string &service, const std::string &caller, const std::string &instance,
                std::string &out)
{
    out += "CONNECT " + service + ' ' + caller + ' ' + instance;
    end_line(out);
}

bool statement_fits(std::string_view id, std::string_view text)
{
    return statement_word.size() + id.size() + 1 + text.size() <= max_message;
}

void write_statement(std::string_view id, std::string_view text, std::string &out)
{
    out += statement_word;
    out += id;
    out += ' ';
    out += text;
    end_line(out);
}

std::string begin_text(bool read_only, const std::optional<position> &at_least)
{
    const std::string text = read_only ? "BEGIN READ" : "BEGIN";
    return at_least ? at_least_text(*at_least, text) : text;
}

std::string at_least_text(const position &floor, std::string_view text)
{
    return "AFTER " + position_text(floor) + ' ' + std::string(text);
}

std::optional<std::string> rename_execute(std::string_view text, std::string_view name,
                                          std::string_view new_name)
{
    constexpr std::string_view word = "EXECUTE ";
    if (!text.starts_with(word) || !text.substr(word.size()).starts_with(name))
        return std::nullopt;
    const auto rest = text.substr(word.size() + name.size());
    if (!rest.empty() && rest.front() != ' ')
        return std::nullopt;
    std::string out(word);
    out += new_name;
    out += rest;
    return out;
}

std::string set_text(const std::string &name, const std::string &value)
{
    return "SET " + name + ' ' + value;
}

std::string prepare_text(const session::named_statement &it)
{
    return "PREPARE " + it.name + (it.prepared.writes ? " WRITE " : " READ ") + it.prepared.shape;
}

std::string close_text(const std::string &name)
{
    return "CLOSE " + name;
}

std::string rollback_text()
{
    return "ROLLBACK";
}

std::string reset_text()
{
    return "RESET";
}

std::string status_text()
{
    return "STATUS";
}

std::string pause_text(std::uint64_t term)
{
    return "PAUSE " + std::to_string(term);
}

std::string resume_text()
{
    return "RESUME";
}

std::string step_down_text(std::uint64_t term)
{
    return "STEPDOWN " + std::to_string(term);
}

std::optional<replication::member_report> read_member_report(std::string_view row)
{
    std::vector<std::string_view> words;
    while (!row.empty())
        words.push_back(pop_word(row));
    constexpr std::size_t fields = 7;
    if (words.size() < fields || (words[0] != "primary" && words[0] != "replica"))
        return std::nullopt;
    replication::member_report out;
    if (words[0] == "primary")
        out.role = consistency::instance_role::primary;
    const auto received = read_position(words[2]);
    // The row's fifth word is the lag in milliseconds; it is not used, since positions are more exact.
    if (!received || !read_number(words[1], out.term) || !read_number(words[3], out.paused_at) ||
        !read_number(words[5], out.busy_slots) || !read_number(words[6], out.connections))
        return std::nullopt;
    out.received = *received;
    return out;
}

std::string_view code_word(answer_code code)
{
    const auto *const it = std::find_if(code_names.begin(), code_names.end(),
                                        [code](const auto &name) { return name.code == code; });
    return it->word;
}

} // namespace baobabport::platform
