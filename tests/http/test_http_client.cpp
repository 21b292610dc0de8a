// The HTTP client: a cancelled request is not written.

#include "http/http_client.h"
#include "support/stalled_listener.h"

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

TEST_CASE("a cancelled request is not written, on a new connection or an open one")
{
    auto *const base = event_base_new();
    {
        stalled_listener listener;
        http::http_client client(base, listener.at());
        std::optional<client_failure> ended;
        const auto record_failure = [&ended](const http::client_answer &answer) { ended = answer.failure; };

        client.send(request_for("/first", [] { return true; }), record_failure);
        REQUIRE(run_until(base, [&] { return listener.accepted(); }));
        REQUIRE(run_until(base, [&] {
            listener.read();
            return listener.text().find("/first") != std::string::npos;
        }));
        listener.write(empty_answer);
        REQUIRE(run_until(base, [&] { return ended.has_value(); }));
        CHECK(ended == client_failure::none);

        ended.reset();
        client.send(request_for("/second", [] { return false; }), record_failure);
        CHECK(ended == client_failure::cancelled);
        CHECK_FALSE(client.busy());

        ended.reset();
        client.send(request_for("/third", nullptr), record_failure);
        REQUIRE(run_until(base, [&] {
            listener.read();
            return listener.text().find("/third") != std::string::npos;
        }));
        CHECK(listener.text().find("/second") == std::string::npos);

        stalled_listener second_listener;
        http::http_client new_client(base, second_listener.at());
        ended.reset();
        new_client.send(request_for("/fourth", [] { return false; }), record_failure);
        REQUIRE(run_until(base, [&] { return ended.has_value(); }));
        CHECK(ended == client_failure::cancelled);
        CHECK_FALSE(new_client.busy());
    }
    event_base_loop(base, EVLOOP_NONBLOCK);
    event_base_free(base);
}

TEST_CASE("a client may be destroyed when its request is cancelled or while its connection is opened")
{
    auto *const base = event_base_new();
    {
        stalled_listener listener;
        auto client = std::make_unique<http::http_client>(base, listener.at());
        bool cancelled = false;
        client->send(request_for("/first", [] { return false; }), [&](const http::client_answer &answer) {
            cancelled = answer.failure == client_failure::cancelled;
            client.reset();
        });
        REQUIRE(run_until(base, [&] { return cancelled; }));

        client = std::make_unique<http::http_client>(base, listener.at());
        bool checked = false;
        client->send(request_for("/second", [&checked] { return checked = true; }), [](const auto &) {});
        client.reset();
        event_base_loop(base, EVLOOP_NONBLOCK);
        CHECK_FALSE(checked);
    }
    event_base_loop(base, EVLOOP_NONBLOCK);
    event_base_free(base);
}
