// An HTTP/1.1 server on libevhtp.

#pragma once

#include "http/http_types.h"
#include "limits/memory_account.h"
#include "support/address.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

struct event_base;

namespace baobabport::http {

/**
 * Answers one request, at once or later. Only the first answer is sent.
 *
 * An answer to a request whose connection has closed meanwhile is discarded.
 */
class responder
{
public:
    virtual ~responder() = default;
    virtual void send(const server_reply &reply) = 0;
};

/// Bounds of a server against its clients. By default there are none but that of a request's body.
struct server_limits
{
    std::size_t max_connections = 0; ///< 0: no bound; further ones replace the oldest
    std::size_t max_request = 0;     ///< bytes of head and body together; 0: no bound
    std::size_t max_output = 0; ///< bytes of unsent answers above which the connection is closed; 0: no bound
    std::chrono::seconds timeout{0};                 ///< without a byte sent or received; 0: none
    std::shared_ptr<limits::memory_account> account; ///< null: nothing is charged
    std::function<void(const char *reason)> record = [](auto) {}; ///< called for each measure
};

/**
 * Listens on one address and passes each request to a handler.
 */
class http_server
{
public:
    using handler = std::function<void(const server_request &, std::shared_ptr<responder>)>;
    using connection_hook = std::function<void(std::uint64_t)>;

    /**
     * Listens on the address. Throws `std::runtime_error`, naming the address, if it cannot be bound.
     * `max_body` is in bytes.
     */
    http_server(event_base *base, const support::address &at, std::size_t max_body, handler handle,
                server_limits limits = {});
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// Sets the hook that is called with a connection's number when the connection has closed.
    void on_connection_end(connection_hook hook);

    /// Passes these headers of each request to the handler as `captured_headers`.
    void capture_headers(std::vector<std::string> names);

    /// Accepts no new connections. Open connections are still served.
    void stop_listening();

    /// Shuts down all connections at once, as if the process had crashed.
    void abort_connections();
    void abort_connection(std::uint64_t number);

    [[nodiscard]] std::size_t open_connections() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace baobabport::http
