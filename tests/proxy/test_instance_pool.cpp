// Connections to an instance: statements that were abandoned or have expired must not run later.

#include "proxy/group_task.h"
#include "proxy/instance_pool.h"
#include "support/stalled_listener.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <optional>

using namespace baobabport;
using clock_type = support::boot_clock;
using std::chrono::milliseconds;
using testing::connection_end;
using testing::run_until;
using testing::stalled_listener;

namespace {

constexpr milliseconds request_timeout{60000}; // of the requests for a connection; no test waits for it

std::string ready_line()
{
    std::string out;
    platform::write_prompt(session::transaction_state::none, out);
    return out;
}

/// A pool of connections to an instance whose answers are written by the test.
struct pool_site
{
    pool_site() : base(event_base_new())
    {
        pool = std::make_shared<proxy::instance_pool>(
            base, proxy::upstream_target{instance.at(), "db", "i-1", "proxy"}, 4,
            proxy::instance_pool::health_hooks{[] {}, [] {}, [](const auto &, bool) {}});
    }
    ~pool_site()
    {
        pool.reset();
        event_base_loop(base, EVLOOP_NONBLOCK);
        event_base_free(base);
    }
    pool_site(const pool_site &) = delete;
    pool_site &operator=(const pool_site &) = delete;

    /// Accepts the connection that is being opened.
    void accept()
    {
        REQUIRE(run_until(base, [this] { return instance.accepted(); }));
        instance.write(ready_line());
    }

    proxy::instance_pool::connection open_connection()
    {
        proxy::instance_pool::connection out;
        pool->acquire({0, clock_type::now() + request_timeout, nullptr},
                      [&out](const auto &it, auto) { out = it; });
        accept();
        REQUIRE(run_until(base, [&] { return out != nullptr; }));
        return out;
    }

    connection_end end_of_connection()
    {
        auto out = connection_end::still_open;
        run_until(base, [&] {
            out = instance.read();
            return out != connection_end::still_open;
        });
        return out;
    }

    event_base *base;
    stalled_listener instance;
    std::shared_ptr<proxy::instance_pool> pool;
};

} // namespace

// Guards against two concurrent leaders: a RESUME of the first that arrives after a partition has healed
// undoes a PAUSE of the second.
TEST_CASE("an abandoned statement is not delivered after a partition has healed")
{
    pool_site site;
    const auto connection = site.open_connection();
    bool reported = false;
    connection->deadline = clock_type::now();
    connection->send(platform::own_statement_id, platform::resume_text(),
                     [&reported](const auto &answer) { reported = !answer; });
    SECTION("abandoned at its deadline")
    {
        site.pool->tick(clock_type::now() + milliseconds(1));
        CHECK(reported);
    }
    SECTION("connection dropped by its user")
    {
        site.pool->drop(connection);
    }
    CHECK(site.end_of_connection() == connection_end::reset);
}

TEST_CASE("a connection without unanswered statements is closed without a reset")
{
    pool_site site;
    site.pool->drop(site.open_connection());
    CHECK(site.end_of_connection() == connection_end::closed);
}

TEST_CASE("an abandoned attempt to open a connection leaves no data to be delivered")
{
    pool_site site;
    site.pool->acquire({0, clock_type::now() + request_timeout, nullptr}, [](const auto &, auto) {});
    REQUIRE(run_until(site.base, [&] { return site.instance.accepted(); }));
    site.pool->tick(clock_type::now() + proxy::instance_pool::open_timeout + milliseconds(1));
    CHECK(site.end_of_connection() == connection_end::reset);
}

TEST_CASE("a connection that opens after a suspension is not given to an expired request")
{
    pool_site site;
    std::optional<proxy::acquire_failure> refused;
    bool given = false;
    const auto ended_before = clock_type::now() - milliseconds(1);
    site.pool->acquire({0, ended_before, nullptr}, [&](const auto &it, auto reason) {
        given = it != nullptr;
        refused = reason;
    });
    site.accept(); // before any tick
    REQUIRE(run_until(site.base, [&] { return site.pool->idle_count() == 1 || given; }));
    CHECK_FALSE(given);
    CHECK(refused == proxy::acquire_failure::wait_expired);
}

// Guards against two concurrent leaders: a command of the first may wait for a connection until the second
// has become leader.
TEST_CASE("a command that is no longer valid when its connection opens is not sent")
{
    auto *const base = event_base_new();
    bool done = false; // the connection reports its end after the group has gone
    {
        stalled_listener instance;
        proxy::statement_executor none;
        proxy::group_task group(base, none, {"db", "proxy", "erie"});
        directory::instance_record record;
        record.id = "i-1";
        record.service = "db";
        record.at = instance.at();
        group.set_members({record}, 4);
        bool valid = true;
        const auto command = [&] {
            done = false;
            group.command(
                "i-1", platform::resume_text(), [&done](const auto &report) { done = !report; },
                [&valid] { return valid; });
        };
        command();
        valid = false;
        REQUIRE(run_until(base, [&] { return instance.accepted(); }));
        instance.write(ready_line());
        REQUIRE(run_until(base, [&] { return done; }));
        event_base_loop(base, EVLOOP_NONBLOCK);
        instance.read();
        CHECK(instance.text().find(platform::resume_text()) == std::string::npos);

        // The connection is kept for the next command.
        valid = true;
        command();
        REQUIRE(run_until(base, [&] {
            instance.read();
            return instance.text().find(platform::resume_text()) != std::string::npos;
        }));
    }
    event_base_loop(base, EVLOOP_NONBLOCK);
    event_base_free(base);
}

// Guards against a dark primary that is never replaced: the leader's status requests through the instance's
// home kept it from asking the instance itself, and only that shows it whether the primary answers.
TEST_CASE("the leader asks a primary itself while it refreshes the position that it reports")
{
    auto *const base = event_base_new();
    {
        stalled_listener instance;
        proxy::statement_executor silent_homes;
        silent_homes.home_of = [](const auto &, const auto &) { return "front-2"; };
        silent_homes.execute = [](const auto &, auto, auto) {};
        proxy::group_task group(base, silent_homes, {"db", "proxy", "erie"});
        directory::instance_record record;
        record.id = "i-1";
        record.service = "db";
        record.at = instance.at();
        group.set_members({record}, 4);
        auto now = clock_type::now();
        group.handle_lease({"db", "i-1", 1, {1, 5}, milliseconds(5000), false}, now);
        group.request_reported_position(now);
        group.tick(now);
        group.probe("i-1", true); // as the replacement of primaries does
        REQUIRE(run_until(base, [&] { return instance.accepted(); }));
        now = clock_type::now() + milliseconds(1000);
        const auto snapshot = group.snapshot(now);
        REQUIRE(snapshot.members.size() == 1);
        CHECK(snapshot.members.front().unresponsive_for >= milliseconds(1000));
    }
    event_base_loop(base, EVLOOP_NONBLOCK);
    event_base_free(base);
}
