// Several processes at one site while the store turns the duty's holder away: who may replace a primary.

#include "proxy/lease_task.h"
#include "support/boot_clock.h"
#include "support/free_address.h"
#include "support/proxy_site.h"

#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>

using namespace testing;
using baobabport::proxy::proxy_task;
using std::chrono::milliseconds;

namespace {

/// The platform takes two holders whose orders come within this time for holders at the same time.
constexpr milliseconds turn{3000};

/// Longer than a silent process was once remembered.
constexpr milliseconds forgotten{10000};

/// The site with two more processes; the first one holds the duty, and each has a door to the store.
struct election_site : proxy_site
{
    election_site() : second(add("front-2")), third(add("front-3"))
    {
        group.traits.promote = milliseconds(300);
        run_for(milliseconds(2500)); // the holder has heard both
        REQUIRE(leader() == "front-1");
    }

    std::unique_ptr<proxy_task> add(const std::string &process)
    {
        return std::make_unique<proxy_task>(base, settings_of(process, store->add_endpoint(free_address())),
                                            [] {});
    }

    /// Returns the process that has the duty by the store, or an empty text.
    std::string leader()
    {
        const std::string key = "baobabport/failover/holder";
        return store->has(key) ? nlohmann::json::parse(store->value(key)).value("vm", "") : "";
    }

    /// Turns the first process away from the store.
    void turn_away() { store->main_endpoint().faults.refuses = true; }

    bool wait_until(const std::function<bool()> &condition, milliseconds time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        run_until([&] { return condition() || std::chrono::steady_clock::now() >= end; });
        return condition();
    }

    bool ordered_by(const std::string &process)
    {
        for (const auto &it : orders) {
            if (it.leader == process)
                return true;
        }
        return false;
    }

    void crash_primary()
    {
        for (const auto &id : group.ids()) {
            if (group.at(id).primary && !group.at(id).crashed())
                group.at(id).crash();
        }
    }

    void check_turns()
    {
        for (std::size_t n = 1; n < orders.size(); ++n) {
            const auto &before = orders[n - 1];
            const auto &it = orders[n];
            const auto apart = std::chrono::duration_cast<milliseconds>(it.at - before.at);
            INFO(before.leader << " with " << before.generation << ", " << apart.count() << " ms later "
                               << it.leader << " with " << it.generation);
            CHECK(it.generation >= before.generation);
            CHECK((it.leader == before.leader || apart >= turn));
        }
    }

    std::unique_ptr<proxy_task> second;
    std::unique_ptr<proxy_task> third;
};

} // namespace

// Guards against a holder that takes an empty list of members for an outage of the store.
TEST_CASE("a holder that hears nobody and that the store turns away does not replace a primary")
{
    election_site site;
    site.turn_away();
    site.third.reset(); // its silence ends the first process's belief in an outage
    REQUIRE(site.wait_until([&] { return site.leader() == "front-2"; }, milliseconds(6000)));
    site.run_for(forgotten + milliseconds(1000));
    site.crash_primary();
    CHECK(site.wait_until([&] { return site.ordered_by("front-2"); }, milliseconds(3000)));
    site.run_for(milliseconds(1500));
    CHECK_FALSE(site.ordered_by("front-1"));
    site.check_turns();
}

// Guards against counting a process that asked the store nothing as one that the store does not serve.
TEST_CASE("processes that had no reason to ask the store do not vouch for its outage")
{
    election_site site;
    site.turn_away();
    const auto lease_ends = std::chrono::steady_clock::now() + baobabport::proxy::election_task::lease_time;
    site.run_until([&] { return std::chrono::steady_clock::now() >= lease_ends - milliseconds(300); });
    site.crash_primary(); // it takes longer to replace than the lease still lasts
    const auto other_holds = [&] { return site.leader() == "front-2" || site.leader() == "front-3"; };
    const auto other_ordered = [&] { return site.ordered_by("front-2") || site.ordered_by("front-3"); };
    CHECK(site.wait_until(other_holds, milliseconds(6000)));
    CHECK(site.wait_until(other_ordered, milliseconds(6000)));
    CHECK_FALSE(site.ordered_by("front-1"));
    site.check_turns();
}

