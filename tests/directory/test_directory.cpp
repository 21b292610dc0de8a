// Versions of the desired state never decrease, and outages of the store determine whether an instance with
// a missing record is removed.

#include "directory/instance_directory.h"
#include "directory/route_table.h"

#include <catch2/catch.hpp>

using namespace baobabport::directory;
using std::chrono::milliseconds;

namespace {

const time_point start{std::chrono::hours(1)};

instance_record make_record(const std::string &id, int port = 1, int started = 5)
{
    instance_record out;
    out.id = id;
    out.service = "db";
    out.at = {"10.0.0.1", static_cast<std::uint16_t>(port)};
    out.started_at = milliseconds(started);
    return out;
}

desired_state state_with_route(std::uint64_t version, const std::string &database)
{
    desired_state out;
    out.version = version;
    out.routes.push_back({"r", database, "db"});
    out.services.push_back({"db", 16, 0});
    return out;
}

} // namespace

TEST_CASE("an older or equal desired state is not applied")
{
    route_table routes;
    CHECK_FALSE(routes.loaded());
    CHECK(routes.apply(state_with_route(7, "old")));
    CHECK(routes.apply(state_with_route(11, "new")));
    CHECK_FALSE(routes.apply(state_with_route(11, "old")));
    CHECK_FALSE(routes.apply(state_with_route(9, "old")));
    CHECK(routes.version() == 11);
    CHECK(routes.find("new"));
    CHECK_FALSE(routes.find("old"));
    CHECK(routes.find_service("db")->max_connections == 16);
    CHECK(routes.find_service("other") == nullptr);
}

TEST_CASE("a route in use stays valid after it is removed from the table")
{
    route_table routes;
    routes.apply(state_with_route(1, "a"));
    const auto in_use = routes.find("a");
    routes.apply(state_with_route(2, "b"));
    CHECK(in_use->database == "a");
}

TEST_CASE("new, changed and removed records are reported separately")
{
    instance_directory instances;
    auto change = instances.apply_listing({make_record("a"), make_record("b")}, start);
    CHECK(change.joined.size() == 2);

    auto draining_record = make_record("a");
    draining_record.state = instance_state::draining;
    change = instances.apply_listing({draining_record, make_record("b", 1, 6)}, start + milliseconds(1000));
    CHECK(change.draining == std::vector<std::string>{"a"});
    CHECK(change.restarted == std::vector<std::string>{"b"});

    change = instances.apply_listing({draining_record, make_record("b", 2, 6)}, start + milliseconds(2000));
    CHECK(change.restarted == std::vector<std::string>{"b"}); // at another address
    CHECK(change.draining.empty());

    change = instances.apply_listing({make_record("b", 2, 6)}, start + milliseconds(3000));
    CHECK(change.left == std::vector<std::string>{"a"});
    CHECK(instances.find("a") == nullptr);
    CHECK(instances.of_service("db").size() == 1);
    CHECK(instances.of_service("other").empty());
}

TEST_CASE("a draining instance gets statements for half of the configured drain bound")
{
    instance_directory instances(milliseconds(1200));
    auto record = make_record("a");
    instances.apply_listing({record}, start - milliseconds(1));
    record.state = instance_state::draining;
    instances.apply_listing({record}, start);
    CHECK(instance_directory::accepts_statements(*instances.find("a"), start + milliseconds(599)));
    CHECK_FALSE(instance_directory::accepts_statements(*instances.find("a"), start + milliseconds(600)));
}

TEST_CASE("a draining instance gets new statements for a limited time")
{
    instance_directory instances;
    auto record = make_record("a");
    instances.apply_listing({record}, start);
    CHECK(instance_directory::accepts_statements(*instances.find("a"), start + std::chrono::hours(1)));
    record.state = instance_state::draining;
    instances.apply_listing({record}, start + milliseconds(1000));
    instances.apply_listing({record},
                            start + milliseconds(2000)); // the time runs from the first listing as draining
    const auto end = start + milliseconds(1000) + milliseconds(3500);
    CHECK(instance_directory::accepts_statements(*instances.find("a"), end - milliseconds(1)));
    CHECK_FALSE(instance_directory::accepts_statements(*instances.find("a"), end));
    record.started_at = milliseconds(99); // another process under the same id
    record.state = instance_state::ready;
    instances.apply_listing({record}, end);
    CHECK(instance_directory::accepts_statements(*instances.find("a"), end));
}

