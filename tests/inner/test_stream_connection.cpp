// Messages pass over real sockets, and only between processes that share a key.

#include "inner/message_codec.h"
#include "inner/stream_connection.h"

#include <algorithm>
#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <event2/event.h>
#include <event2/util.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

using namespace baobabport::inner;
using std::chrono::milliseconds;

namespace {

/// A listener and the two ends of one connection to it, on one event loop.
struct connection_pair
{
    explicit connection_pair(const shared_keys &client_keys, const shared_keys &server_keys)
        : base(event_base_new())
    {
        listener = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::bind(listener, reinterpret_cast<sockaddr *>(&at), sizeof(at)) == 0);
        REQUIRE(::listen(listener, 1) == 0);
        socklen_t length = sizeof(at);
        ::getsockname(listener, reinterpret_cast<sockaddr *>(&at), &length);
        stream_connection::hooks client_hooks;
        client_hooks.closed = [this](const std::string &reason) { client_closed = reason; };
        client = stream_connection::connect(base, {"127.0.0.1", ntohs(at.sin_port)}, "client", client_keys,
                                            client_hooks);
        const int socket = ::accept(listener, nullptr, nullptr);
        evutil_make_socket_nonblocking(socket);
        stream_connection::hooks server_hooks;
        server_hooks.received = [this](message_kind kind, const std::string &body, auto stream) {
            received.push_back(body);
            if (kind == message_kind::statement && answers)
                server->reply(stream, "answer to " + body);
        };
        server_hooks.closed = [this](const std::string &reason) { server_closed = reason; };
        server = stream_connection::accept(base, socket, "server", server_keys, server_hooks);
    }
    ~connection_pair()
    {
        client.reset();
        server.reset();
        event_base_free(base);
        ::close(listener);
    }
    connection_pair(const connection_pair &) = delete;
    connection_pair &operator=(const connection_pair &) = delete;

    template <typename Condition>
    void run_until(Condition condition)
    {
        while (!condition())
            event_base_loop(base, EVLOOP_ONCE);
    }

    event_base *base;
    int listener = -1;
    std::unique_ptr<stream_connection> client;
    std::unique_ptr<stream_connection> server;
    std::vector<std::string> received;
    std::string client_closed;
    std::string server_closed;
    bool answers = true;
};

const shared_keys key{"0123456789abcdef", {}};

} // namespace

TEST_CASE("a large message is answered on its own stream")
{
    connection_pair pair(key, key);
    std::vector<std::string> answers;
    const std::string large(1 << 20, 'x');
    for (const auto &it : {std::string("one"), large, std::string("three")})
        pair.client->send(message_kind::statement, it, milliseconds(20000),
                          [&](const auto &outcome) { answers.push_back(outcome.body); });
    pair.run_until([&] { return answers.size() == 3; });
    std::sort(answers.begin(), answers.end(),
              [](const auto &a, const auto &b) { return a.size() < b.size(); });
    CHECK(answers[0] == "answer to one");
    CHECK(answers[2] == "answer to " + large);
}

TEST_CASE("a wrong key is rejected before the first message")
{
    connection_pair pair({"another key of length", {}}, key);
    std::optional<stream_outcome> outcome;
    pair.client->send(message_kind::statement, "x", milliseconds(20000),
                      [&](const auto &it) { outcome = it; });
    pair.run_until([&] { return outcome && !pair.client_closed.empty(); });
    CHECK_FALSE(outcome->answered);
    CHECK_FALSE(outcome->may_have_arrived);
    CHECK(pair.client_closed == "wrong_key");
    CHECK(pair.received.empty());
}

TEST_CASE("a former key is accepted during a key rotation")
{
    connection_pair pair(key, {"a new key of some length", key.key});
    std::optional<stream_outcome> outcome;
    pair.client->send(message_kind::statement, "x", milliseconds(20000),
                      [&](const auto &it) { outcome = it; });
    pair.run_until([&] { return outcome || !pair.client_closed.empty(); });
    // The old process does not have the new key: the handbook requires that both have it first.
    CHECK(pair.client_closed == "wrong_key");
    connection_pair rotating_pair({key.key, "a new key of some length"},
                                  {"a new key of some length", key.key});
    std::optional<stream_outcome> answered;
    rotating_pair.client->send(message_kind::statement, "x", milliseconds(20000),
                               [&](const auto &it) { answered = it; });
    rotating_pair.run_until([&] { return answered.has_value(); });
    CHECK(answered->answered);
}

TEST_CASE("an unanswered message whose connection ends may have arrived")
{
    connection_pair pair(key, key);
    pair.answers = false;
    std::optional<stream_outcome> outcome;
    pair.client->send(message_kind::statement, "x", milliseconds(20000),
                      [&](const auto &it) { outcome = it; });
    pair.run_until([&] { return !pair.received.empty(); });
    pair.server.reset();
    pair.run_until([&] { return outcome.has_value(); });
    CHECK_FALSE(outcome->answered);
    CHECK(outcome->may_have_arrived);
}

TEST_CASE("bytes that are not a message of the expected type are not decoded")
{
    statement_request request;
    request.database = "db";
    request.floor = baobabport::consistency::position{1, 2};
    const auto bytes = encode(request);
    const auto decoded = decode<statement_request>(bytes);
    REQUIRE(decoded);
    CHECK(decoded->floor == request.floor);
    CHECK_FALSE(decode<statement_answer>(bytes));
    for (std::size_t n = 0; n < bytes.size(); ++n)
        CHECK_FALSE(decode<statement_request>(bytes.substr(0, n)));
}

// Guards against a message that the other side refuses, which the sender cannot tell from a failure.
TEST_CASE("a message that is too long is not sent, and the connection stays in use")
{
    connection_pair pair(key, key);
    std::vector<stream_outcome> outcomes;
    const auto send = [&](std::size_t size) {
        pair.client->send(message_kind::statement, std::string(size, 'x'), milliseconds(20000),
                          [&](const auto &it) { outcomes.push_back(it); });
    };
    pair.answers = false;
    send(stream_connection::max_message + 1);
    REQUIRE(outcomes.size() == 1);
    CHECK(outcomes[0].too_long);
    CHECK_FALSE(outcomes[0].answered);
    CHECK_FALSE(outcomes[0].may_have_arrived);
    send(stream_connection::max_message);
    pair.run_until([&] { return !pair.received.empty(); });
    CHECK(pair.received.front().size() == stream_connection::max_message);
}
