// Whether the processes that a leader has answered agree that it continues without the store.

#include "failover/membership_tracker.h"

#include <catch2/catch.hpp>

using namespace baobabport;
using namespace baobabport::failover;

namespace {

const time_point start{std::chrono::hours(1)};
constexpr auto store_outage = membership_tracker::store_outage_threshold;

inner::member vm(const std::string &name)
{
    return {name, "dc", name + ":1"};
}

} // namespace

TEST_CASE("a leader continues without the store while every process that it answered agrees")
{
    membership_tracker membership;
    membership.record_request(vm("a"), store_outage, start, start);
    membership.record_request(vm("b"), store_outage, start, start);
    CHECK(membership.all_agree(start));
    CHECK(membership.all_agree(start + membership_tracker::agreement_lifetime));
}

TEST_CASE("a process that the store answers, or that did not call it, does not agree")
{
    // Guards against two leaders: processes that had not called the store counted as proof of its outage.
    membership_tracker membership;
    membership.record_request(vm("a"), store_outage, start, start);
    membership.record_request(vm("b"), milliseconds(0), start, start);
    CHECK_FALSE(membership.all_agree(start));
}

TEST_CASE("a leader that receives no more requests does not continue, however long that lasts")
{
    // Guards against two leaders: members that were unresponsive for 10 s were removed, and none remained
    // that could disagree.
    membership_tracker membership;
    membership.record_request(vm("a"), store_outage, start, start);
    membership.record_request(vm("b"), store_outage, start, start);
    for (auto after = membership_tracker::agreement_lifetime + milliseconds(1); after < milliseconds(600000);
         after += milliseconds(500))
        REQUIRE_FALSE(membership.all_agree(start + after));
}

TEST_CASE("a process that was answered must agree until its retention ends, whatever the others report")
{
    membership_tracker membership;
    membership.record_request(vm("b"), store_outage, start, start);
    for (auto at = start; at < start + membership_tracker::member_retention; at += milliseconds(200)) {
        membership.record_request(vm("a"), store_outage, at, at);
        if (at > start + membership_tracker::agreement_lifetime)
            REQUIRE_FALSE(membership.all_agree(at)); // `b` may follow another leader
    }
    const auto later = start + membership_tracker::member_retention + milliseconds(1);
    membership.record_request(vm("a"), store_outage, later, later);
    CHECK(membership.all_agree(later));
}

TEST_CASE("the lifetime of an agreement begins at the leader's answer before it, not at its arrival")
{
    membership_tracker membership;
    const auto arrived = start + std::chrono::seconds(5); // the datagram was delayed
    membership.record_request(vm("a"), store_outage, start, arrived);
    CHECK_FALSE(membership.all_agree(arrived));
    membership.record_request(vm("a"), store_outage, std::nullopt, arrived); // it was not answered yet
    CHECK_FALSE(membership.all_agree(arrived));
}

TEST_CASE("the agreement of a process that shut down is not required")
{
    membership_tracker membership;
    membership.record_request(vm("a"), store_outage, start, start);
    membership.record_request(vm("b"), milliseconds(0), start, start);
    membership.remove_member("b:1");
    CHECK(membership.all_agree(start));
}

TEST_CASE("members of an earlier leader stay listed and cannot agree before their first request")
{
    membership_tracker membership;
    membership.begin({vm("a"), vm("b")}, start);
    std::uint64_t version = 0;
    CHECK(membership.list(start, version).size() == 2);
    CHECK_FALSE(membership.all_agree(start));
    membership.record_request(vm("a"), store_outage, start, start);
    CHECK(membership.all_agree(start));
    membership.begin({vm("a")}, start); // another leadership
    CHECK_FALSE(membership.all_agree(start));
}

TEST_CASE("a leader without any members needs no agreement")
{
    membership_tracker membership;
    membership.begin({}, start);
    CHECK(membership.all_agree(start));
}

TEST_CASE("the list of members changes its version only with its members")
{
    membership_tracker membership;
    const auto receive_from = [&membership](const char *name, time_point at) {
        membership.record_request(vm(name), milliseconds(0), std::nullopt, at);
    };
    receive_from("a", start);
    std::uint64_t first = 0;
    CHECK(membership.list(start, first).size() == 1);
    receive_from("a", start + milliseconds(200));
    std::uint64_t second = 0;
    membership.list(start + milliseconds(200), second);
    CHECK(first == second);
    receive_from("b", start + milliseconds(300));
    std::uint64_t third = 0;
    CHECK(membership.list(start + milliseconds(300), third).size() == 2);
    CHECK(third > second);
    CHECK(membership
              .list(start + milliseconds(300) + membership_tracker::list_retention + milliseconds(1), third)
              .empty());
}
