// Fair shares of an instance's slots among workspaces.

#include "admission/fair_queue.h"
#include "admission/slot_scheduler.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>

using namespace baobabport;
using namespace baobabport::admission;
using document::priority_kind;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

const time_point start{std::chrono::hours(1)};

document::limit_policy limits()
{
    document::limit_policy out;
    out.queue_length = 100000;
    out.ageing = milliseconds(400);
    return out;
}

queued_request make(std::uint64_t key, const std::string &workspace, microseconds cost,
                    priority_kind priority = priority_kind::normal)
{
    queued_request out;
    out.key = key;
    out.priority = priority;
    out.cost = cost;
    out.workspace = workspace;
    out.enqueued_at = start;
    out.deadline = start + std::chrono::hours(1);
    return out;
}

fair_queue::readiness all_ready(const std::string & /*workspace*/, std::size_t /*waiting*/)
{
    return fair_queue::readiness::ready;
}

} // namespace

// Load: workspaces begin and cease to wait at random, one at 7.5 times the load of the others; in each
// interval in which two of them wait, neither may be served more than the other but for one statement of
// each.
TEST_CASE("two workspaces that wait receive the same slot time but for one statement of each")
{
    std::mt19937_64 random(11);
    const std::vector<std::string> names{"hot", "a", "b", "c"};
    fair_queue it(milliseconds(12));
    std::map<std::string, int> waiting;
    std::map<std::string, microseconds> greatest;
    std::map<std::pair<std::string, std::string>, microseconds> ahead; ///< of the first, since both wait
    std::uint64_t key = 0;
    microseconds worst_excess(0);
    const auto is_waiting = [&waiting](const std::string &name) { return waiting[name] > 0; };
    for (int step = 0; step < 20000; ++step) {
        const auto &name = names[random() % 11 < 7 ? 0 : 1 + random() % 3];
        if (random() % 2 == 0 && waiting[name] < 200) {
            const microseconds cost(1000 + random() % 20000);
            REQUIRE(it.push(make(++key, name, cost), limits()));
            if (++waiting[name] == 1)
                for (const auto &other : names)
                    ahead[{name, other}] = ahead[{other, name}] = microseconds(0);
            continue;
        }
        const auto served = it.pop(all_ready, limits(), start);
        if (!served)
            continue;
        const auto &who = served->request.workspace;
        greatest[who] = std::max(greatest[who], served->request.cost);
        for (const auto &other : names) {
            if (other == who || !is_waiting(other))
                continue;
            ahead[{who, other}] += served->request.cost;
            ahead[{other, who}] -= served->request.cost;
            worst_excess = std::max(worst_excess, ahead[{who, other}] - microseconds(21000) * 2);
        }
        --waiting[who];
    }
    CHECK(worst_excess <= microseconds(0));
}

TEST_CASE("a workspace that was idle has saved nothing, and one that ran alone owes nothing")
{
    fair_queue it(milliseconds(12));
    std::uint64_t key = 0;
    for (int n = 0; n < 100; ++n)
        it.charge_start(priority_kind::normal, "alone", milliseconds(10));
    for (int n = 0; n < 4; ++n) {
        REQUIRE(it.push(make(++key, "alone", milliseconds(10)), limits()));
        REQUIRE(it.push(make(++key, "new", milliseconds(10)), limits()));
    }
    std::map<std::string, int> of_first_four;
    for (int n = 0; n < 4; ++n)
        ++of_first_four[it.pop(all_ready, limits(), start)->request.workspace];
    CHECK(of_first_four["alone"] >= 1);
    CHECK(of_first_four["new"] >= 2);
}

TEST_CASE("opening a connection is charged, and a connected workspace goes first among equals")
{
    fair_queue it(milliseconds(12));
    for (std::uint64_t key = 1; key <= 3; ++key) {
        REQUIRE(it.push(make(key, "unconnected", milliseconds(3)), limits()));
        REQUIRE(it.push(make(10 + key, "connected", milliseconds(3)), limits()));
    }
    const auto check = [](const std::string &workspace, std::size_t) {
        return workspace == "connected" ? fair_queue::readiness::ready
                                        : fair_queue::readiness::opens_connection;
    };
    std::vector<std::uint64_t> order;
    while (const auto served = it.pop(check, limits(), start))
        order.push_back(served->request.key);
    CHECK(order == std::vector<std::uint64_t>{11, 1, 12, 13, 2, 3}); // 3 ms, 15 ms, then 3 + 3 + ...
}

