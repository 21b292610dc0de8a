// Tests of the line protocol: arbitrary fragmentation, valid messages, and rejection of invalid ones.

#include "platform/line_codec.h"

#include <catch2/catch.hpp>
#include <malloc.h>

using namespace baobabport;
using namespace baobabport::platform;
using session::answer_code;
using session::transaction_state;

namespace {

/// Returns the lines that the reader finds if it gets the bytes in parts of this size.
std::vector<std::string> lines_of(line_reader &reader, const std::string &bytes, std::size_t step)
{
    std::vector<std::string> out;
    for (std::size_t n = 0; n < bytes.size(); n += step) {
        reader.append(std::string_view(bytes).substr(n, step));
        while (auto line = reader.next())
            out.push_back(std::move(*line));
    }
    return out;
}

std::size_t allocated_bytes()
{
    const auto it = mallinfo2();
    return it.uordblks + it.hblkhd;
}

} // namespace

TEST_CASE("lines are complete for any fragmentation of their bytes")
{
    const std::string bytes = "CONNECT a b\r\nQUERY 1 READ x\r\nQUIT\r\nREST";
    for (std::size_t step = 1; step <= bytes.size(); ++step) {
        line_reader reader;
        const auto lines = lines_of(reader, bytes, step);
        CHECK(lines == std::vector<std::string>{"CONNECT a b", "QUERY 1 READ x", "QUIT"});
    }
}

TEST_CASE("a line that is longer than a message may be is detected before it ends")
{
    line_reader reader;
    reader.append(std::string(max_message, 'x'));
    CHECK_FALSE(reader.next());
    CHECK_FALSE(reader.overflowed());
    reader.append("y");
    CHECK(reader.overflowed());
}

// Guards against data that is cut off, and against its rest being run as a statement that nobody sent
// (docs/incidents/line-feed-in-data.md).
TEST_CASE("only CR LF ends a line: a line feed or carriage return alone is data")
{
    const std::string bytes = "QUERY 1 WRITE x a\nQUERY 2 READ y\r\nROW \r\r\nROW b\rc\r\n\nROW d\n\r\n";
    for (std::size_t step = 1; step <= bytes.size(); ++step) {
        line_reader reader;
        const auto lines = lines_of(reader, bytes, step);
        CHECK(lines == std::vector<std::string>{"QUERY 1 WRITE x a\nQUERY 2 READ y", "ROW \r", "ROW b\rc",
                                                "\nROW d\n"});
    }
    const auto statement =
        std::get<session::statement_request>(read_caller_line("QUERY 1 WRITE x a\nQUERY 2 READ y"));
    CHECK(statement.text == "WRITE x a\nQUERY 2 READ y");
    std::string out;
    write_statement(statement.id, statement.text, out);
    CHECK(out == "QUERY 1 WRITE x a\nQUERY 2 READ y\r\n");
    CHECK(std::get<session::row>(read_instance_line("ROW a\nREADY I -")).data == "a\nREADY I -");
}

TEST_CASE("a line of the longest message is read, and a longer one is not, however it arrives")
{
    for (const std::size_t extra : {0, 1}) {
        for (const std::size_t step : {std::size_t{1000}, max_message, max_message + 1, max_message + 3}) {
            const auto bytes = std::string(max_message + extra, 'x') + "\r\nQUIT\r\n";
            line_reader reader;
            const auto lines = lines_of(reader, bytes, step);
            INFO(extra << " more, in parts of " << step);
            CHECK(reader.overflowed() == (extra > 0));
            CHECK(lines.size() == (extra > 0 ? 0 : 2)); // nothing after a message that is too long
        }
    }
}

// Guards against sessions that are idle, each of which keeps the memory of the longest line that it has
// received.
TEST_CASE("a reader that waits for the next line does not keep the memory of a long one")
{
    std::vector<line_reader> readers(16);
    const auto bytes = std::string(max_message, 'x') + "\r\n";
    const auto before = allocated_bytes();
    for (const auto *const rest : {"", "QUERY 1 RE"}) {
        for (auto &it : readers) {
            it.append(bytes + rest);
            REQUIRE(it.next());
            REQUIRE_FALSE(it.next());
        }
        CHECK(allocated_bytes() < before + max_message);
        for (auto &it : readers)
            it.append("\r\n");
        for (auto &it : readers)
            REQUIRE(it.next().has_value());
    }
}

