// HTTP calls for command-line tools, which wait for each answer.

#pragma once

#include "http/http_client.h"

#include <memory>

namespace baobabport::http {

/**
 * Sends one request at a time and returns its answer.
 */
class blocking_client
{
public:
    blocking_client();
    ~blocking_client();
    blocking_client(const blocking_client &) = delete;
    blocking_client &operator=(const blocking_client &) = delete;

    /// Uses a connection of its own for the call.
    client_answer call(const support::address &to, const client_request &request);

    [[nodiscard]] event_base *loop() const { return base_; }

private:
    event_base *base_;
};

} // namespace baobabport::http
