// An HTTP/1.1 client connection on libevent's evhttp, one request at a time.

#pragma once

#include "http/http_types.h"
#include "support/address.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct event_base;

namespace baobabport::http {

enum class client_failure : std::uint8_t
{
    none,
    timed_out,
    broken,    ///< the connection was refused, reset or closed before the answer was complete
    cancelled, ///< `may_write` returned false; nothing was written
};

struct client_answer
{
    client_failure failure = client_failure::none;
    int status = 0;
    std::string body;
    std::string session_token;                  ///< header `Baobabport-Session`
    std::vector<header_field> captured_headers; ///< those named by `client_request::captured_headers`

    /// Returns the value of a captured header, or none if the answer does not have it.
    [[nodiscard]] std::optional<std::string> captured_header(std::string_view name) const;
};

struct client_request
{
    method_kind method = method_kind::get;
    std::string path; ///< including the query
    std::string body;
    std::vector<header_field> headers;
    std::chrono::milliseconds timeout{1000};
    /// Called on the open connection immediately before the request is written; false cancels the request.
    std::function<bool()> may_write = nullptr;
    std::vector<std::string> captured_headers = {}; ///< names of the answer's headers to keep
};

/**
 * A connection that is opened by its first request and stays open between requests.
 *
 * It may be destroyed at any time, also within its own callback. The callback of a request in progress is
 * then not called.
 */
class http_client
{
public:
    using answer_hook = std::function<void(const client_answer &)>;

    http_client(event_base *base, const support::address &to);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /// Sends a request. Must not be called while another request is in progress.
    void send(const client_request &request, answer_hook done);

    /// Makes the connection, when it is closed, discard data that the other side has not received.
    void discard_on_close();

    /// Sets the hook that is called when the other side closes the connection between requests.
    void on_closed(std::function<void()> hook);

    [[nodiscard]] bool busy() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace baobabport::http
