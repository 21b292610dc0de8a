// The operators' HTTP interface of a process: health, state, metrics, and commands that require a key.

#pragma once

#include "http/http_server.h"

#include <functional>
#include <memory>
#include <string>

namespace baobabport::http {

/**
 * Serves `GET /health`, `/state` and `/metrics`, and `POST /drain`, which requires the operators' key.
 */
class operator_server
{
public:
    struct hooks
    {
        std::function<bool()> healthy;
        std::function<std::string()> state;   ///< JSON text
        std::function<std::string()> metrics; ///< Prometheus text format
        std::function<void()> drain;
    };

    operator_server(event_base *base, const support::address &at, std::string key, std::string former_key,
                    hooks operator_hooks);

private:
    void handle(const server_request &request, responder &answer);
    [[nodiscard]] bool has_operator_key(const server_request &request) const;

    std::string key_;
    std::string former_key_;
    hooks hooks_;
    http_server server_;
};

} // namespace baobabport::http