// Guards against statements to an instance that leaves just before an outage of the store, long after it has
// announced that (docs/incidents/left-before-outage.md).
TEST_CASE("the time of a draining instance ends by the drain bound after it was last listed as ready")
{
    instance_directory instances; // with a bound of 7,000 ms
    auto record = make_record("a");
    instances.apply_listing({record, make_record("b")}, start);
    const auto end = start + milliseconds(7000) - instance_directory::delivery_time;
    instances.record_listing_failure(start + milliseconds(1000));
    record.state = instance_state::draining;
    SECTION("its record is there when the store answers again")
    {
        instances.apply_listing({record, make_record("b")}, start + milliseconds(5000));
        CHECK(instance_directory::accepts_statements(*instances.find("a"), end - milliseconds(1)));
        CHECK_FALSE(instance_directory::accepts_statements(*instances.find("a"), end));
    }
    SECTION("its record comes back later")
    {
        instances.apply_listing({make_record("b")}, start + milliseconds(5500));
        instances.record_peer_listing(start + milliseconds(6000)); // of a process that misses it, too
        CHECK(instance_directory::accepts_statements(*instances.find("a"), start + milliseconds(6000)));
        instances.apply_listing({record, make_record("b")}, start + milliseconds(7400));
        CHECK_FALSE(instance_directory::accepts_statements(*instances.find("a"), start + milliseconds(7400)));
    }
    SECTION("another process has listed it meanwhile")
    {
        instances.apply_listing({make_record("a"), make_record("b")}, start + milliseconds(2000));
        instances.record_peer_listing(start + milliseconds(5000));
        instances.apply_listing({record, make_record("b")}, start + milliseconds(6000));
        CHECK(instance_directory::accepts_statements(*instances.find("a"), start + milliseconds(9499)));
    }
}

TEST_CASE("a draining instance keeps its time limit while its record is missing")
{
    instance_directory instances;
    auto draining_record = make_record("a");
    instances.apply_listing({draining_record, make_record("b")}, start);
    draining_record.state = instance_state::draining;
    instances.apply_listing({draining_record, make_record("b")}, start + milliseconds(1000));
    CHECK(instances.apply_listing({make_record("b")}, start + milliseconds(2200)).left ==
          std::vector<std::string>{"a"});
    const auto end = start + milliseconds(1000) + milliseconds(3500);
    SECTION("its record reappears before the time limit")
    {
        instances.apply_listing({draining_record, make_record("b")}, start + milliseconds(3400));
        CHECK(instance_directory::accepts_statements(*instances.find("a"), end - milliseconds(1)));
        CHECK_FALSE(instance_directory::accepts_statements(*instances.find("a"), end));
    }
    SECTION("its record reappears after the time limit")
    {
        instances.apply_listing({draining_record, make_record("b")}, start + milliseconds(6500));
        CHECK_FALSE(instance_directory::accepts_statements(*instances.find("a"), start + milliseconds(6500)));
    }
    SECTION("its record reappears after the retention of removed records")
    {
        const auto later = start + std::chrono::hours(1);
        instances.apply_listing({make_record("b")}, later);
        instances.apply_listing({make_record("b")}, later + milliseconds(1200));
        instances.apply_listing({draining_record, make_record("b")}, later + milliseconds(2400));
        CHECK_FALSE(instance_directory::accepts_statements(*instances.find("a"), later + milliseconds(2400)));
    }
    SECTION("a new process has its id")
    {
        draining_record.started_at = milliseconds(99);
        instances.apply_listing({draining_record, make_record("b")}, start + milliseconds(3400));
        CHECK_FALSE(instance_directory::accepts_statements(*instances.find("a"), start + milliseconds(3400)));
    }
}

TEST_CASE("an instance first listed as draining gets no new statements")
{
    instance_directory instances;
    auto draining_record = make_record("a");
    draining_record.state = instance_state::draining;
    SECTION("in this process's first listing") {}
    SECTION("in a later listing")
    {
        instances.apply_listing({make_record("b")}, start - milliseconds(1200));
    }
    SECTION("after another process with its id")
    {
        instances.apply_listing({make_record("a", 1, 4)}, start - milliseconds(1200));
    }
    SECTION("after an instance at another address with its id")
    {
        instances.apply_listing({make_record("a", 2)}, start - milliseconds(1200));
    }
    SECTION("after its record, listed as ready before, was missing")
    {
        instances.apply_listing({make_record("a"), make_record("b")}, start - milliseconds(2400));
        instances.apply_listing({make_record("b")}, start - milliseconds(1200));
    }
    const auto change = instances.apply_listing({draining_record}, start);
    CHECK(change.draining == std::vector<std::string>{"a"});
    CHECK_FALSE(instance_directory::accepts_statements(*instances.find("a"), start));
    instances.apply_listing({draining_record}, start + milliseconds(1200));
    CHECK_FALSE(instance_directory::accepts_statements(*instances.find("a"), start + milliseconds(1200)));
}

