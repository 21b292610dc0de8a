// The end of a server while its connections still hold requests.

#include "http/http_server.h"

#include "support/free_address.h"
#include "support/socket_options.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <event2/event.h>
#include <memory>
#include <sys/socket.h>
#include <unistd.h>

using namespace baobabport;

// Guards against a request that arrives at a destroyed server: the handler's owner was used after its end.
TEST_CASE("a request that is received but not read when the server ends does not reach its handler")
{
    const std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(), event_base_free);
    const auto at = testing::free_address();
    constexpr std::size_t max_body = 1024;
    int handled = 0;
    auto server = std::make_unique<http::http_server>(base.get(), at, max_body,
                                                      [&handled](const auto &, const auto &answer) {
                                                          ++handled;
                                                          answer->send({200, "{}", {}});
                                                      });
    const int client = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto to = support::to_sockaddr(at);
    REQUIRE(::connect(client, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) == 0);
    const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    REQUIRE(::send(client, request.data(), request.size(), 0) == static_cast<ssize_t>(request.size()));
    while (server->open_connections() == 0)
        event_base_loop(base.get(), EVLOOP_ONCE); // accepts; the request is read in a later turn
    CHECK(handled == 0);
    server.reset();
    constexpr int turns = 10;
    for (int n = 0; n < turns; ++n)
        event_base_loop(base.get(), EVLOOP_NONBLOCK);
    CHECK(handled == 0);
    ::close(client);
}
