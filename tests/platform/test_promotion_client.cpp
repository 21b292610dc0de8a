// Orders to promote: one that its sender has given up on, or must not give any more, has no effect.

#include "platform/promotion_client.h"
#include "support/free_address.h"
#include "support/silent_listener.h"

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

/// A client, and the platform at the far side of a link that can hold bytes up.
struct order_site
{
    order_site()
        : base(event_base_new()), orders(std::make_unique<platform::promotion_client>(base, far.at()))
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
        event_base_loop(base, EVLOOP_NONBLOCK); // a client closes in a turn of its own
        run_until(base, [this] { return far.read() != connection_end::still_open; });
        return far.read();
    }

    event_base *base;
    stalled_listener far;
    std::unique_ptr<platform::promotion_client> orders;
    std::optional<promotion_outcome> outcome;
};

/// An order larger than the far side's window: its last bytes are held up.
platform::promotion_order large_order()
{
    constexpr std::size_t name_size = 100'000;
    return {"db", std::string(name_size, 'i'), "vm-1", 7};
}

} // namespace

// Guards against two holders: an order of the first that arrives after one of the second.
TEST_CASE("an order that is given up on is not delivered when the link heals")
{
    order_site site;
    site.promote(large_order(), milliseconds(100));
    REQUIRE(run_until(site.base, [&] { return site.far.accepted(); }));
    REQUIRE(run_until(site.base, [&] { return site.outcome.has_value(); }));
    CHECK(site.outcome == promotion_outcome::no_answer);
    CHECK(site.end_of_connection() == connection_end::reset);
    CHECK(site.far.text().size() < large_order().instance.size());
}

TEST_CASE("an order whose client is destroyed is not delivered when the link heals")
{
    order_site site;
    site.promote(large_order(), milliseconds(60000));
    REQUIRE(run_until(site.base, [&] { return site.far.accepted(); }));
    REQUIRE(run_until(site.base, [&] { return site.far.has_unread(); }));
    constexpr int turns = 10; // libevent writes 16 KiB a turn
    for (int n = 0; n < turns; ++n)
        event_base_loop(site.base, EVLOOP_NONBLOCK);
    site.orders.reset();
    CHECK(site.end_of_connection() == connection_end::reset);
    CHECK(site.far.text().size() < large_order().instance.size());
    CHECK_FALSE(site.outcome);
}

TEST_CASE("an order is answered by the status of the platform")
{
    order_site site;
    site.promote({"db", "i-1", "vm-1", 7}, milliseconds(60000));
    REQUIRE(run_until(site.base, [&] { return site.far.accepted(); }));
    REQUIRE(run_until(site.base, [&] {
        site.far.read();
        return site.far.text().find("\"i-1\"") != std::string::npos;
    }));
    CHECK(site.far.text().find("X-Fencing-Token: 7\r\n") != std::string::npos);
    site.far.write("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(run_until(site.base, [&] { return site.outcome.has_value(); }));
    CHECK(site.outcome == promotion_outcome::instance_absent);
}

// Guards against two holders: an order of the first that leaves a process after its freeze.
TEST_CASE("an order that is no longer valid when its connection opens is not written")
{
    order_site site;
    platform::promotion_order order{"db", "i-1", "vm-1", 7};
    bool valid = true;
    SECTION("the duty has passed on")
    {
        site.promote(order, milliseconds(60000), [&valid] { return valid; });
        valid = false;
    }
    SECTION("the order is old")
    {
        order.decided_at -= platform::promotion_client::order_age + milliseconds(1);
        site.promote(order, milliseconds(60000));
    }
    REQUIRE(run_until(site.base, [&] { return site.outcome.has_value(); }));
    CHECK(site.outcome == promotion_outcome::not_sent);
    REQUIRE(run_until(site.base, [&] { return site.far.accepted(); }));
    CHECK(site.end_of_connection() != connection_end::still_open);
    CHECK(site.far.text().empty());
}

TEST_CASE("an order that is still valid when its connection opens is written on that connection")
{
    order_site site;
    int asked = 0;
    bool was_accepted = false;
    site.promote({"db", "i-1", "vm-1", 7}, milliseconds(60000), [&] {
        was_accepted = site.far.accepted();
        ++asked;
        return site.far.read() == connection_end::still_open && site.far.text().empty();
    });
    REQUIRE(run_until(site.base, [&] { return asked > 0; }));
    CHECK(was_accepted); // the connection was open
    REQUIRE(run_until(site.base, [&] {
        site.far.read();
        return site.far.text().find("\"i-1\"") != std::string::npos;
    }));
    site.far.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(run_until(site.base, [&] { return site.outcome.has_value(); }));
    CHECK(site.outcome == promotion_outcome::accepted);
    CHECK(asked == 1);
}

TEST_CASE("an order without a listener has no answer")
{
    order_site site;
    site.orders->move_to(testing::free_address());
    bool asked = false;
    site.promote({"db", "i-1", "vm-1", 7}, milliseconds(60000), [&asked] { return asked = true; });
    REQUIRE(run_until(site.base, [&] { return site.outcome.has_value(); }));
    CHECK(site.outcome == promotion_outcome::no_answer);
    CHECK_FALSE(asked);
}
