// Relays pass the leader's answers on; leases do not become longer, and the leader's work does not grow with
// the fleet.

#include "failover/lease_grantor.h"
#include "failover/lease_relay.h"
#include "failover/lease_source.h"
#include "failover/membership_tracker.h"
#include "failover/relay_assignment.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

using namespace baobabport;
using namespace baobabport::failover;

namespace {

const time_point start{std::chrono::hours(1)};
const inner::member leader{"front-0", "erie", "10.0.0.1:7440"};

inner::lease_answer leader_answer(std::uint64_t generation = 4)
{
    inner::lease_answer out;
    out.generation = generation;
    out.leases.push_back({"db", "i-1", 3, {3, 99}, milliseconds(7), true});
    out.desired_state_version = 8;
    return out;
}

inner::lease_request request_of(const std::string &vm, std::uint64_t generation = 4)
{
    inner::lease_request out;
    out.generation = generation;
    out.number = 17;
    out.vm = vm;
    out.data_centre = "erie";
    out.accepts_relay = true;
    return out;
}

} // namespace

// Guards against two primaries: the leader replaces a primary once the leases that it granted have ended.
TEST_CASE("a relayed lease ends no later than the relay's own")
{
    lease_relay relay;
    member_log members;
    relay.record_answer(leader_answer(), leader, start);
    const auto own_lease_ends = start + primary_lease_time;
    for (milliseconds after(0); after < lease_relay::answer_lifetime; after += milliseconds(1)) {
        const auto answered_at = start + after;
        const auto answer = relay.answer(request_of("front-9"), "10.0.0.9:7440", members, answered_at);
        REQUIRE(answer);
        REQUIRE(answer->acting);
        REQUIRE(answer->relayed_age);
        // The latest time at which the request can have been sent; an earlier one shortens the lease.
        REQUIRE(answered_at - *answer->relayed_age + primary_lease_time <= own_lease_ends);
    }
}

TEST_CASE("a relay without a recent answer of the leader gives no leases, and later no answer")
{
    lease_relay relay;
    member_log members;
    CHECK_FALSE(relay.answer(request_of("front-9"), "10.0.0.9:7440", members, start));
    relay.record_answer(leader_answer(), leader, start);
    const auto stale = start + lease_relay::answer_lifetime;
    const auto searching = relay.answer(request_of("front-9"), "10.0.0.9:7440", members, stale);
    REQUIRE(searching);
    CHECK_FALSE(searching->acting);
    CHECK(searching->leases.empty());
    CHECK_FALSE(
        relay.answer(request_of("front-9"), "10.0.0.9:7440", members, start + lease_relay::search_time));
}

TEST_CASE("a relay of an earlier leader does not answer processes that follow a later one")
{
    lease_relay relay;
    member_log members;
    relay.record_answer(leader_answer(4), leader, start);
    CHECK_FALSE(relay.answer(request_of("front-9", 5), "10.0.0.9:7440", members, start));
    const auto to_earlier = relay.answer(request_of("front-9", 3), "10.0.0.9:7440", members, start);
    REQUIRE(to_earlier); // it learns of the present leader
    CHECK(to_earlier->generation == 4);
    CHECK(to_earlier->leader == leader);
}

TEST_CASE("a relay reports the processes that ask it until the leader has the list")
{
    lease_relay relay;
    member_log members;
    relay.record_answer(leader_answer(), leader, start);
    relay.answer(request_of("front-9"), "10.0.0.9:7440", members, start);
    inner::lease_request report;
    relay.fill_request(report, start);
    REQUIRE(report.followers);
    REQUIRE(report.followers->size() == 1);
    CHECK(report.followers->front().vm == "front-9");

    auto confirmation = leader_answer();
    confirmation.followers_version = report.followers_version;
    relay.record_answer(confirmation, leader, start + milliseconds(200));
    report = {};
    relay.fill_request(report, start + milliseconds(200));
    CHECK_FALSE(report.followers);

    relay.fill_request(report, start + lease_relay::follower_retention + milliseconds(1));
    REQUIRE(report.followers); // it asks no more
    CHECK(report.followers->empty());
}

