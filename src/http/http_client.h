// An HTTP/1.1 client connection on libevent's evhttp, one request at a time.

#pragma once

#include "http/http_types.h"
#include "support/address.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

struct event_base;

namespace baobabport::http {

enum class client_failure : std::uint8_t
{
    none,
    timed_out,
    broken,    ///< refused, reset or closed before the whole answer came
    cancelled, ///< `may_write` said no; nothing was written
};

struct client_answer
{
    client_failure failure = client_failure::none;
    int status = 0;
    std::string body;
    std::string session_token; ///< header `Baobabport-Session`
};

struct client_request
{
    method_kind method = method_kind::get;
    std::string path; ///< with the query
    std::string body;
    std::vector<header_field> headers;
    std::chrono::milliseconds timeout{1000};
    /// Asked when the connection is open, immediately before the request is written.
    std::function<bool()> may_write = nullptr;
};

/**
 * A connection that opens with its first request and stays open between requests.
 *
 * It may be destroyed at any time, also within its own callback; a request in progress then ends without
 * one.
 */
class http_client
{
public:
    using answer_hook = std::function<void(const client_answer &)>;

    http_client(event_base *base, const support::address &to);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /// Sends a request. None may be in progress.
    void send(const client_request &request, answer_hook done);

    /// Makes the end of the connection discard what the other side has not received.
    void discard_on_close();

    /// Called when the other side ends the connection.
    void on_closed(std::function<void()> hook);

    [[nodiscard]] bool busy() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace baobabport::http
