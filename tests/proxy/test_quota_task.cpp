// Operations of two processes that share a quota, and what happens when a pool does not answer.

#include "proxy/quota_task.h"
#include "support/boot_clock.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <nlohmann/json.hpp>

using namespace baobabport;
using clock_type = support::boot_clock;
using std::chrono::milliseconds;

namespace {

/// The process `self`, whose first pool is `peer` and whose second one is `other`; the test plays both.
struct quota_site
{
    quota_site() : base(event_base_new())
    {
        task.emplace(base, "self",
                     proxy::quota_task::link_hooks{
                         [this](const auto &) { return ranks; },
                         [this](const auto &vm, auto kind, const auto &body, auto, auto done) {
                             sent.push_back({vm, kind, body, done});
                         }});
        auto &fleet = task->account().fleet();
        const auto now = clock_type::now();
        fleet.record_size(1000);
        fleet.record_list({"self", "peer", "other"}, now);
        fleet.record_contact(now);
        task->account().apply({{{"one", {"k"}, directory::quota{31, 10}}}}, now);
        task->tick(now);
        sent.clear();
    }
    ~quota_site()
    {
        task.reset();
        event_base_free(base);
    }
    quota_site(const quota_site &) = delete;
    quota_site &operator=(const quota_site &) = delete;

    void take()
    {
        task->take("one", [this](const auto &refusal) { results.push_back(refusal.value_or("token")); });
    }
    void end_turn() { event_base_loop(base, EVLOOP_ONCE); }
    void answer(std::int64_t milli_tokens, milliseconds until_more)
    {
        const auto message = sent.front();
        sent.erase(sent.begin());
        message.done(
            {true, true, inner::encode(inner::token_list{{{"one", milli_tokens, until_more}}}), false});
    }
    void lose()
    {
        const auto message = sent.front();
        sent.erase(sent.begin());
        message.done({false, true, {}, false});
    }

    struct message
    {
        std::string vm;
        inner::message_kind kind;
        std::string body;
        inner::stream_connection::outcome_hook done;
    };
    event_base *base;
    std::vector<std::string> ranks{"peer", "other"};
    std::vector<message> sent;
    std::vector<std::string> results;
    std::optional<proxy::quota_task> task;
};

} // namespace

// Guards against a message for each operation, and against refusals that name no limit.
TEST_CASE("the operations of one turn withdraw together, and those without a token are told when to return")
{
    quota_site site;
    for (int n = 0; n < 3; ++n)
        site.take();
    CHECK(site.sent.empty());
    site.end_turn();
    REQUIRE(site.sent.size() == 1);
    CHECK(site.sent.front().vm == "peer");
    const auto wanted = inner::decode_token_list(site.sent.front().body);
    REQUIRE(wanted);
    REQUIRE(wanted->tokens.size() == 1);
    // A thousandth of the rate has been issued here meanwhile at most.
    CHECK(wanted->tokens[0].milli_tokens > 2900);
    site.answer(wanted->tokens[0].milli_tokens - 1000, milliseconds(40));
    CHECK(site.results ==
          std::vector<std::string>{
              "token", "token",
              "the workspace's quota of 31 operations per second is used up; retry in 40 ms"});
}

// Guards against operations that wait for a lost pool, and against tokens from more than the second one.
TEST_CASE("a withdrawal without an answer is repeated at the next rank, once")
{
    quota_site site;
    site.take();
    site.end_turn();
    site.lose();
    REQUIRE(site.sent.size() == 1);
    CHECK(site.sent.front().vm == "other");
    site.lose();
    REQUIRE(site.results.size() == 1);
    CHECK(site.results[0].starts_with("the pool of the workspace's quota does not answer; retry in"));
    CHECK(site.sent.empty());
}

// Guards against a peer that grants more than was asked for.
TEST_CASE("an answer does not grant more than was wanted")
{
    quota_site site;
    site.take();
    site.end_turn();
    site.answer(9000, milliseconds(0));
    CHECK(site.results == std::vector<std::string>{"token"});
    const auto state = site.task->state(clock_type::now());
    REQUIRE(state.size() == 1);
    CHECK(state[0].at("local_tokens").get<double>() < 0.1);
}

// Guards against deposits that a paused process finds in its sockets long after they were sent.
TEST_CASE("deposits count only at a process that has not stood still")
{
    quota_site site;
    const auto deposit =
        inner::encode(inner::deposit_request{"peer", {{}, {{"one", 2000, milliseconds(0)}}, {}}});
    const auto pooled = [&site] {
        return site.task->state(clock_type::now())[0].at("pooled_tokens").get<double>();
    };
    const auto now = clock_type::now();
    (void)site.task->answer(inner::message_kind::deposit_tokens, deposit, now + milliseconds(400));
    CHECK(pooled() == 0);
    site.task->tick(now + milliseconds(400));
    (void)site.task->answer(inner::message_kind::deposit_tokens, deposit, now + milliseconds(400));
    CHECK(pooled() == 0);
    site.task->tick(now + milliseconds(440));
    (void)site.task->answer(inner::message_kind::deposit_tokens, deposit, now + milliseconds(440));
    CHECK(pooled() == 2);
}

// Guards against quotas that cost something without a limit, and against a rate of zero that admits anything.
TEST_CASE("a workspace without a quota needs no token, and one with a rate of zero gets none")
{
    quota_site site;
    site.task->take("free",
                    [&site](const auto &refusal) { site.results.push_back(refusal.value_or("token")); });
    site.task->account().apply({{{"one", {"k"}, directory::quota{0, 10}}}}, clock_type::now());
    site.take();
    CHECK(site.sent.empty());
    REQUIRE(site.results.size() == 2);
    CHECK(site.results[0] == "token");
    CHECK(site.results[1].starts_with("the workspace's quota of 0 operations per second is used up"));
}