TEST_CASE("a process that shuts down is no longer reported by its relay")
{
    lease_relay relay;
    member_log members;
    relay.record_answer(leader_answer(), leader, start);
    relay.answer(request_of("front-9"), "10.0.0.9:7440", members, start);
    CHECK(relay.answer(request_of(""), "10.0.0.9:7440", members, start)); // still gets leases
    inner::lease_request report;
    relay.fill_request(report, start);
    CHECK((!report.followers || report.followers->empty()));
}

TEST_CASE("the leader lists the followers of its relays and does not need their agreement")
{
    membership_tracker membership;
    membership.record_request({"front-1", "erie", "a:1"}, membership_tracker::store_outage_threshold, start,
                              start);
    membership.record_followers("a:1", 3, {{"front-9", "erie", "b:1"}});
    std::uint64_t version = 0;
    CHECK(membership.list(start, version).size() == 2);
    CHECK(membership.followers_version("a:1") == 3);
    CHECK(membership.all_agree(start));
    CHECK(membership.list(start + membership_tracker::list_retention + milliseconds(1), version)
              .empty()); // the relay is lost, and with it what it reported
}

TEST_CASE("the leader answers a few processes of each data centre and names them to the others")
{
    relay_assignment assignment;
    for (std::size_t n = 0; n < relay_assignment::relays_per_data_centre; ++n)
        CHECK(assignment.relays_for("erie:" + std::to_string(n), "erie", false, start).empty());
    CHECK(assignment.relays_for("erie:9", "erie", false, start).size() ==
          relay_assignment::relays_per_data_centre);
    CHECK(assignment.relays_for("huron:1", "huron", false, start).empty());
    CHECK(assignment.relays_for("erie:0", "erie", false, start).empty()); // still a relay
    CHECK(assignment.relays_for("erie:8", "erie", true, start).empty());

    SECTION("a relay that asks no more is replaced")
    {
        const auto later = start + relay_assignment::retention + milliseconds(1);
        CHECK(assignment.relays_for("erie:9", "erie", false, later).empty());
    }
    SECTION("a relay that shuts down is replaced")
    {
        assignment.remove("erie:8");
        assignment.remove("erie:0");
        CHECK(assignment.relays_for("erie:9", "erie", false, start).empty());
    }
}

TEST_CASE("a process asks its relay, after a missing answer another one, then the leader")
{
    lease_source source("front-9");
    CHECK(source.next().empty());
    source.set_relays({"a", "b", "c"});
    const auto first = source.next();
    CHECK(source.asks_relay());
    source.record_answer();
    CHECK(source.next() == first);
    std::set<std::string> asked{first};
    asked.insert(source.next());
    asked.insert(source.next());
    CHECK(asked.size() == 3);
    CHECK(source.next().empty());
    CHECK_FALSE(source.asks_relay());
    CHECK(source.next() == first); // a relay may have found the next leader
    source.clear();
    CHECK(source.next().empty());
}

TEST_CASE("processes spread over the relays of their data centre")
{
    std::set<std::string> preferred;
    for (int n = 0; n < 30; ++n) {
        lease_source source("front-" + std::to_string(n));
        source.set_relays({"a", "b", "c"});
        preferred.insert(source.next());
    }
    CHECK(preferred.size() == 3);
}

// Guards against control traffic that grows with the square of the fleet.
TEST_CASE("the leader's requests and the bytes of its answers depend on data centres, not on processes")
{
    constexpr milliseconds interval{200};
    constexpr std::size_t data_centres = 5;
    std::size_t requests_of_smallest = 0;
    for (const std::size_t processes : {std::size_t{30}, std::size_t{300}, std::size_t{1600}}) {
        relay_assignment assignment;
        std::size_t answered = 0;
        std::size_t named = 0;
        std::set<std::size_t> relayed;
        for (auto at = start; at < start + milliseconds(2000); at += interval) {
            for (std::size_t n = 0; n < processes; ++n) {
                if (relayed.count(n))
                    continue; // it asks its relay
                const auto data_centre = std::to_string(n % data_centres);
                if (assignment.relays_for(std::to_string(n), data_centre, false, at).empty()) {
                    ++answered;
                } else {
                    ++named;
                    relayed.insert(n);
                }
            }
        }
        INFO(processes << " processes");
        CHECK(named + data_centres * relay_assignment::relays_per_data_centre == processes);
        if (requests_of_smallest == 0)
            requests_of_smallest = answered;
        CHECK(answered == requests_of_smallest);
    }
}
