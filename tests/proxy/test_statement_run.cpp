// What a statement does with its transaction when its home did not run it.

#include "proxy/statement_run.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace baobabport;
using clock_type = support::boot_clock;
using std::chrono::milliseconds;

namespace {

/// A home process that answers when the test says so, and counts what it gets.
struct scripted_home
{
    scripted_home()
        : base(event_base_new()), executor{
                                      [](const auto &, const auto &) { return std::string("home"); },
                                      [this](const auto &, const inner::execute_request &request, auto done) {
                                          asked.push_back(request.instance);
                                          answer = std::move(done);
                                      },
                                      [this](const auto &vm, std::uint64_t transaction) {
                                          ended.emplace_back(vm, transaction);
                                      }}
    {
    }
    ~scripted_home() { event_base_free(base); }
    scripted_home(const scripted_home &) = delete;
    scripted_home &operator=(const scripted_home &) = delete;

    event_base *base;
    proxy::local_executor::answer_hook answer; ///< to the last statement
    std::vector<std::string> asked;            ///< the instance of each statement
    std::vector<std::pair<std::string, std::uint64_t>> ended;
    proxy::statement_executor executor;
};

std::shared_ptr<proxy::transaction> open_transaction(std::shared_ptr<proxy::group_task> group)
{
    auto out = std::make_shared<proxy::transaction>();
    out->route = std::make_shared<directory::route>();
    out->group = std::move(group);
    out->id = 7;
    out->vm = "home";
    out->instance = "i-1";
    out->term = 1;
    out->forwarded = true;
    return out;
}

std::shared_ptr<proxy::statement_run> run_of(scripted_home &home, std::shared_ptr<proxy::group_task> group,
                                             std::shared_ptr<proxy::transaction> transaction)
{
    proxy::run_request request;
    request.id = "q1";
    request.text = "READ x";
    request.parsed = *session::parse_statement(request.text);
    request.route = transaction ? transaction->route : std::make_shared<directory::route>();
    request.arrived_at = clock_type::now();
    return std::make_shared<proxy::statement_run>(home.base, &home.executor, request,
                                                  std::make_shared<session::session_context>(),
                                                  std::move(group), std::move(transaction));
}

/// A group of three instances whose primary is known, and a read that any of them may serve.
struct read_of_three
{
    read_of_three()
    {
        std::vector<directory::instance_record> records;
        for (const auto *const id : {"i-1", "i-2", "i-3"}) {
            directory::instance_record it;
            it.id = id;
            it.data_centre = "erie";
            records.push_back(it);
        }
        group->set_members(records, 8);
        const auto now = clock_type::now();
        group->handle_lease({"db", "i-1", 1, {1, 10}, milliseconds(0), true}, now);
        auto route = std::make_shared<directory::route>();
        route->kind = directory::route_kind::bounded;
        route->max_staleness = milliseconds(1500);
        route->statement_timeout = milliseconds(2000);
        route->target_latency = milliseconds(500);
        proxy::run_request request;
        request.id = "q1";
        request.text = "READ x";
        request.parsed = *session::parse_statement(request.text);
        request.route = route;
        request.arrived_at = now;
        run = std::make_shared<proxy::statement_run>(
            home.base, &home.executor, request, std::make_shared<session::session_context>(), group, nullptr);
        run->start([this](auto it) { result = std::move(it); });
    }

    /// Answers the last statement, and runs a retry that is due.
    void answer(const inner::execute_answer &it)
    {
        home.answer(it);
        event_base_loop(home.base, EVLOOP_NONBLOCK);
    }

    scripted_home home;
    std::shared_ptr<proxy::group_task> group = std::make_shared<proxy::group_task>(
        home.base, home.executor, proxy::group_identity{"db", "proxy", "erie"});
    std::shared_ptr<proxy::statement_run> run;
    std::optional<proxy::run_result> result;
};

inner::execute_answer shed()
{
    inner::execute_answer out{inner::execute_outcome::answered, {}, false, {}, 0};
    out.answer.error = session::failure{session::answer_code::busy, "busy"};
    return out;
}

const inner::execute_answer overloaded{
    inner::execute_outcome::not_run, "the instance is busy for 900 ms", true, {}, 0};

} // namespace

