// Sessions of callers: what is read from them, and how they end.

#include "support/proxy_site.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>

using namespace testing;
using std::chrono::milliseconds;

namespace {

/**
 * Two sessions next to each other in the order of the process: ending the first's transaction starts the
 * statement of the second, which fails at once and is followed by a QUIT.
 */
struct coupled_sessions
{
    explicit coupled_sessions(proxy_site &site)
    {
        for (auto &it : busy)
            it = site.session("main");
        first = site.session("main");
        second = site.session("main");
        third = site.session("main");
        site.ask(*second, "BEGIN");
        site.ask(*second, "READ x");
        site.group.at("a").reset_connections(); // the transaction of the second is lost
        site.run_for(milliseconds(50));
        for (auto *const it : {busy[0].get(), busy[1].get(), first.get()}) {
            site.ask(*it, "BEGIN");
            site.ask(*it, "READ x");
        }
    }

    std::array<std::unique_ptr<test_caller>, 2> busy;
    std::unique_ptr<test_caller> first;
    std::unique_ptr<test_caller> second;
    std::unique_ptr<test_caller> third;
};

bool is_answered(const test_caller &it)
{
    return !it.lines.empty() && it.lines.back().starts_with("READY");
}

} // namespace

// Guards against the end of the process: the loop over the sessions went on with one that had been erased.
TEST_CASE("a statement that times out may end the session after it")
{
    proxy_site site;
    coupled_sessions sessions(site);
    site.group.at("a").lose_answers = 3; // of the first and the busy sessions, so that no other can start
    sessions.first->lines.clear();
    sessions.first->send("QUERY q1 READ x\r\n");
    site.run_for(milliseconds(100));
    for (const auto &it : sessions.busy)
        it->send("QUERY q2 READ x\r\n");
    site.run_for(milliseconds(100));
    sessions.second->send("QUERY q3 READ x\r\nQUIT\r\n");
    CHECK(site.run_until([&] { return is_answered(*sessions.first); }));
    CHECK(sessions.first->lines.front().starts_with("ERROR ABORTED"));
    CHECK(sessions.second->closed);
    CHECK(site.ask(*sessions.third, "READ x").starts_with("ROW"));
}

// Guards against data that is cut off at a line feed, in statements and in rows.
TEST_CASE("data with a line feed is written and read back whole")
{
    proxy_site site;
    const auto caller = site.session("main");
    const std::string note = "two\nQUERY 7 WRITE y smuggled";
    CHECK(site.ask(*caller, "WRITE x " + note).starts_with("COMPLETE mac"));
    CHECK(site.ask(*caller, "READ x").starts_with("ROW " + note + "|COMPLETE"));
    CHECK(std::none_of(site.group.ran.begin(), site.group.ran.end(),
                       [](const auto &it) { return it.id == "7"; }));
}

// Guards against a session whose values and shapes use up the memory of the process, or are too long for a
// message to another process.
TEST_CASE("values and shapes that a session may not keep are refused, and the others stay")
{
    proxy_site site;
    const auto caller = site.session("main");
    const std::string large(baobabport::session::session_context::max_size / 4 * 3, 'x');
    CHECK(site.ask(*caller, "SET a " + large).starts_with("COMPLETE"));
    for (const auto *const text : {"SET b ", "PREPARE s READ "}) {
        const auto refusal = site.ask(*caller, text + large);
        CHECK(refusal.starts_with("ERROR MALFORMED"));
        CHECK(refusal.find("too long") != std::string::npos);
        CHECK(refusal.ends_with("READY I -"));
    }
    CHECK(site.ask(*caller, "READ x").starts_with("ROW none|COMPLETE mac"));
    REQUIRE_FALSE(site.group.ran.empty());
    CHECK(site.group.ran.back().values == std::map<std::string, std::string>{{"a", large}});
}
