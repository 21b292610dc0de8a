// The list of the fleet's processes travels in parts; a copy is complete or knows that it is not.

#include "failover/member_log.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <string>

using namespace baobabport;
using namespace baobabport::failover;

namespace {

inner::member vm(std::size_t number)
{
    return {"front-" + std::to_string(number), "dc-" + std::to_string(number % 5),
            "10.0.0." + std::to_string(number) + ":7440"};
}

std::vector<inner::member> fleet(std::size_t size)
{
    std::vector<inner::member> out;
    for (std::size_t n = 0; n < size; ++n)
        out.push_back(vm(n));
    return out;
}

/// Requests parts until the copy is complete; returns how many it took.
std::size_t copy_all(member_log &copy, const member_log &from)
{
    std::size_t parts = 0;
    do {
        REQUIRE(copy.apply(from.changes_since(copy.generation(), copy.version())));
        ++parts;
    } while (!copy.complete());
    return parts;
}

bool same(std::vector<inner::member> left, std::vector<inner::member> right)
{
    const auto by_address = [](const auto &a, const auto &b) { return a.address < b.address; };
    std::sort(left.begin(), left.end(), by_address);
    std::sort(right.begin(), right.end(), by_address);
    return left == right;
}

} // namespace

// Guards against a list that does not fit a datagram: a process that never received it got no leases either.
TEST_CASE("a list of 1,600 processes arrives in parts of bounded size")
{
    member_log leader;
    leader.begin(7);
    const auto all = fleet(1600);
    leader.update(all);
    member_log copy;
    const auto parts = copy_all(copy, leader);
    CHECK(parts == 1600 / member_log::max_changes);
    CHECK(same(copy.members(), all));

    inner::lease_answer answer;
    answer.part = leader.changes_since(0, 0);
    constexpr std::size_t budget = 4000; // bytes, beside the leases of 60 groups in a datagram of 8 kB
    CHECK(inner::encode(answer).size() < budget);
}

TEST_CASE("after a change only the change is sent")
{
    member_log leader;
    leader.begin(1);
    auto all = fleet(300);
    leader.update(all);
    member_log copy;
    copy_all(copy, leader);
    CHECK_FALSE(leader.update(all)); // nothing has changed
    CHECK(leader.changes_since(1, copy.version()).changes.empty());

    const auto gone = all.back();
    all.pop_back();
    all.front().data_centre = "moved";
    CHECK(leader.update(all));
    CHECK(leader.changes_since(1, copy.version()).changes.size() == 2);
    CHECK(copy_all(copy, leader) == 1);
    CHECK(same(copy.members(), all));

    all.push_back(gone); // it returns
    leader.update(all);
    copy_all(copy, leader);
    CHECK(same(copy.members(), all));
}

TEST_CASE("a copy of another leader's list begins anew")
{
    member_log first;
    first.begin(1);
    first.update(fleet(100));
    member_log copy;
    copy_all(copy, first);

    member_log second;
    second.begin(2);
    second.update(fleet(3));
    copy_all(copy, second);
    CHECK(copy.generation() == 2);
    CHECK(same(copy.members(), fleet(3)));
}

TEST_CASE("a part that does not continue the copy changes nothing")
{
    member_log leader;
    leader.begin(1);
    leader.update(fleet(100));
    const auto first = leader.changes_since(0, 0);
    member_log copy;
    REQUIRE(copy.apply(first));
    const auto second = leader.changes_since(1, copy.version());
    REQUIRE(copy.apply(second));
    CHECK_FALSE(copy.apply(second)); // repeated by the network
    const auto version = copy.version();
    auto other_generation = leader.changes_since(1, version);
    other_generation.generation = 9;
    CHECK_FALSE(copy.apply(other_generation));
    CHECK(copy.version() == version);
}

// Guards against processes that had left and are listed again after a change to a relay that is behind.
TEST_CASE("a source that is behind changes nothing in a copy")
{
    member_log leader;
    leader.begin(1);
    leader.update(fleet(3));
    member_log behind;
    copy_all(behind, leader);
    leader.update(fleet(2));
    member_log copy;
    copy_all(copy, leader);
    const auto version = copy.version();
    REQUIRE(copy.apply(behind.changes_since(copy.generation(), copy.version())));
    CHECK(copy.version() == version);
    CHECK(copy.complete());
    CHECK(same(copy.members(), fleet(2)));
}

TEST_CASE("a copy that changes its source while the list changes ends with the leader's list")
{
    for (std::uint32_t seed = 1; seed <= 50; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        member_log leader;
        leader.begin(1);
        member_log relays[2];
        member_log copy;
        std::vector<inner::member> present;
        for (int round = 0; round < 40; ++round) {
            present.clear();
            for (std::size_t n = 0; n < 120; ++n) {
                if (random() % 3 != 0)
                    present.push_back(vm(n));
            }
            leader.update(present);
            auto &relay = relays[random() % 2];
            relay.apply(leader.changes_since(relay.generation(), relay.version()));
            const auto &source = relays[random() % 2];
            if (source.generation() != 0)
                copy.apply(source.changes_since(copy.generation(), copy.version()));
        }
        for (auto &it : relays)
            copy_all(it, leader);
        copy_all(copy, relays[0]);
        REQUIRE(same(copy.members(), present));
    }
}
