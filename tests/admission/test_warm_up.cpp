// The limit of a cold instance's concurrent statements, without a network.

#include "admission/slot_scheduler.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

using namespace baobabport::admission;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t slots = 4;
const time_point start{std::chrono::hours(1)};

/// The home of one instance with more statements waiting than it can run.
struct busy_home
{
    busy_home() { scheduler.set_slots(slots); }

    /// Keeps the instance busy for the period; its statements take `took`, and more if it runs many at a
    /// time.
    void run(milliseconds period, milliseconds took)
    {
        for (const auto end = now + period; now < end; now += milliseconds(1)) {
            for (auto it = running.begin(); it != running.end();) {
                if (it->second > now) {
                    ++it;
                    continue;
                }
                scheduler.finished(it->first, true, now);
                ++completed;
                it = running.erase(it);
            }
            while (scheduler.waiting() < 8) {
                const slot_request request{++last, 1, false, "r", now + std::chrono::seconds(60)};
                if (scheduler.submit(request, now) == slot_decision::run)
                    running.emplace_back(request.key, now + took);
            }
            for (const auto key : scheduler.next(now))
                running.emplace_back(key, now + took);
            most = std::max(most, running.size());
        }
    }

    slot_scheduler scheduler{slots};
    time_point now = start;
    std::uint64_t last = 0;
    std::vector<std::pair<std::uint64_t, time_point>> running;
    std::size_t most = 0;
    int completed = 0;
};

} // namespace

// Guards against a cold instance that gets as many statements as a warm one, and queues them.
TEST_CASE("a cold instance runs one statement at a time until its answers are as fast as before")
{
    busy_home home;
    home.run(milliseconds(1000), milliseconds(15));
    CHECK(home.most == slots + 1);
    home.scheduler.cold_limit().set_cold_since(home.now);
    home.run(milliseconds(200), milliseconds(75)); // those that run already end
    home.most = 0;
    home.run(milliseconds(2000), milliseconds(75));
    CHECK(home.most == 1);
    home.run(milliseconds(400), milliseconds(15));
    CHECK(home.most == slots + 1);
}

// Guards against a hint of coldness that is wrong: the instance is warm, and must carry its load soon.
TEST_CASE("an instance that is called cold but is not carries all its load within half a second")
{
    busy_home home;
    home.run(milliseconds(1000), milliseconds(15));
    home.scheduler.cold_limit().set_cold_since(home.now);
    home.run(milliseconds(500), milliseconds(15));
    home.most = 0;
    home.run(milliseconds(100), milliseconds(15));
    CHECK(home.most == slots + 1);
}

// Guards against a limit that stays for ever, since the instance is slow for another reason.
TEST_CASE("an instance that stays slow is limited for a bounded time")
{
    busy_home home;
    home.run(milliseconds(1000), milliseconds(15));
    home.scheduler.cold_limit().set_cold_since(home.now);
    home.run(warm_up::longest + milliseconds(100), milliseconds(75));
    CHECK(home.scheduler.cold_limit().limit(home.now) == slots + 1);
}

// Guards against more statements for an instance that sheds those it has.
TEST_CASE("the limit halves when a cold instance sheds a statement")
{
    warm_up limit;
    limit.set_full_limit(slots + 1);
    CHECK(limit.limit(start) == slots + 1); // no evidence of coldness
    limit.set_cold_since(start);
    CHECK(limit.limit(start) == 1);
    limit.record_answer("r", microseconds(15000), start); // sent before
    CHECK(limit.limit(start) == 1);
    for (int n = 0; n < 1 + 2 + 3; ++n)
        limit.record_answer("r", microseconds(15000), start + milliseconds(20));
    CHECK(limit.limit(start) == 4);
    limit.record_refusal();
    CHECK(limit.limit(start) == 2);
    limit.set_cold_since(std::nullopt); // it became the primary
    CHECK(limit.limit(start) == slots + 1);
}
