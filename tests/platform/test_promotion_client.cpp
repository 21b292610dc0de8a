// Promotion orders: one that was abandoned or is no longer valid must not be delivered.

#include "platform/promotion_client.h"
#include "support/free_address.h"
#include "support/stalled_listener.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <functional>
#include <memory>
#include <optional>

using namespace baobabport;
using platform::promotion_outcome;
using std::chrono::milliseconds;
using testing::connection_end;
using testing::run_until;
using testing::stalled_listener;

namespace {

/// A client, and a remote end in place of the platform that may leave bytes unread.
struct order_site
{
    order_site()
        : base(event_base_new()), orders(std::make_unique<platform::promotion_client>(base, remote.at()))
    {
    }
    ~order_site()
    {
        orders.reset();
        event_base_loop(base, EVLOOP_NONBLOCK);
        event_base_free(base);
    }
    order_site(const order_site &) = delete;
    order_site &operator=(const order_site &) = delete;

    void promote(const platform::promotion_order &order, milliseconds timeout,
                 std::function<bool()> still_valid = nullptr)
    {
        orders->promote(
            order, timeout, [this](auto it, const auto &) { outcome = it; }, std::move(still_valid));
    }

    connection_end end_of_connection()
    {
        event_base_loop(base, EVLOOP_NONBLOCK); // a client closes in a later iteration of the loop
        run_until(base, [this] { return remote.read() != connection_end::still_open; });
        return remote.read();
    }

    event_base *base;
    stalled_listener remote;
    std::unique_ptr<platform::promotion_client> orders;
    std::optional<promotion_outcome> outcome;
};

/// An order larger than the remote end's receive window: its last bytes are not delivered.
platform::promotion_order large_order()
{
    constexpr std::size_t name_size = 100'000;
    return {"db", std::string(name_size, 'i'), "vm-1", 7};
}

} // namespace

// Guards against two concurrent leaders: an order of the first that arrives after one of the second.
TEST_CASE("an order that has timed out is not delivered after a partition has healed")
{
    order_site site;
    site.promote(large_order(), milliseconds(100));
    REQUIRE(run_until(site.base, [&] { return site.remote.accepted(); }));
    REQUIRE(run_until(site.base, [&] { return site.outcome.has_value(); }));
    CHECK(site.outcome == promotion_outcome::no_answer);
    CHECK(site.end_of_connection() == connection_end::reset);
    CHECK(site.remote.text().size() < large_order().instance.size());
}

TEST_CASE("an order whose client is destroyed is not delivered after a partition has healed")
{
    order_site site;
    site.promote(large_order(), milliseconds(60000));
    REQUIRE(run_until(site.base, [&] { return site.remote.accepted(); }));
    REQUIRE(run_until(site.base, [&] { return site.remote.has_unread(); }));
    constexpr int iterations = 10; // libevent writes 16 KiB an iteration
    for (int n = 0; n < iterations; ++n)
        event_base_loop(site.base, EVLOOP_NONBLOCK);
    site.orders.reset();
    CHECK(site.end_of_connection() == connection_end::reset);
    CHECK(site.remote.text().size() < large_order().instance.size());
    CHECK_FALSE(site.outcome);
}

TEST_CASE("an order is answered by the status of the platform")
{
    order_site site;
    site.promote({"db", "i-1", "vm-1", 7}, milliseconds(60000));
    REQUIRE(run_until(site.base, [&] { return site.remote.accepted(); }));
    REQUIRE(run_until(site.base, [&] {
        site.remote.read();
        return site.remote.text().find("\"i-1\"") != std::string::npos;
    }));
    CHECK(site.remote.text().find("X-Fencing-Token: 7\r\n") != std::string::npos);
    site.remote.write("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(run_until(site.base, [&] { return site.outcome.has_value(); }));
    CHECK(site.outcome == promotion_outcome::instance_absent);
}

// Guards against two concurrent leaders: an order that the first sends after it was suspended.
TEST_CASE("an order that is no longer valid when its connection opens is not written")
{
    order_site site;
    platform::promotion_order order{"db", "i-1", "vm-1", 7};
    bool valid = true;
    SECTION("another process has become leader")
    {
        site.promote(order, milliseconds(60000), [&valid] { return valid; });
        valid = false;
    }
    SECTION("the order is older than its maximum age")
    {
        order.decided_at -= platform::promotion_client::max_order_age + milliseconds(1);
        site.promote(order, milliseconds(60000));
    }
    REQUIRE(run_until(site.base, [&] { return site.outcome.has_value(); }));
    CHECK(site.outcome == promotion_outcome::not_sent);
    REQUIRE(run_until(site.base, [&] { return site.remote.accepted(); }));
    CHECK(site.end_of_connection() != connection_end::still_open);
    CHECK(site.remote.text().empty());
}

TEST_CASE("an order that is still valid when its connection opens is written on that connection")
{
    order_site site;
    int checked = 0;
    bool was_accepted = false;
    site.promote({"db", "i-1", "vm-1", 7}, milliseconds(60000), [&] {
        was_accepted = site.remote.accepted();
        ++checked;
        return site.remote.read() == connection_end::still_open && site.remote.text().empty();
    });
    REQUIRE(run_until(site.base, [&] { return checked > 0; }));
    CHECK(was_accepted); // the connection was open
    REQUIRE(run_until(site.base, [&] {
        site.remote.read();
        return site.remote.text().find("\"i-1\"") != std::string::npos;
    }));
    site.remote.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(run_until(site.base, [&] { return site.outcome.has_value(); }));
    CHECK(site.outcome == promotion_outcome::accepted);
    CHECK(checked == 1);
}

TEST_CASE("an order to an address without a listener has no answer")
{
    order_site site;
    site.orders->set_address(testing::free_address());
    bool checked = false;
    site.promote({"db", "i-1", "vm-1", 7}, milliseconds(60000), [&checked] { return checked = true; });
    REQUIRE(run_until(site.base, [&] { return site.outcome.has_value(); }));
    CHECK(site.outcome == promotion_outcome::no_answer);
    CHECK_FALSE(checked);
}
