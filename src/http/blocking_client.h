// Blocking HTTP calls, for command-line tools.

#pragma once

#include "http/http_client.h"

#include <memory>

namespace baobabport::http {

/**
 * Sends one request at a time and waits for its answer.
 */
class blocking_client
{
public:
    blocking_client();
    ~blocking_client();
    blocking_client(const blocking_client &) = delete;
    blocking_client &operator=(const blocking_client &) = delete;

    /// Sends the request on a new connection and returns the answer or the failure.
    client_answer call(const support::address &to, const client_request &request);

    [[nodiscard]] event_base *loop() const { return base_; }

private:
    event_base *base_;
};

} // namespace baobabport::http
