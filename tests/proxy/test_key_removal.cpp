// What a removed or moved key ends: idle sessions, transactions and statements.

#include "support/key_site.h"

#include <catch2/catch.hpp>

using namespace testing;
using std::chrono::milliseconds;

// Guards against sessions and transactions that go on with a key that is in no state in force.
TEST_CASE("a removed key ends idle sessions at once and transactions with a rollback")
{
    key_site site;
    site.apply_keys({{"one", {"k1", "kept"}}});
    const auto idle = site.session("main", "k1");
    const auto kept = site.session("main", "kept");
    const auto begun = site.session("main", "k1");
    const auto writer = site.session("main", "k1");
    site.ask(*idle, "PREPARE s READ q");
    site.ask(*begun, "BEGIN");
    site.ask(*writer, "BEGIN");
    CHECK(site.ask(*writer, "WRITE x 1").starts_with("COMPLETE"));
    site.ask(*kept, "BEGIN");
    CHECK(site.ask(*kept, "WRITE y 1").starts_with("COMPLETE"));
    idle->lines.clear();
    site.apply_keys({{"one", {"kept"}}});
    CHECK(site.run_until([&] { return idle->closed; }));
    CHECK(idle->lines.empty());
    CHECK(site.run_until([&] { return site.group.at("a").open_transactions() == 1; }));
    CHECK(site.ask(*begun, "READ x").starts_with("ERROR DENIED "));
    CHECK(site.ask(*writer, "COMMIT").starts_with("ERROR DENIED "));
    CHECK(site.run_until([&] { return begun->closed && writer->closed; }));
    CHECK(site.ask(*kept, "COMMIT").starts_with("COMPLETE"));
    CHECK(site.ask(*kept, "READ x").starts_with("ROW none|"));
}

// Guards against an answer that is lost although its statement has run.
TEST_CASE("a statement that was sent is answered before its session ends")
{
    key_site site;
    site.apply_keys({{"one", {"k1"}}});
    const auto plain = site.session("main", "k1");
    const auto writer = site.session("main", "k1");
    site.ask(*writer, "BEGIN");
    CHECK(site.ask(*writer, "WRITE x 1").starts_with("COMPLETE"));
    site.group.traits.slots = 4;
    site.group.traits.statement_time = milliseconds(600);
    plain->lines.clear();
    writer->lines.clear();
    plain->send("QUERY p1 WRITE y 1\r\nQUERY p2 WRITE y 2\r\n");
    writer->send("QUERY w1 READ x\r\n");
    site.run_for(milliseconds(50));
    site.apply_keys({});
    REQUIRE(plain->lines.empty());
    REQUIRE(site.run_until([&] { return plain->closed && writer->closed; }));
    CHECK(plain->lines.size() == 2);
    CHECK(plain->lines.front().starts_with("COMPLETE mac"));
    CHECK(writer->lines.front() == "ROW 1");
    CHECK(site.run_until([&] { return site.group.at("a").open_transactions() == 0; }));
    for (const auto &it : site.group.ran)
        CHECK(it.id != "p2");
}

// Guards against a session that goes on under the name of the workspace that held its key before.
TEST_CASE("a key that moves to another workspace ends its sessions, and new ones get the new name")
{
    key_site site;
    site.apply_keys({{"one", {"k1"}}, {"two", {"k2"}}});
    const auto moved = site.session("main", "k1");
    const auto stays = site.session("main", "k2");
    CHECK(site.ask(*moved, "READ x").starts_with("ROW "));
    site.apply_keys({{"one", {}}, {"two", {"k2", "k1"}}});
    CHECK(site.run_until([&] { return moved->closed; }));
    CHECK(site.ask(*site.session("main", "k1"), "READ x").starts_with("ROW "));
    CHECK(site.group.ran.back().caller == "two");
    CHECK(site.ask(*stays, "READ x").starts_with("ROW "));
}

// Guards against sessions that a later workspace of the same name takes over, whose keys they do not have.
TEST_CASE("a workspace that comes back under its name does not bring back the sessions of its former keys")
{
    const bool seen_in_between = GENERATE(true, false);
    key_site site;
    site.apply_keys({{"one", {"k1"}}});
    const auto former = site.session("main", "k1");
    CHECK(site.ask(*former, "READ x").starts_with("ROW "));
    if (seen_in_between)
        site.apply_keys({});
    site.apply_keys({{"one", {"k9"}}});
    CHECK(site.run_until([&] { return former->closed; }));
    CHECK(site.session("main", "k1")->lines.front().starts_with("ERROR DENIED "));
    CHECK(site.ask(*site.session("main", "k9"), "READ x").starts_with("ROW "));
    CHECK(site.group.ran.back().caller == "one");
}
