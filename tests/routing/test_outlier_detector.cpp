// The loads of unequal instances that the outlier detection answers, without a network.

#include "routing/outlier_detector.h"

#include <catch2/catch.hpp>
#include <functional>
#include <random>
#include <vector>

using namespace baobabport::routing;
using std::chrono::milliseconds;

namespace {

const std::vector<std::string> names{"i-1", "i-2", "i-3"};

/// Reads of one VM, one each `interval`; each goes to the next instance that may get one.
struct reads
{
    explicit reads(milliseconds interval) : interval(interval)
    {
        detector.set_instances({names.begin(), names.end()});
    }

    /// Sends reads for the period; `serves` tells whether an instance gives a good answer.
    void run(milliseconds period, const std::function<bool(const std::string &, time_point)> &serves)
    {
        for (const auto end = now + period; now < end; now += interval) {
            std::size_t skipped = 0;
            while (skipped < names.size() && !detector.admits(names[next % names.size()], 0, now)) {
                ++next;
                ++skipped;
            }
            const auto &id = names[next++ % names.size()];
            ++sent[id];
            detector.record_answer(id, serves(id, now), now);
            std::size_t away = 0;
            for (const auto &it : names)
                away += detector.admits(it, 0, now) ? 0 : 1;
            most_away = std::max(most_away, away);
        }
    }

    outlier_detector detector;
    milliseconds interval;
    time_point now{std::chrono::hours(1)};
    std::size_t next = 0;
    std::map<std::string, int> sent;
    std::size_t most_away = 0;
};

} // namespace

// Guards against an instance that refuses 45% of the statements, with good health answers, and keeps a third
// of the reads. One VM of a large deployment has about two reads per second for a group.
TEST_CASE("an instance that sheds 45% gets few reads, also where a VM sends few")
{
    // Where answers are rare, it takes longer to learn that a trial has failed.
    for (const auto &[interval, share] : {std::pair(milliseconds(20), 0.1), {milliseconds(500), 0.2}}) {
        reads it(interval);
        std::mt19937 random(7);
        std::bernoulli_distribution sheds(0.45);
        const auto serves = [&](const std::string &id, time_point) { return id != "i-2" || !sheds(random); };
        it.run(milliseconds(20000), serves);
        it.sent.clear();
        it.run(milliseconds(40000), serves);
        CHECK(it.sent["i-2"] < share * static_cast<double>(milliseconds(40000) / interval));
        CHECK(it.most_away == 1);
        it.run(milliseconds(20000), [](const auto &, auto) { return true; });
        CHECK(it.detector.admits("i-2", 100, it.now)); // readmitted
    }
}

// Guards against the trust that each return of an instance that goes down and up every 1.4 s gains anew.
TEST_CASE("an instance that goes down and up every 1.4 s fails few reads")
{
    reads it(milliseconds(20));
    int failed = 0;
    const auto begin = it.now;
    it.run(milliseconds(28000), [&](const std::string &id, time_point now) {
        const bool down = id == "i-1" && ((now - begin) / milliseconds(1400)) % 2 == 1;
        failed += down ? 1 : 0;
        return !down;
    });
    CHECK(failed < 28000 / 20 / 3 / 10); // 467 reads were its share, half of them while it is down
}

// Guards against the ejection of a whole group, and of instances that are no worse than the others.
TEST_CASE("at most half of a group is ejected, and none while all are overloaded")
{
    reads two_of_three(milliseconds(20));
    two_of_three.run(milliseconds(10000), [](const std::string &id, time_point) { return id == "i-3"; });
    CHECK(two_of_three.most_away == 1);

    reads overload(milliseconds(20));
    std::mt19937 random(7);
    std::bernoulli_distribution sheds(0.5);
    overload.run(milliseconds(500), [&](const auto &, auto) { return !sheds(random); });
    overload.run(milliseconds(10000), [n = 0](const auto &, auto) mutable { return ++n / 3 % 2 == 0; });
    CHECK(overload.most_away <= 1);

    outlier_detector single;
    single.set_instances({"i-1"});
    for (int n = 0; n < 20; ++n)
        single.record_answer("i-1", false, two_of_three.now);
    CHECK(single.admits("i-1", 9, two_of_three.now));
}

// Guards against a burst of statements to an instance that has just answered one.
TEST_CASE("an ejected instance is readmitted in steps")
{
    outlier_detector detector;
    detector.set_instances({"i-1", "i-2"});
    time_point now{std::chrono::hours(1)};
    for (int n = 0; n < 3; ++n)
        detector.record_answer("i-1", false, now);
    CHECK(detector.is_ejected("i-1", now));
    CHECK_FALSE(detector.admits("i-1", 0, now));
    now += outlier_detector::first_ejection;
    for (const auto limit : {1U, 2U, 4U}) {
        CHECK(detector.admits("i-1", limit - 1, now));
        CHECK_FALSE(detector.admits("i-1", limit, now));
        detector.record_answer("i-1", true, now);
    }
    CHECK(detector.admits("i-1", 100, now));
}

// Guards against an instance that stays ejected although another process has started under its id.
TEST_CASE("a restart begins the trial, and a failed trial doubles the period")
{
    outlier_detector detector;
    detector.set_instances({"i-1", "i-2"});
    time_point now{std::chrono::hours(1)};
    for (int n = 0; n < 3; ++n)
        detector.record_answer("i-1", false, now);
    detector.record_restart("i-1", now);
    CHECK(detector.admits("i-1", 0, now));
    detector.record_answer("i-1", false, now);
    CHECK(detector.is_ejected("i-1", now + 2 * outlier_detector::first_ejection - milliseconds(1)));
    CHECK_FALSE(detector.is_ejected("i-1", now + 2 * outlier_detector::first_ejection));
}
