// Reads, watches and conditional writes of single keys, also during faults of the store.

#include "kv_service.h"
#include "store/store_client.h"
#include "support/free_address.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <optional>

using namespace baobabport;
using std::chrono::milliseconds;
using store::store_answer;
using store::store_outcome;

namespace {

struct fixture
{
    fixture()
        : base(event_base_new()), service(base, testing::free_address(), [](const auto &) { return 200; }),
          client(base, service.address())
    {
    }

    /// Runs the event loop until a call is answered; returns the answer.
    store_answer wait()
    {
        while (!answer)
            event_base_loop(base, EVLOOP_ONCE);
        return *std::exchange(answer, std::nullopt);
    }

    store::store_client::answer_hook hook()
    {
        return [this](const auto &it) { answer = it; };
    }

    event_base *base;
    standin::kv_service service;
    store::store_client client;
    std::optional<store_answer> answer;
};

constexpr milliseconds call_timeout{1000};

} // namespace

TEST_CASE("a key is created once and then changed only with its current revision")
{
    fixture it;
    it.client.read("documents/a", call_timeout, it.hook());
    CHECK(it.wait().outcome == store_outcome::no_such_key);
    it.client.compare_and_swap("documents/a", 0, "one", call_timeout, it.hook());
    const auto created = it.wait();
    CHECK(created.outcome == store_outcome::done);
    it.client.compare_and_swap("documents/a", 0, "two", call_timeout, it.hook());
    CHECK(it.wait().outcome == store_outcome::revision_mismatch);
    it.client.compare_and_swap("documents/a", created.revision, "two", call_timeout, it.hook());
    CHECK(it.wait().outcome == store_outcome::done);
    it.client.read("documents/a", call_timeout, it.hook());
    CHECK(it.wait().value == "two");
}

TEST_CASE("a watch reports changes of its own key only")
{
    fixture it;
    it.service.put("documents/a", "one");
    it.client.watch("documents/a", 0, call_timeout, it.hook());
    const auto first = it.wait();
    CHECK(first.value == "one");
    it.service.put("documents/ab", "of another key with the same beginning");
    it.client.watch("documents/a", first.revision, milliseconds(100), it.hook());
    CHECK(it.wait().outcome == store_outcome::unchanged);
    it.client.watch("documents/a", first.revision, milliseconds(2000), it.hook());
    it.service.put("documents/a", "two");
    CHECK(it.wait().value == "two");
}

TEST_CASE("a watch reports a change although the store has discarded that history")
{
    fixture it;
    it.service.put("a", "one");
    it.client.read("a", call_timeout, it.hook());
    const auto first = it.wait();
    it.service.faults.history_gone = true;
    it.client.watch("a", first.revision, call_timeout, it.hook());
    CHECK(it.wait().outcome == store_outcome::unchanged);
    it.service.put("a", "two");
    it.service.faults.history_gone = true;
    it.client.watch("a", first.revision, call_timeout, it.hook());
    CHECK(it.wait().value == "two");
}

TEST_CASE("a write without an answer has an unknown outcome, and the store counts as unhealthy")
{
    fixture it;
    it.service.faults.lose_answers = 1;
    it.client.compare_and_swap("a", 0, "one", milliseconds(100), it.hook());
    CHECK(it.wait().outcome == store_outcome::unknown);
    CHECK_FALSE(it.client.healthy());
    it.client.read("a", call_timeout, it.hook());
    CHECK(it.wait().value == "one"); // the write has taken effect
    CHECK(it.client.healthy());
    it.service.faults.refuses = true;
    it.client.read("a", call_timeout, it.hook());
    CHECK(it.wait().outcome == store_outcome::unknown);
}
