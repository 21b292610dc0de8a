// Execution of statements at an instance's home: requests as processes of this and of former versions send
// them.

#include "line_group.h"
#include "proxy/local_executor.h"
#include "support/stalled_listener.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <optional>
#include <string>

using namespace baobabport;
using inner::execute_outcome;
using session::prepared_statement;
using std::chrono::milliseconds;

namespace {

/// A home of one instance with a single connection.
struct answering_home
{
    answering_home()
        : base(event_base_new()), group(std::in_place, base, "db", std::vector<std::string>{"i-1"}),
          pool(std::make_shared<proxy::instance_pool>(
              base, proxy::upstream_target{group->at("i-1").address(), "db", "i-1", "proxy"}, 1,
              proxy::instance_pool::health_hooks{[] {}, [] {}, [](const auto &, bool) {}})),
          executor(std::in_place, [this](const auto &, const auto &) { return pool; })
    {
        group->at("i-1").primary = true;
        pool->set_slots(1);
    }
    ~answering_home()
    {
        executor.reset();
        pool.reset();
        group.reset();
        event_base_loop(base, EVLOOP_NONBLOCK);
        event_base_free(base);
    }
    answering_home(const answering_home &) = delete;
    answering_home &operator=(const answering_home &) = delete;

    /// Executes a statement of a peer, and returns its answer.
    inner::execute_answer execute(const std::string &id, const std::string &text,
                                  const std::optional<prepared_statement> &prepared = {},
                                  const session::session_values &values = {}, std::uint64_t transaction = 0)
    {
        inner::execute_request request;
        request.service = "db";
        request.instance = "i-1";
        request.id = id;
        request.text = text;
        request.prepared = prepared;
        request.values = values;
        request.transaction = transaction;
        request.begin = begin;
        request.label = "test";
        request.time_left = request.wait_left = milliseconds(60000);
        std::optional<inner::execute_answer> out;
        executor->execute(1, request, [&out](const auto &answer) { out = answer; });
        testing::run_until(base, [&out] { return out.has_value(); });
        REQUIRE(out);
        return *out;
    }

    inner::begin_mode begin = inner::begin_mode::none; ///< of the next statements
    event_base *base;
    std::optional<standin::line_group> group;
    std::shared_ptr<proxy::instance_pool> pool;
    std::optional<proxy::local_executor> executor;
};

bool succeeded(const inner::execute_answer &it)
{
    return it.outcome == execute_outcome::answered && !it.answer.error;
}

} // namespace

// Guards against the end of the process: a former version forwards a caller's id "-", also with a shape, for
// which the connection then has no name.
TEST_CASE("a caller's statement with the id of the proxy's own statements is refused at its home")
{
    answering_home home;
    REQUIRE(succeeded(home.execute("1", "READ x", {}, {{"zone", "erie"}})));
    home.group->ran.clear();
    const auto execute = home.execute("-", "EXECUTE w_q1 x 1", prepared_statement{true, "q1"});
    CHECK(execute.outcome == execute_outcome::not_run);
    for (const auto *const text : {"READ x", "WRITE x 1", "COMMIT"})
        CHECK(home.execute("-", text).outcome == execute_outcome::not_run);
    CHECK(home.group->ran.empty());
    CHECK(succeeded(home.execute("-", platform::status_text())));
}

TEST_CASE("a request that names its shape as former versions do runs with the connection's name")
{
    answering_home home;
    for (const std::string shape : {"q1", "q1 READ u", "q1 READ u", " q1", "q1 ", "x"}) {
        INFO("shape " << shape);
        home.group->ran.clear();
        CHECK(succeeded(home.execute("1", "EXECUTE w_" + shape + " x 1", prepared_statement{true, shape})));
        REQUIRE(home.group->ran.size() == 1);
        CHECK(home.group->ran.front().shape == "WRITE " + shape);
        CHECK(home.group->ran.front().text.ends_with(" x 1"));
        CHECK(home.group->ran.front().text.find(shape + " x 1") == std::string::npos);
    }
}

TEST_CASE("a request whose text does not name its shape is refused")
{
    answering_home home;
    const prepared_statement prepared{true, "q1"};
    for (const auto *const text :
         {"EXECUTE r_q1 x 1", "EXECUTE w_q12 x 1", "EXECUTE w_q", "READ w_q1", "", "STATUS"}) {
        INFO("text " << text);
        CHECK(home.execute("1", text, prepared).outcome == execute_outcome::not_run);
    }
    CHECK(home.group->ran.empty());
    CHECK(succeeded(home.execute("1", "EXECUTE w_q1 x 1", prepared)));
}

