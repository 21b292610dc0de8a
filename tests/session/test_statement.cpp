// Statements are parsed completely or refused.

#include "session/session_context.h"
#include "session/statement.h"

#include <catch2/catch.hpp>

using namespace baobabport::session;

TEST_CASE("statements are parsed with their parts")
{
    CHECK(parse_statement("BEGIN")->kind == statement_kind::begin);
    CHECK(parse_statement("BEGIN READ")->kind == statement_kind::begin_read);
    CHECK(parse_statement("COMMIT")->kind == statement_kind::commit);
    CHECK(parse_statement("ROLLBACK")->kind == statement_kind::rollback);
    CHECK(parse_statement("READ 1a4")->argument == "1a4");
    CHECK(parse_statement("WRITE 1a4 some data")->argument == "1a4 some data");

    const auto set = parse_statement("SET zone  two words");
    REQUIRE(set);
    CHECK(set->name == "zone");
    CHECK(set->argument == " two words");

    const auto prepare = parse_statement("PREPARE s1 WRITE q2c");
    REQUIRE(prepare);
    CHECK(prepare->name == "s1");
    CHECK(prepare->prepares_write);
    CHECK(prepare->argument == "q2c");

    const auto execute = parse_statement("EXECUTE s1 1a4 xkq");
    REQUIRE(execute);
    CHECK(execute->name == "s1");
    CHECK(execute->argument == "1a4 xkq");
}

TEST_CASE("a text that is not a valid statement is refused")
{
    for (const auto *const text : {"", "SELECT 1", "BEGIN WRITE", "COMMIT now", "READ", "WRITE", "EXECUTE",
                                   "SET", "PREPARE s1", "PREPARE s1 READ", "PREPARE s1 SOME q", "CLOSE",
                                   "begin", "AFTER 3.1 READ x", "STATUS", "PAUSE 4", "STEPDOWN 4", "RESET"})
        CHECK_FALSE(parse_statement(text));
}

TEST_CASE("sessions store values and prepared statements by name, up to a maximum number")
{
    session_context session;
    CHECK(session.set_value("a", "1"));
    CHECK(session.set_value("a", "2"));
    CHECK(session.values().at("a") == "2");
    CHECK(session.prepare("s", {false, "q1"}));
    CHECK(session.find_prepared("s")->peer_name() != prepared_statement{true, "q1"}.peer_name());
    CHECK(session.close_prepared("s"));
    CHECK_FALSE(session.close_prepared("s"));
    CHECK(session.find_prepared("s") == nullptr);
    for (std::size_t n = 0; n < session_context::max_entries; ++n)
        session.set_value("v" + std::to_string(n), "x");
    CHECK_FALSE(session.set_value("one more", "x"));
    CHECK(session.set_value("a", "3"));
}

TEST_CASE("a session's last commit position never decreases")
{
    session_context session;
    CHECK_FALSE(session.last_commit_position());
    session.record_commit({2, 7});
    session.record_commit({1, 90});
    CHECK(*session.last_commit_position() == baobabport::consistency::position{2, 7});
}
