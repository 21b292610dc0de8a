// Reads a caller's HTTP request into a typed one, and writes the answer.

#pragma once

#include "http/http_types.h"
#include "inner/messages.h"

#include <optional>
#include <string>

namespace baobabport::entry {

/// Why a caller's request was refused before it went anywhere.
struct refusal
{
    int status = 400;
    std::string reason; ///< machine-readable
    std::string detail; ///< for people
};

/**
 * Reads requests for `/v1/databases/{database}/...`.
 */
class caller_request_reader
{
public:
    /**
     * Returns the request, without session and rank, or none; `last_refusal` says why.
     */
    std::optional<inner::statement_request> read(const http::server_request &request);

    [[nodiscard]] const refusal &last_refusal() const { return last_refusal_; }

private:
    bool read_path(const std::string &path, inner::statement_request &out);
    bool read_body(const std::string &body, inner::statement_request &out);
    bool refuse(int status, std::string reason, std::string detail);

    refusal last_refusal_;
};

/**
 * Returns the HTTP answer for what came of a request.
 */
http::server_reply write_caller_answer(const inner::statement_answer &answer);

/**
 * Returns the HTTP answer for a refused request, with the verdict `not_run`.
 */
http::server_reply write_caller_refusal(const refusal &why);

} // namespace baobabport::entry
