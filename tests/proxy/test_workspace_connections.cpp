// Statements of workspaces at an instance's home while its connections are scarce.

#include "line_group.h"
#include "proxy/local_executor.h"
#include "support/boot_clock.h"
#include "support/stalled_listener.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <map>
#include <optional>
#include <string>

using namespace baobabport;
using clock_type = support::boot_clock;
using inner::begin_mode;
using inner::execute_outcome;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds idle_limit{6000}; ///< of transactions
constexpr milliseconds long_wait{60000};

/// A home of one instance.
struct workspace_home
{
    explicit workspace_home(std::uint32_t limit)
        : base(event_base_new()), group(std::in_place, base, "db", std::vector<std::string>{"i-1"}),
          pool(std::make_shared<proxy::instance_pool>(
              base, proxy::upstream_target{group->at("i-1").address(), "db", "i-1", "proxy"}, limit,
              proxy::instance_pool::health_hooks{[] {}, [] {}, [](const auto &, bool) {}})),
          executor(std::in_place, [this](const auto &, const auto &) { return pool; })
    {
        group->at("i-1").primary = true;
        pool->set_slots(4);
        executor->tick(clock_type::now(), idle_limit);
    }
    ~workspace_home()
    {
        executor.reset();
        pool.reset();
        group.reset();
        event_base_loop(base, EVLOOP_NONBLOCK);
        event_base_free(base);
    }
    workspace_home(const workspace_home &) = delete;
    workspace_home &operator=(const workspace_home &) = delete;

    /// Submits a statement; its answer is kept under its id.
    void submit(const std::string &id, const std::string &workspace, const std::string &text,
                std::uint64_t transaction = 0, begin_mode begin = begin_mode::none,
                milliseconds wait = long_wait)
    {
        inner::execute_request request;
        request.service = "db";
        request.instance = "i-1";
        request.id = id;
        request.text = text;
        request.workspace = workspace;
        request.transaction = transaction;
        request.begin = begin;
        request.label = "test";
        request.time_left = long_wait;
        request.wait_left = wait;
        executor->execute(1, request, [this, id](const auto &answer) { answers[id] = answer; });
    }

    /// Returns the answer of a submitted statement; the process ticks meanwhile.
    inner::execute_answer answer(const std::string &id)
    {
        const bool answered = testing::run_until(base, [this, &id] {
            pool->tick(clock_type::now());
            executor->tick(clock_type::now(), idle_limit);
            return answers.count(id) > 0;
        });
        REQUIRE(answered);
        return answers.at(id);
    }

    /// Begins a transaction, which then rests, and returns its number.
    std::uint64_t begin(const std::string &id, const std::string &workspace)
    {
        answers.erase(id);
        submit(id, workspace, "WRITE x 1", 0, begin_mode::read_write);
        const auto number = answer(id).transaction;
        REQUIRE(number != 0);
        return number;
    }

    event_base *base;
    std::optional<standin::line_group> group;
    std::shared_ptr<proxy::instance_pool> pool;
    std::optional<proxy::local_executor> executor;
    std::map<std::string, inner::execute_answer> answers; ///< by statement
};

bool succeeded(const inner::execute_answer &it)
{
    return it.outcome == execute_outcome::answered && !it.answer.error;
}

} // namespace

// Load: connections held by 15 idle transactions at one primary. Guards against an instance that stands
// still: statements waited for a connection within the slots that the transactions' own statements needed.
TEST_CASE("idle transactions that hold all connections neither stop others for long nor lose a commit")
{
    workspace_home home(16);
    std::vector<std::uint64_t> open(15);
    for (auto &it : open)
        it = home.begin("begin", "hot");

    home.submit("hurried", "small", "READ x", 0, begin_mode::none, milliseconds(75));
    REQUIRE(home.answers.count("hurried")); // at once
    CHECK(home.answers.at("hurried").outcome == execute_outcome::not_run);
    CHECK(home.answers.at("hurried").overloaded);

    home.submit("-", "", platform::status_text());
    CHECK(succeeded(home.answer("-"))); // the proxy's own statements

    for (int n = 0; n < 8; ++n)
        home.submit("patient-" + std::to_string(n), "small", "READ x");
    CHECK_FALSE(home.answers.count("patient-0"));
    home.submit("commit", "hot", "COMMIT", open.at(1));
    CHECK(succeeded(home.answer("commit"))); // it needs no other connection
    for (int n = 0; n < 8; ++n)
        CHECK(succeeded(home.answer("patient-" + std::to_string(n)))); // on the one that it freed
    CHECK(home.executor->open_transactions() == 14);
}

TEST_CASE("the transaction that is idle for longest is rolled back for a statement without a connection")
{
    workspace_home home(3);
    const auto longest = home.begin("begin-1", "hot");
    const auto second = home.begin("begin-2", "hot");
    const auto third = idle_limit / 3 + milliseconds(100);
    home.executor->tick(clock_type::now() + third, idle_limit);
    CHECK(home.executor->open_transactions() == 2); // nobody waits
    home.submit("waiting", "small", "READ x");
    SECTION("ended")
    {
        home.executor->tick(clock_type::now() + third, idle_limit);
        CHECK(home.executor->open_transactions() == 1);
        CHECK(succeeded(home.answer("waiting")));
        home.submit("commit-1", "hot", "COMMIT", longest);
        CHECK(home.answer("commit-1").outcome == execute_outcome::not_run); // not `lost`, which is in doubt
        home.submit("commit-2", "hot", "COMMIT", second);
        CHECK(succeeded(home.answer("commit-2")));
        CHECK(home.group->at("i-1").open_transactions() == 0);
    }
    SECTION("a commit that was sent is not affected")
    {
        home.submit("commit-1", "hot", "COMMIT", longest);
        home.executor->tick(clock_type::now() + third, idle_limit); // ends the other one
        CHECK(succeeded(home.answer("commit-1")));
        CHECK(succeeded(home.answer("waiting")));
        home.submit("commit-2", "hot", "COMMIT", second);
        CHECK(home.answer("commit-2").outcome == execute_outcome::not_run);
    }
}

// Load: MAXCONN, since a former home has left connections open.
TEST_CASE("at the instance's connection limit, workspaces take turns on the connections that exist")
{
    workspace_home home(39);
    home.group->traits.max_connections = 3;
    for (int n = 0; n < 12; ++n) {
        const auto id = std::to_string(n);
        home.submit(id, "w" + std::to_string(n % 5), "READ x");
        CHECK(succeeded(home.answer(id)));
        CHECK(home.group->at("i-1").connections() <= 4); // one may be refused
    }
    CHECK(home.pool->open_count() <= 3);
}