TEST_CASE("a shape that an instance does not know is prepared again, also after a reset")
{
    answering_home home;
    const prepared_statement prepared{true, "q1"};
    const auto execute = [&](const session::session_values &values) {
        return home.execute("1", "EXECUTE w_q1 x 1", prepared, values);
    };
    CHECK(succeeded(execute({{"zone", "erie"}})));
    home.group->at("i-1").forget_prepared();
    const auto unknown = execute({{"zone", "erie"}});
    REQUIRE(unknown.answer.error);
    CHECK(unknown.answer.error->code == session::answer_code::unknown_name);
    CHECK(succeeded(execute({{"zone", "erie"}})));
    CHECK(succeeded(execute({{"tag", "1"}}))); // the value of another session is removed by a reset
    CHECK(home.group->ran.back().values == session::session_values{{"tag", "1"}});
    CHECK(home.group->ran.back().shape == "WRITE q1");
    CHECK(home.group->at("i-1").connections() == 1);
}

// Guards against UNKNOWN for a shape whose preparing failed: its name must not be kept.
TEST_CASE("a shape that is refused or too long gets the same answer each time")
{
    answering_home home;
    home.group->refused_shape = "odd";
    std::string shape = "odd";
    SECTION("refused by the instance") {}
    SECTION("too long with the connection's name")
    {
        shape.assign(platform::max_message - std::string("QUERY - PREPARE p WRITE ").size(), 's');
    }
    for (int n = 0; n < 2; ++n) {
        const auto answer = home.execute("1", "EXECUTE w_" + shape + " x", prepared_statement{true, shape});
        REQUIRE(answer.answer.error);
        CHECK(answer.answer.error->code == session::answer_code::malformed);
    }
    CHECK(home.group->at("i-1").connections() == 1);
}

// Guards against MALFORMED for a transaction that failed at its instance: callers may repeat an aborted one.
TEST_CASE("a shape that follows a failed value is not reported as refused")
{
    answering_home home;
    home.begin = inner::begin_mode::read_write;
    const auto first = home.execute("1", "READ x");
    REQUIRE(first.transaction != 0);
    home.group->refused_value = "zone";
    const auto second = home.execute("2", "EXECUTE w_q1 x 1", prepared_statement{true, "q1"},
                                     {{"zone", "erie"}}, first.transaction);
    CHECK(second.outcome == execute_outcome::not_run);
    home.begin = inner::begin_mode::none;
    CHECK(succeeded(home.execute("3", "READ x")));
    CHECK(home.group->at("i-1").open_transactions() == 0);
}

// Guards against the loss of eight connections for one statement: each repetition got the same refusal.
TEST_CASE("a value that an instance refuses is answered once and costs no connection")
{
    answering_home home;
    REQUIRE(succeeded(home.execute("1", "READ x", {}, {{"zone", "erie"}})));
    home.group->refused_value = "zone";
    for (int n = 0; n < 2; ++n) {
        const auto refused = home.execute("2", "READ x", {}, {{"zone", "huron"}});
        REQUIRE(refused.answer.error);
        CHECK(refused.answer.error->code == session::answer_code::malformed);
        CHECK(refused.answer.error->text.find("READONLY") != std::string::npos);
    }
    REQUIRE(succeeded(home.execute("3", "READ x")));
    CHECK(home.group->ran.size() == 2); // the refused ones did not run
    CHECK(home.group->ran.back().connection == home.group->ran.front().connection);
    CHECK(home.group->ran.back().values.empty()); // nor the former value, which the instance still had
}

// Guards against a statement that runs without its session's values: an instance that has lost the prepared
// statements of a connection may have lost its values, too.
TEST_CASE("a connection whose instance does not know a prepared statement is closed")
{
    answering_home home;
    const prepared_statement prepared{true, "q1"};
    const session::session_values values{{"zone", "erie"}};
    REQUIRE(succeeded(home.execute("1", "EXECUTE w_q1 x 1", prepared, values)));
    home.group->at("i-1").forget_session_state();
    const auto unknown = home.execute("2", "EXECUTE w_q1 x 1", prepared, values);
    REQUIRE(unknown.answer.error);
    CHECK(unknown.answer.error->code == session::answer_code::unknown_name);
    REQUIRE(succeeded(home.execute("3", "READ x", {}, values)));
    CHECK(home.group->ran.back().values == values);
}

// Guards against a home and an instance that keep every shape that a connection has ever run.
TEST_CASE("the prepared statements of a connection are bounded, and the instance forgets the others")
{
    answering_home home;
    const auto execute = [&home](std::size_t n) {
        const auto shape = "q" + std::to_string(n);
        return home.execute("1", "EXECUTE r_" + shape + " x", prepared_statement{false, shape});
    };
    constexpr auto bound = session::connection_state::max_names;
    for (std::size_t n = 0; n < bound + 10; ++n)
        REQUIRE(succeeded(execute(n)));
    CHECK(home.group->at("i-1").prepared_statements() == bound);
    CHECK(succeeded(execute(0))); // prepared again
    CHECK(home.group->at("i-1").connections() == 1);
}
