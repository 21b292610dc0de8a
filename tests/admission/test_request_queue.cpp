// Tests the order of the queue (strict priorities, weights, ageing) and its limits.

#include "admission/request_queue.h"

#include <catch2/catch.hpp>
#include <map>

using namespace baobabport;
using admission::queued_request;
using admission::request_queue;
using document::priority_kind;
using std::chrono::milliseconds;

namespace {

const admission::time_point start{std::chrono::hours(1)};

queued_request make(std::uint64_t key, const char *name, priority_kind priority, std::uint32_t weight = 1)
{
    return {key, name, priority, weight, milliseconds(10), 10, start, start + milliseconds(1000)};
}

const auto anything = [](const queued_request &) { return true; };

} // namespace

TEST_CASE("a request of the first priority precedes all waiting ones")
{
    request_queue queue;
    const document::limit_policy limits;
    for (std::uint64_t n = 0; n < 10; ++n)
        REQUIRE(queue.push(make(n, "audit", priority_kind::background), limits));
    REQUIRE(queue.push(make(100, "sign_off", priority_kind::first), limits));
    CHECK(queue.pop(anything, limits, start)->key == 100);
}

TEST_CASE("weights share slot time within a priority")
{
    request_queue queue;
    const document::limit_policy limits;
    for (std::uint64_t n = 0; n < 400; ++n) {
        REQUIRE(queue.push(make(n, "heavy", priority_kind::normal, 3), limits));
        REQUIRE(queue.push(make(1000 + n, "light", priority_kind::normal, 1), limits));
    }
    std::map<std::string, int> taken;
    for (int n = 0; n < 200; ++n)
        ++taken[queue.pop(anything, limits, start)->class_name];
    CHECK(taken["heavy"] >= 145);
    CHECK(taken["heavy"] <= 155);
}

TEST_CASE("a request that has waited long is raised, but ageing does not undo priority")
{
    request_queue queue;
    const document::limit_policy limits;
    const auto later = start + 2 * limits.ageing;
    auto audit = make(1, "audit", priority_kind::background);
    audit.deadline = later + milliseconds(1000);
    REQUIRE(queue.push(audit, limits));
    int until_audit = 0;
    for (std::uint64_t n = 10; n < 40; ++n) {
        auto fresh = make(n, "sign_off", priority_kind::first);
        fresh.enqueued_at = later;
        fresh.deadline = later + milliseconds(1000);
        REQUIRE(queue.push(fresh, limits));
    }
    for (auto next = queue.pop(anything, limits, later); next && next->key != 1;
         next = queue.pop(anything, limits, later))
        ++until_audit;
    CHECK(until_audit >= 3);
    CHECK(until_audit < 30);
}

TEST_CASE("an ineligible request does not block those behind it")
{
    request_queue queue;
    const document::limit_policy limits;
    REQUIRE(queue.push(make(1, "write", priority_kind::first), limits));
    REQUIRE(queue.push(make(2, "read", priority_kind::normal), limits));
    const auto next = queue.pop([](const auto &it) { return it.key == 2; }, limits, start);
    REQUIRE(next);
    CHECK(next->key == 2);
    CHECK(queue.length() == 1);
}

TEST_CASE("length and bytes are limited, and decrease when requests are removed")
{
    request_queue queue;
    document::limit_policy limits;
    limits.queue_length = 3;
    limits.queue_bytes = 25;
    CHECK(queue.push(make(1, "a", priority_kind::normal), limits));
    CHECK(queue.push(make(2, "a", priority_kind::normal), limits));
    CHECK_FALSE(queue.push(make(3, "a", priority_kind::normal), limits));
    CHECK(queue.remove(1));
    CHECK(queue.bytes() == 10);
    CHECK(queue.push(make(4, "a", priority_kind::normal), limits));
    CHECK(queue.pop_expired(start + milliseconds(1000)).size() == 2);
    CHECK(queue.length() == 0);
    CHECK(queue.bytes() == 0);
}