TEST_CASE("a listing obtained by another process prevents a long interval from counting as an outage")
{
    instance_directory instances;
    instance_directory other;
    instances.apply_listing({make_record("a"), make_record("b")}, start);
    other.apply_listing({make_record("b"), make_record("a")}, start);
    CHECK(instances.digest() == other.digest());
    const auto later = start + instance_directory::outage_threshold * 3;
    instances.record_peer_listing(later - milliseconds(500));
    CHECK(instances.apply_listing({make_record("a")}, later).left == std::vector<std::string>{"b"});
    CHECK(instances.digest() != other.digest());
    auto draining_record = make_record("a");
    draining_record.state = instance_state::draining;
    const auto before = instances.digest();
    instances.apply_listing({draining_record}, later);
    CHECK(instances.digest() != before);
}

TEST_CASE("a restarted instance that drains is reported as draining again")
{
    instance_directory instances;
    auto record = make_record("a", 1, 5);
    record.state = instance_state::draining;
    instances.apply_listing({record}, start);
    record.started_at = milliseconds(6);
    CHECK(instances.apply_listing({record}, start + milliseconds(100)).draining.size() == 1);
}

TEST_CASE(
    "an instance whose record is missing just after an outage of the store is kept for the grace period")
{
    instance_directory instances;
    instances.apply_listing({make_record("a"), make_record("b")}, start);
    const auto recovered_at = start + instance_directory::outage_threshold + milliseconds(1000);
    CHECK(instances.apply_listing({make_record("b")}, recovered_at).left.empty());
    CHECK(instances.find("a") != nullptr);
    CHECK(instances.apply_listing({make_record("b")}, recovered_at + milliseconds(1200)).left.empty());
    const auto later = recovered_at + instance_directory::recovery_grace_period;
    CHECK(instances.apply_listing({make_record("b")}, later).left == std::vector<std::string>{"a"});
}

TEST_CASE("an instance whose record is missing after a failed listing is kept for the grace period")
{
    instance_directory instances;
    instances.apply_listing({make_record("a"), make_record("b")}, start);
    instances.record_listing_failure(start + milliseconds(2000));
    instances.record_listing_failure(start + milliseconds(2900));
    const auto recovered_at =
        start + milliseconds(3200); // the interval alone is too short to count as an outage
    CHECK(instances.apply_listing({make_record("b")}, recovered_at).left.empty());
    CHECK(instances.apply_listing({make_record("b")}, recovered_at + milliseconds(1200)).left.empty());
    SECTION("it reappears")
    {
        const auto change =
            instances.apply_listing({make_record("a"), make_record("b")}, recovered_at + milliseconds(2000));
        CHECK(change.empty());
    }
    SECTION("it stays missing")
    {
        const auto later = recovered_at + instance_directory::recovery_grace_period;
        CHECK(instances.apply_listing({make_record("b")}, later - milliseconds(1)).left.empty());
        CHECK(instances.apply_listing({make_record("b")}, later).left == std::vector<std::string>{"a"});
    }
}

TEST_CASE("a listing of another process starts the grace period after an outage")
{
    instance_directory instances;
    instances.apply_listing({make_record("a"), make_record("b")}, start);
    instances.record_listing_failure(start + milliseconds(2000));
    instances.record_peer_listing(start +
                                  milliseconds(1500)); // made before the failure, so it proves no recovery
    const auto recovered_at = start + milliseconds(2500);
    instances.record_peer_listing(recovered_at);
    CHECK(instances
              .apply_listing({make_record("b")},
                             recovered_at + instance_directory::recovery_grace_period - milliseconds(1))
              .left.empty());
    CHECK(
        instances.apply_listing({make_record("b")}, recovered_at + instance_directory::recovery_grace_period)
            .left.size() == 1);
}

TEST_CASE("after a failed listing the first successful one starts the grace period")
{
    instance_directory instances;
    instances.record_listing_failure(start - milliseconds(500));
    instances.apply_listing({make_record("a"), make_record("b")}, start);
    CHECK(instances.apply_listing({make_record("b")}, start + milliseconds(1200)).left.empty());
    CHECK(instances.apply_listing({make_record("b")}, start + instance_directory::recovery_grace_period)
              .left.size() == 1);
}
