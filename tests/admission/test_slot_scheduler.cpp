// Slots stay busy, urgent statements run first, and those that cannot run in time are refused at once.

#include "admission/slot_scheduler.h"

#include <catch2/catch.hpp>

using namespace baobabport::admission;
using std::chrono::milliseconds;

namespace {

const time_point start{std::chrono::hours(1)};

slot_request make(std::uint64_t key, std::uint32_t priority, milliseconds wait, const char *label = "r")
{
    return {key, priority, false, label, start + wait};
}

/// Returns a scheduler with an estimate of 10 ms per statement and no free capacity.
slot_scheduler full()
{
    slot_scheduler out(2);
    for (std::uint64_t n = 1000; n < 1100; ++n) {
        out.submit(make(n, 1, milliseconds(100)), start - milliseconds(10));
        out.finished(n, true, start);
    }
    for (std::uint64_t n = 1; n <= 2 + slot_scheduler::max_beyond_slots; ++n)
        REQUIRE(out.submit(make(n, 1, milliseconds(100)), start) == slot_decision::run);
    return out;
}

} // namespace

TEST_CASE("statements run while there is capacity, then wait, then run in order")
{
    auto it = full();
    CHECK(it.submit(make(10, 1, milliseconds(100)), start) == slot_decision::wait);
    CHECK(it.next(start).empty());
    it.finished(1, true, start + milliseconds(10));
    CHECK(it.next(start + milliseconds(10)) == std::vector<std::uint64_t>{10});
}

TEST_CASE("the most urgent statement runs first, and those of an open transaction before all others")
{
    auto it = full();
    it.submit(make(10, 2, milliseconds(500), "sheet"), start);
    it.submit(make(11, 1, milliseconds(500), "booking"), start);
    auto open = make(12, 2, milliseconds(500), "log");
    open.holds_connection = true;
    it.submit(open, start);
    std::vector<std::uint64_t> order;
    for (std::uint64_t n = 1; n <= 3; ++n) {
        it.finished(n, true, start + milliseconds(10));
        for (const auto key : it.next(start + milliseconds(10)))
            order.push_back(key);
    }
    CHECK(order == std::vector<std::uint64_t>{12, 11, 10});
}

TEST_CASE("a statement that would wait too long is refused at once")
{
    auto it = full();
    std::uint64_t key = 10;
    while (it.submit(make(key, 1, milliseconds(60)), start) == slot_decision::wait)
        ++key;
    CHECK(key > 14); // several statements fit into 60 ms
    CHECK(key < 30); // but not an unlimited number
    CHECK(it.submit(make(key, 1, milliseconds(500)), start) == slot_decision::wait);
    auto open = make(99, 1, milliseconds(1));
    open.holds_connection = true;
    CHECK(it.submit(open, start) == slot_decision::wait); // its end frees the connection that others wait for
}

TEST_CASE("a statement that has waited too long is returned once")
{
    auto it = full();
    it.submit(make(10, 1, milliseconds(50)), start);
    CHECK(it.expired(start + milliseconds(49)).empty());
    CHECK(it.expired(start + milliseconds(51)) == std::vector<std::uint64_t>{10});
    CHECK(it.expired(start + milliseconds(52)).empty());
    CHECK(it.waiting() == 0);
}

TEST_CASE("an end that is reported twice frees one slot")
{
    auto it = full();
    it.finished(1, false, start);
    it.finished(1, false, start);
    CHECK(it.running() == 2);
}

TEST_CASE("statements waiting at the instance count in full, running ones by their remaining time")
{
    slot_scheduler it(1);
    for (std::uint64_t key = 1; key <= 20; ++key) { // trains the estimate to 100 ms
        it.submit(make(key, 1, milliseconds(1000)), start);
        it.finished(key, true, start + milliseconds(100));
    }
    it.submit(make(100, 1, milliseconds(1000)), start);
    it.submit(make(101, 1, milliseconds(1000)), start);
    const auto margin = milliseconds(15); // the estimate is biased towards slower statements
    CHECK(it.expected_wait(1, start) >= milliseconds(200) - margin);
    CHECK(it.expected_wait(1, start + milliseconds(60)) <= milliseconds(140) + margin);
    CHECK(it.expected_wait(1, start + milliseconds(900)) >= milliseconds(100) - margin);
}

TEST_CASE("a statement that expired while the process was suspended does not run")
{
    slot_scheduler it(1);
    it.submit(make(1, 1, milliseconds(1000)), start);
    it.submit(make(2, 1, milliseconds(1000)), start);
    CHECK(it.submit(make(3, 1, milliseconds(1000)), start) == slot_decision::wait);
    const auto resumed_at = start + milliseconds(3000);
    it.finished(1, true, resumed_at); // the answer is processed before expiry
    CHECK(it.next(resumed_at).empty());
    CHECK(it.expired(resumed_at) == std::vector<std::uint64_t>{3});
}

// Guards against refusals after a restart: statements that waited for a new connection made all later ones
// look as slow as that.
TEST_CASE("the time in which a statement waits for its connection is not part of its duration")
{
    slot_scheduler it(2);
    for (std::uint64_t key = 1; key <= 3; ++key) {
        REQUIRE(it.submit(make(key, 1, milliseconds(1000)), start) == slot_decision::run);
        it.connected(key, start + milliseconds(400)); // the connections are open
    }
    for (std::uint64_t key = 1; key <= 3; ++key)
        it.finished(key, true, start + milliseconds(405));
    const auto later = start + milliseconds(500);
    for (std::uint64_t key = 11; key <= 13; ++key)
        REQUIRE(it.submit(make(key, 1, milliseconds(1000)), later) == slot_decision::run);
    CHECK(it.expected_wait(1, later) <= milliseconds(10)); // of three statements of 5 ms on two slots
    auto hurried = make(14, 1, milliseconds(0));
    hurried.wait_until = later + milliseconds(60);
    CHECK(it.submit(hurried, later) == slot_decision::wait);
}

// Guards against a wait that is expected to be seven times too short: the durations of statements that had
// waited inside transactions were learned under the name of their lane.
TEST_CASE("the duration of statements that waited inside a transaction is learned")
{
    slot_scheduler it(1);
    auto now = start;
    it.submit(make(1, 1, milliseconds(60000), "other"), now);
    it.submit(make(2, 1, milliseconds(60000), "other"), now);
    std::uint64_t last = 2;
    for (int n = 0; n < 10; ++n) {
        auto open = make(++last, 1, milliseconds(60000));
        open.holds_connection = true;
        REQUIRE(it.submit(open, now) == slot_decision::wait);
        it.finished(last - 2, true, now);
        REQUIRE(it.next(now) == std::vector<std::uint64_t>{last});
        now += milliseconds(100);
    }
    for (int n = 0; n < 10; ++n) {
        auto open = make(++last, 1, milliseconds(60000));
        open.holds_connection = true;
        REQUIRE(it.submit(open, now) == slot_decision::wait);
    }
    CHECK(it.expected_wait(1, now) >= milliseconds(10 * 80));
}