// Guards against a next holder that begins while an order of the last one may still count.
TEST_CASE("two holders' orders are a turn apart")
{
    election_site site;
    site.third.reset();
    site.crash_primary();
    REQUIRE(site.wait_until([&] { return site.ordered_by("front-1"); }, milliseconds(3000)));
    site.turn_away();
    REQUIRE(site.store->remove_leased_keys("front-1"));
    site.run_for(milliseconds(500)); // the promoted instance leads
    site.crash_primary();
    CHECK(site.wait_until([&] { return site.ordered_by("front-2"); }, milliseconds(10000)));
    site.check_turns();
}

// Guards against a holder that renews its lease while the key under it is gone.
TEST_CASE("a holder whose key is gone gives way to the next one, though its lease is renewed")
{
    election_site site;
    REQUIRE(site.store->remove_leased_keys("front-1", true));
    const auto fourth = site.add("front-4");
    REQUIRE(site.wait_until([&] { return !site.leader().empty(); }, milliseconds(3000)));
    const auto next = site.leader();
    site.run_for(milliseconds(3000));
    site.crash_primary();
    CHECK(site.wait_until([&] { return site.ordered_by(next); }, milliseconds(6000)));
    site.run_for(milliseconds(1000));
    CHECK((next == "front-1" || !site.ordered_by("front-1")));
    site.check_turns();
}

// Guards against leases that a new holder granted before it had settled, and forgot when it had.
TEST_CASE("a new holder grants no lease while those of the last one may be in force")
{
    proxy_site site;
    const auto settings = site.settings_of("front-2");
    proxy_task second(site.base, settings, [] {});
    site.run_for(milliseconds(1500));
    std::size_t before = 0;
    std::size_t granted_before = 0;
    std::size_t granted = 0;
    std::chrono::steady_clock::time_point taken_at;
    const auto takes = [&](const baobabport::inner::lease_answer &answer, auto) {
        const auto early =
            std::chrono::steady_clock::now() < taken_at + baobabport::failover::primary_lease_time;
        for (const auto &it : answer.leases) {
            before += early ? 1 : 0;
            granted_before += early && it.granted ? 1 : 0;
            granted += it.granted ? 1 : 0;
        }
    };
    const auto leader = [&settings] {
        return std::optional(baobabport::proxy::leader_endpoint{"front-2", "erie", settings.peers, 2});
    };
    const auto none = [](const auto &, const auto &) { return std::nullopt; };
    baobabport::proxy::lease_task follower(
        site.base, free_address(), {leader, none, [](auto &request) { request.vm = "front-3"; }, takes});
    const auto key = std::string("baobabport/failover/holder");
    site.proxy->drain();
    REQUIRE(site.run_until(
        [&] { return site.store->has(key) && site.store->value(key).find("front-2") != std::string::npos; }));
    taken_at = std::chrono::steady_clock::now();
    site.run_until([&] {
        follower.tick(baobabport::support::boot_clock::now(), true);
        return granted > 0;
    });
    CHECK(before > 0);
    CHECK(granted_before == 0);
    CHECK(granted > 0);
}

// Guards against a fix that gives up replacing primaries while the store is away for all.
TEST_CASE("while the store is away for all, its holder goes on with the agreement of the others")
{
    election_site site;
    for (auto &it : site.store->endpoints())
        it.faults.refuses = true;
    site.run_for(milliseconds(3000)); // longer than the store's word counts
    site.crash_primary();
    CHECK(site.wait_until([&] { return site.ordered_by("front-1"); }, milliseconds(4000)));
    site.check_turns();
}

// Guards against reading the silence of a lost process as its agreement.
TEST_CASE("while the store is away for all, a lost process ends replacements until the store is back")
{
    election_site site;
    for (auto &it : site.store->endpoints())
        it.faults.refuses = true;
    site.third.reset();
    site.run_for(milliseconds(3000));
    site.crash_primary();
    site.run_for(milliseconds(3000));
    CHECK(site.orders.empty());
    for (auto &it : site.store->endpoints())
        it.faults.refuses = false;
    CHECK(site.wait_until([&] { return !site.orders.empty(); }, milliseconds(10000)));
    site.check_turns();
}
