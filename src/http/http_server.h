// An HTTP/1.1 server on libevhtp.

#pragma once

#include "http/http_types.h"
#include "support/address.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

struct event_base;

namespace baobabport::http {

/**
 * Answers one request, at once or later; only the first answer counts.
 *
 * A caller that has gone meanwhile is passed over.
 */
class responder
{
public:
    virtual ~responder() = default;
    virtual void send(const server_reply &reply) = 0;
};

/**
 * Listens on one address and hands each request to a handler.
 */
class http_server
{
public:
    using handler = std::function<void(const server_request &, std::shared_ptr<responder>)>;
    using connection_hook = std::function<void(std::uint64_t)>;

    /**
     * Listens, or throws `std::runtime_error` with the address if it cannot be bound.
     */
    http_server(event_base *base, const support::address &at, std::size_t max_body, handler handle);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// Called when a connection has ended.
    void on_connection_end(connection_hook hook);

    /// Hands these headers of each request to the handler, too.
    void capture_headers(std::vector<std::string> names);

    /// Takes no new connection; those that are open go on.
    void stop_listening();

    /// Ends all connections at once, as a crash would.
    void abort_connections();
    void abort_connection(std::uint64_t number);

    [[nodiscard]] std::size_t open_connections() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace baobabport::http