TEST_CASE("workspaces that cannot run do not block others, and priority with ageing is kept")
{
    fair_queue it(milliseconds(12));
    REQUIRE(it.push(make(1, "blocked", milliseconds(3)), limits()));
    REQUIRE(it.push(make(2, "other", milliseconds(3)), limits()));
    const auto check = [](const std::string &workspace, std::size_t) {
        return workspace == "blocked" ? fair_queue::readiness::not_now : fair_queue::readiness::ready;
    };
    CHECK(it.pop(check, limits(), start)->request.key == 2);
    CHECK_FALSE(it.pop(check, limits(), start));
    CHECK(it.length() == 1);

    // One in four may go to the priority whose request has waited for 400 ms.
    for (std::uint64_t key = 10; key < 20; ++key) {
        auto urgent = make(key, "urgent", milliseconds(3), priority_kind::first);
        urgent.enqueued_at = start + milliseconds(400);
        REQUIRE(it.push(urgent, limits()));
    }
    std::vector<std::uint64_t> order(4);
    for (auto &key : order)
        key = it.pop(all_ready, limits(), start + milliseconds(401))->request.key;
    CHECK(std::count(order.begin(), order.end(), 1U) == 1);
    CHECK(order.front() == 10);
}

TEST_CASE("expired requests are returned once, and leave no trace in the order or the expected wait")
{
    fair_queue it(milliseconds(12));
    auto hurried = make(1, "a", milliseconds(30));
    hurried.deadline = start + milliseconds(50);
    REQUIRE(it.push(hurried, limits()));
    REQUIRE(it.push(make(2, "a", milliseconds(5)), limits()));
    CHECK(it.slot_time_ahead(priority_kind::normal, "a") == milliseconds(35));
    CHECK(it.slot_time_ahead(priority_kind::normal, "b") == milliseconds(0));
    CHECK(it.pop_expired(start + milliseconds(50)).size() == 1);
    CHECK(it.pop_expired(start + milliseconds(60)).empty());
    CHECK(it.slot_time_ahead(priority_kind::normal, "a") == milliseconds(5));
    CHECK(it.pop(all_ready, limits(), start)->request.key == 2);
    CHECK(it.length() == 0);
}

// Load: one workspace at 7.5 times its load beside a small one, on four slots with statements of 9 ms.
TEST_CASE("a workspace far above its load is refused, and does not delay a small one")
{
    slot_scheduler it(4);
    auto now = start;
    std::uint64_t key = 0;
    std::map<std::uint64_t, time_point> ends;
    std::map<std::uint64_t, time_point> small_since;
    milliseconds longest_small_wait(0);
    int hot_refused = 0;
    const auto begin = [&](std::uint64_t started) {
        ends[started] = now + milliseconds(9);
        if (const auto found = small_since.find(started); found != small_since.end())
            longest_small_wait =
                std::max(longest_small_wait, std::chrono::duration_cast<milliseconds>(now - found->second));
    };
    const auto submit = [&](const char *workspace) {
        const auto decision =
            it.submit({++key, 1, false, "bookings", now + milliseconds(150), workspace}, now);
        if (workspace == std::string("small"))
            small_since[key] = now;
        if (decision == slot_decision::run)
            begin(key);
        return decision;
    };
    for (int ms = 0; ms < 6500; ++ms) {
        now = start + milliseconds(ms);
        const auto finished = ends;
        for (const auto &[number, at] : finished) {
            if (at > now)
                continue;
            ends.erase(number);
            it.finished(number, true, now);
        }
        for (const auto next : it.next(now))
            begin(next);
        hot_refused += submit("hot") == slot_decision::refuse ? 1 : 0; // twice what the slots can do
        if (ms % 50 == 0)
            CHECK(submit("small") != slot_decision::refuse);
        (void)it.expired(now);
    }
    CHECK(hot_refused > 1000);
    CHECK(longest_small_wait <= milliseconds(2 * 9)); // one statement of each
}

// Guards against late refusals: the wait of a statement that was accepted may grow when the instance slows
// down.
TEST_CASE("a waiting statement that has become too late is refused before its limit, and no other")
{
    slot_scheduler it(1);
    auto now = start;
    for (std::uint64_t key = 1; key <= 12; ++key) {
        const auto wait = key <= 11 ? milliseconds(100) : milliseconds(10000);
        const char *const workspace = key == 12 ? "patient" : "a";
        REQUIRE(it.submit({key, 1, false, "r", now + wait, workspace}, now) != slot_decision::refuse);
    }
    CHECK(it.expired(now).empty());
    for (std::uint64_t key = 1; key <= 3; ++key) { // each takes 20 ms, ten times what was expected
        now += milliseconds(20);
        it.finished(key, true, now);
        REQUIRE(it.next(now).size() == 1);
    }
    const auto refused = it.expired(now);
    // Two are running and 40 ms are left, so that none or one of the seven can start in time.
    CHECK(refused.size() >= 5);
    CHECK(std::count(refused.begin(), refused.end(), 12U) == 0);
    CHECK(std::count(refused.begin(), refused.end(), 11U) == 1);
    CHECK(it.waiting() == 7 - refused.size());
}
