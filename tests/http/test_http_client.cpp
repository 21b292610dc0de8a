// The HTTP client: a request that is not wanted any more is not written.

#include "http/http_client.h"
#include "support/silent_listener.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <memory>
#include <optional>

using namespace baobabport;
using http::client_failure;
using std::chrono::milliseconds;
using testing::run_until;
using testing::stalled_listener;

namespace {

constexpr const char *empty_answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

http::client_request request_for(const std::string &path, std::function<bool()> may_write)
{
    return {http::method_kind::get, path, {}, {}, milliseconds(60000), std::move(may_write)};
}

} // namespace

TEST_CASE("a withdrawn request is not written, on a new connection or a kept one")
{
    auto *const base = event_base_new();
    {
        stalled_listener far;
        http::http_client client(base, far.at());
        std::optional<client_failure> ended;
        const auto note = [&ended](const http::client_answer &answer) { ended = answer.failure; };

        client.send(request_for("/first", [] { return true; }), note);
        REQUIRE(run_until(base, [&] { return far.accepted(); }));
        REQUIRE(run_until(base, [&] {
            far.read();
            return far.text().find("/first") != std::string::npos;
        }));
        far.write(empty_answer);
        REQUIRE(run_until(base, [&] { return ended.has_value(); }));
        CHECK(ended == client_failure::none);

        ended.reset();
        client.send(request_for("/second", [] { return false; }), note);
        CHECK(ended == client_failure::withdrawn);
        CHECK_FALSE(client.busy());

        ended.reset();
        client.send(request_for("/third", nullptr), note);
        REQUIRE(run_until(base, [&] {
            far.read();
            return far.text().find("/third") != std::string::npos;
        }));
        CHECK(far.text().find("/second") == std::string::npos);

        stalled_listener other;
        http::http_client fresh(base, other.at());
        ended.reset();
        fresh.send(request_for("/fourth", [] { return false; }), note);
        REQUIRE(run_until(base, [&] { return ended.has_value(); }));
        CHECK(ended == client_failure::withdrawn);
        CHECK_FALSE(fresh.busy());
    }
    event_base_loop(base, EVLOOP_NONBLOCK);
    event_base_free(base);
}

TEST_CASE("a client may be destroyed when its request is withdrawn or while its connection opens")
{
    auto *const base = event_base_new();
    {
        stalled_listener far;
        auto client = std::make_unique<http::http_client>(base, far.at());
        bool withdrawn = false;
        client->send(request_for("/first", [] { return false; }), [&](const http::client_answer &answer) {
            withdrawn = answer.failure == client_failure::withdrawn;
            client.reset();
        });
        REQUIRE(run_until(base, [&] { return withdrawn; }));

        client = std::make_unique<http::http_client>(base, far.at());
        bool asked = false;
        client->send(request_for("/second", [&asked] { return asked = true; }), [](const auto &) {});
        client.reset();
        event_base_loop(base, EVLOOP_NONBLOCK);
        CHECK_FALSE(asked);
    }
    event_base_loop(base, EVLOOP_NONBLOCK);
    event_base_free(base);
}
