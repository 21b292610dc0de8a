// Execution of statements at an instance's home: refusals of statements that waited too long.

#include "proxy/local_executor.h"
#include "support/stalled_listener.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <map>
#include <optional>
#include <string>

using namespace baobabport;
using clock_type = support::boot_clock;
using std::chrono::milliseconds;
using testing::stalled_listener;

namespace {

/// A home whose only instance accepts connections and answers no statement.
struct silent_home
{
    silent_home()
        : base(event_base_new()),
          pool(std::make_shared<proxy::instance_pool>(
              base, proxy::upstream_target{instance.at(), "db", "i-1", "proxy"}, 4,
              proxy::instance_pool::health_hooks{[] {}, [] {}, [](const auto &, bool) {}})),
          executor(std::in_place, [this](const auto &, const auto &) { return pool; })
    {
        pool->set_slots(1);
    }
    ~silent_home()
    {
        pool.reset();
        event_base_loop(base, EVLOOP_NONBLOCK);
        event_base_free(base);
    }
    silent_home(const silent_home &) = delete;
    silent_home &operator=(const silent_home &) = delete;

    void execute(const std::string &id, std::uint32_t priority, milliseconds wait)
    {
        inner::execute_request request;
        request.service = "db";
        request.instance = "i-1";
        request.id = id;
        request.text = "READ x";
        request.label = "read";
        request.priority = priority;
        request.time_left = milliseconds(60000);
        request.wait_left = wait;
        executor->execute(0, request, [this, id](const auto &answer) { answers[id] = answer; });
    }

    event_base *base;
    stalled_listener instance;
    std::shared_ptr<proxy::instance_pool> pool;
    std::optional<proxy::local_executor> executor;
    std::map<std::string, inner::execute_answer> answers; ///< by statement
};

/// Returns the expected wait that a refusal names, in milliseconds.
int expected_wait(const inner::execute_answer &refusal)
{
    const auto digits = refusal.reason.find_first_of("0123456789");
    return digits == std::string::npos ? -1 : std::stoi(refusal.reason.substr(digits));
}

} // namespace

TEST_CASE("the refusal of a statement that waited too long names the wait of its own priority")
{
    silent_home home;
    constexpr milliseconds long_wait{50000};
    for (int n = 0; n < 2; ++n)
        home.execute("running-" + std::to_string(n), 2, long_wait);
    for (int n = 0; n < 40; ++n) // ahead of the last one, but not of statements with priority 0
        home.execute("ahead-" + std::to_string(n), 1, long_wait);
    const auto urgent_wait = [&home] {
        home.execute("urgent", 0, milliseconds(0));
        return expected_wait(home.answers.at("urgent"));
    }();
    home.execute("late", 2, milliseconds(1000));
    REQUIRE_FALSE(home.answers.count("late"));
    home.executor->tick(clock_type::now() + milliseconds(1001), milliseconds(60000));
    REQUIRE(home.answers.count("late"));
    CHECK(home.answers.at("late").outcome == inner::execute_outcome::not_run);
    CHECK(expected_wait(home.answers.at("late")) > urgent_wait + 40);
}

TEST_CASE("a status request that ends after its executor begins no further one")
{
    silent_home home;
    int answered = 0;
    inner::execute_request request;
    request.service = "db";
    request.instance = "i-1";
    request.id = platform::own_statement_id;
    request.text = platform::status_text();
    request.time_left = request.wait_left = milliseconds(60000);
    for (int n = 0; n < 3; ++n)
        home.executor->execute(0, request, [&answered](const auto &) { ++answered; });
    home.executor.reset();
    home.pool->retire(); // refuses the request that waits for a connection
    CHECK(answered == 0);
}