TEST_CASE("messages of callers are parsed")
{
    const auto open = std::get<session::open_session>(read_caller_line("CONNECT lepu270 u3f1"));
    CHECK(open.database == "lepu270");
    CHECK(open.caller == "u3f1");
    const auto statement = std::get<session::statement_request>(read_caller_line("QUERY 5c0e WRITE 1 a b"));
    CHECK(statement.id == "5c0e");
    CHECK(statement.text == "WRITE 1 a b");
    CHECK(std::holds_alternative<session::close_session>(read_caller_line("QUIT")));
    for (const auto *const line : {"", "QUERY", "QUERY 5c0e", "CONNECT", "READY I -", "query 1 READ x"})
        CHECK(std::holds_alternative<session::unreadable>(read_caller_line(line)));
}

TEST_CASE("messages of instances are parsed")
{
    CHECK(std::get<session::row>(read_instance_line("ROW a  b ")).data == "a  b ");
    CHECK(std::get<session::success>(read_instance_line("COMPLETE 7.1f3.c")).receipt == "7.1f3.c");
    const auto error = std::get<session::failure>(read_instance_line("ERROR READONLY i-7f3a"));
    CHECK(error.code == answer_code::read_only);
    CHECK(error.text == "i-7f3a");
    const auto ready = std::get<session::prompt>(read_instance_line("READY E 3.1209"));
    CHECK(ready.state == transaction_state::failed);
    CHECK(*ready.log == consistency::position{3, 1209});
    CHECK_FALSE(std::get<session::prompt>(read_instance_line("READY I -")).log);
    for (const auto *const line :
         {"", "ERROR", "ERROR WHAT x", "READY X -", "READY I 3", "READY I 3.x", "HELLO"})
        CHECK(std::holds_alternative<session::unreadable>(read_instance_line(line)));
}

TEST_CASE("answers to callers are formatted")
{
    std::string out;
    write_row("abc", out);
    write_success({}, out);
    write_failure(answer_code::in_doubt, "why", out);
    write_prompt(transaction_state::open, out);
    CHECK(out == "ROW abc\r\nCOMPLETE -\r\nERROR INDOUBT why\r\nREADY T -\r\n");
}

TEST_CASE("the proxy's own statements are formatted")
{
    CHECK(begin_text(true, consistency::position{3, 1207}) == "AFTER 3.1207 BEGIN READ");
    CHECK(begin_text(false, std::nullopt) == "BEGIN");
    CHECK(at_least_text({3, 1207}, "READ 1a4") == "AFTER 3.1207 READ 1a4");
    CHECK(rename_execute("EXECUTE s1 1a4 x", "s1", "w_q") == "EXECUTE w_q 1a4 x");
    CHECK(prepare_text({"p1", {true, "q2c"}}) == "PREPARE p1 WRITE q2c");
    CHECK(pause_text(4) == "PAUSE 4");
    CHECK(step_down_text(5) == "STEPDOWN 5");
}

TEST_CASE("a report is parsed from the row of a status command")
{
    const auto report = read_member_report("replica 3 3.1209 4 12 2 17");
    REQUIRE(report);
    CHECK(report->role == consistency::instance_role::replica);
    CHECK(report->term == 3);
    CHECK(report->received == consistency::position{3, 1209});
    CHECK(report->paused_at == 4);
    CHECK(report->busy_slots == 2);
    CHECK(report->connections == 17);
    for (const auto *const row : {"", "replica", "leader 3 3.1209 0 12 2 17", "replica 3 31209 0 12 2 17",
                                  "replica x 3.1209 0 12 2 17", "replica 3 3.1209 0 12 2"})
        CHECK_FALSE(read_member_report(row));
}

TEST_CASE("an execute gets another name and keeps the rest of its text byte for byte")
{
    CHECK(rename_execute("EXECUTE s1 x  y ", "s1", "p7") == "EXECUTE p7 x  y ");
    CHECK(rename_execute("EXECUTE s1", "s1", "p7") == "EXECUTE p7");
    CHECK(rename_execute("EXECUTE s1 ", "s1", "p7") == "EXECUTE p7 ");
    CHECK(rename_execute("EXECUTE w_q READ u x", "w_q READ u", "p7") == "EXECUTE p7 x");
    CHECK_FALSE(rename_execute("EXECUTE s12 x", "s1", "p7"));
    CHECK_FALSE(rename_execute("READ s1 x", "s1", "p7"));
}

TEST_CASE("a statement fits if its message has the greatest length, and no more")
{
    std::string text(max_message - std::string("QUERY - ").size(), 'x');
    std::string message;
    write_statement("-", text, message);
    CHECK(message.size() == max_message + std::string("\r\n").size());
    CHECK(statement_fits("-", text));
    CHECK_FALSE(statement_fits("-", text + 'x'));
    CHECK_FALSE(statement_fits("--", text));
}
