// The soak's check of writes excuses only those that no replica had when their primary was lost.

#include "ledger.h"
#include "line_group.h"

#include <catch2/catch.hpp>
#include <event2/event.h>

using soak::ledger;
using soak::write_answer;

namespace {

const soak::time_point start{std::chrono::hours(1)};

/// A group of three and a ledger that follows it, without processes.
struct watched_group
{
    watched_group() : base(event_base_new()), group(base, "db", {"a", "b", "c"})
    {
        group.rolled_back = [this](const auto &entry, bool only_at_primary) {
            for (const auto &[item, value] : entry.items) {
                if (only_at_primary)
                    writes.record_loss(item, std::stoull(value));
            }
        };
    }
    ~watched_group() { event_base_free(base); }
    watched_group(const watched_group &) = delete;
    watched_group &operator=(const watched_group &) = delete;

    void write(const std::string &at)
    {
        const auto number = writes.next_number("db:x");
        group.commit(group.at(at), {{"db:x", std::to_string(number)}});
        writes.record_answer("db:x", number, write_answer::committed, start);
    }

    event_base *base;
    standin::line_group group;
    ledger writes;
};

} // namespace

TEST_CASE("a write that only the lost primary had is the operators' choice", "[soak]")
{
    watched_group it;
    it.write("a");
    it.group.at("b").paused_at = it.group.at("c").paused_at = 2;
    it.write("a"); // neither replica receives it
    it.group.at("a").crash();
    REQUIRE(it.group.promote("b"));
    CHECK(it.writes.lost_with_primary() == 1);
    CHECK(it.writes.newest_acknowledged("db:x", start) == 1);
    it.writes.check_log("db", it.group.at("b").log);
    CHECK(it.writes.violations().empty());
}

// Guards against a list of known failures that would hide a promotion of the wrong replica.
TEST_CASE("a write that another replica had is missing", "[soak]")
{
    watched_group it;
    it.group.at("b").paused_at = 2;
    it.write("a"); // `c` receives it
    it.group.at("a").crash();
    REQUIRE(it.group.promote("b"));
    CHECK(it.writes.lost_with_primary() == 0);
    it.writes.check_log("db", it.group.at("b").log);
    CHECK(it.writes.violations().size() == 1);
}

TEST_CASE("a write that a replaced primary acknowledges is missing", "[soak]")
{
    watched_group it;
    it.group.at("a").drops_replication = true; // it hears of no new primary
    REQUIRE(it.group.promote("b"));
    it.write("b"); // `c` follows the new primary
    it.write("a");
    REQUIRE(it.group.promote("c"));
    CHECK(it.writes.lost_with_primary() == 0);
    it.writes.check_log("db", it.group.at("c").log);
    CHECK(it.writes.violations().size() == 1);
}