// Guards against transactions that stayed open after ABORTED, each with a connection and its writes.
TEST_CASE("the transaction of a statement that its home did not run is rolled back there")
{
    scripted_home home;
    const auto group = std::make_shared<proxy::group_task>(home.base, home.executor,
                                                           proxy::group_identity{"db", "proxy", "erie"});
    const auto transaction = open_transaction(group);
    const auto run = run_of(home, group, transaction);
    std::optional<proxy::run_result> result;
    run->start([&result](auto it) { result = std::move(it); });
    REQUIRE(home.answer);
    home.answer({inner::execute_outcome::not_run, "the instance is busy for 9 ms", true, {}, 0});
    REQUIRE(result);
    REQUIRE(result->error);
    CHECK(result->error->code == session::answer_code::aborted);
    REQUIRE(home.ended.size() == 1);
    CHECK(home.ended.front() == std::pair<std::string, std::uint64_t>("home", 7));
    CHECK(transaction->id == 0);
}

// Guards against a statement that waits for a primary and runs after its key was removed.
TEST_CASE("a statement that was not sent is refused at once when its key is removed")
{
    scripted_home home;
    const auto group = std::make_shared<proxy::group_task>(home.base, home.executor,
                                                           proxy::group_identity{"db", "proxy", "erie"});
    const auto run = run_of(home, group, nullptr);
    std::optional<proxy::run_result> result;
    run->start([&result](auto it) { result = std::move(it); });
    REQUIRE_FALSE(result);
    run->revoke(session::answer_code::denied, "removed");
    REQUIRE(result);
    CHECK(result->error->code == session::answer_code::denied);
    CHECK(home.asked.empty());
}

// Guards against a statement that was sent when its key was removed, did not run, and is sent once more.
TEST_CASE("a statement whose key was removed after it was sent is answered, but not sent again")
{
    const auto code = GENERATE(session::answer_code::denied, session::answer_code::busy);
    scripted_home home;
    const auto group = std::make_shared<proxy::group_task>(home.base, home.executor,
                                                           proxy::group_identity{"db", "proxy", "erie"});
    const auto transaction = open_transaction(group);
    transaction->forwarded = false;
    const auto run = run_of(home, group, transaction);
    std::optional<proxy::run_result> result;
    run->start([&result](auto it) { result = std::move(it); });
    REQUIRE(home.asked.size() == 1);
    run->revoke(code, "removed");
    REQUIRE_FALSE(result);
    home.answer({inner::execute_outcome::not_run, "the connection was lost", false, {}, 0});
    REQUIRE(result);
    CHECK(result->error->code == code);
    CHECK(home.asked.size() == 1);
    CHECK(transaction->id == 0);
}

// Guards against reads that were refused, with most of their time left, because two instances shed them.
TEST_CASE("a read that two instances shed is offered to the third at once")
{
    read_of_three it;
    it.answer(shed());
    it.answer(shed());
    REQUIRE_FALSE(it.result);
    REQUIRE(it.home.asked.size() == 3);
    CHECK(std::set<std::string>(it.home.asked.begin(), it.home.asked.end()).size() == 3);
    it.answer({inner::execute_outcome::answered, {}, false, {}, 0});
    REQUIRE(it.result);
    CHECK_FALSE(it.result->error);
}

// Guards against refusals that come late, after more waits in queues that are known to be too long.
TEST_CASE("a read that each instance's home finds overloaded is refused at once")
{
    read_of_three it;
    it.answer(overloaded);
    it.answer(overloaded);
    REQUIRE_FALSE(it.result);
    it.answer(overloaded);
    REQUIRE(it.result);
    CHECK(it.home.asked.size() == 3);
    REQUIRE(it.result->error);
    CHECK(it.result->error->code == session::answer_code::busy);
    CHECK(it.result->error->text == "the instance is busy for 900 ms; retry in 100 ms");
}

// Guards against INDOUBT for a commit whose transaction its home has rolled back while it was idle.
TEST_CASE("a commit of a transaction that is not open any more is reported as aborted")
{
    scripted_home home;
    const auto group = std::make_shared<proxy::group_task>(home.base, home.executor,
                                                           proxy::group_identity{"db", "proxy", "erie"});
    const auto transaction = open_transaction(group);
    transaction->wrote = true;
    proxy::run_request request;
    request.id = "q1";
    request.text = "COMMIT";
    request.parsed = *session::parse_statement(request.text);
    request.route = transaction->route;
    request.arrived_at = clock_type::now();
    const auto run = std::make_shared<proxy::statement_run>(
        home.base, &home.executor, request, std::make_shared<session::session_context>(), group, transaction);
    std::optional<proxy::run_result> result;
    run->start([&result](auto it) { result = std::move(it); });
    REQUIRE(home.answer);
    home.answer({inner::execute_outcome::not_run, "the transaction is not open here", false, {}, 0});
    REQUIRE(result);
    REQUIRE(result->error);
    CHECK(result->error->code == session::answer_code::aborted);
}
