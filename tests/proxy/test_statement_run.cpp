// What a statement does with its transaction when its home did not run it.

#include "proxy/statement_run.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace baobabport;
using clock_type = support::boot_clock;
using std::chrono::milliseconds;

namespace {

/// A home process that answers when the test says so.
struct scripted_home
{
    scripted_home()
        : base(event_base_new()), executor{[](const auto &, const auto &) { return std::string("home"); },
                                           [this](const auto &, const inner::execute_request &, auto done) {
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

} // namespace

// Guards against transactions that stayed open after ABORTED, each with a connection and its writes.
TEST_CASE("the transaction of a statement that its home did not run is rolled back there")
{
    scripted_home home;
    const auto group = std::make_shared<proxy::group_task>(home.base, home.executor,
                                                           proxy::group_identity{"db", "proxy", "erie"});
    const auto transaction = open_transaction(group);
    proxy::run_request request;
    request.id = "q1";
    request.text = "READ x";
    request.parsed = *session::parse_statement(request.text);
    request.route = transaction->route;
    request.arrived_at = clock_type::now();
    const auto run = std::make_shared<proxy::statement_run>(
        home.base, &home.executor, request, std::make_shared<session::session_context>(), group, transaction);
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
