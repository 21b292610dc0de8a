// Parses callers' HTTP requests and writes the answers to them.

#pragma once

#include "http/http_types.h"
#include "inner/messages.h"

#include <optional>
#include <string>

namespace baobabport::entry {

/// Why a caller's request was refused before it was forwarded.
struct refusal
{
    int status = 400;
    std::string reason; ///< machine-readable
    std::string detail; ///< human-readable
};

/**
 * Parses requests for `/v1/databases/{database}/...`.
 */
class caller_request_reader
{
public:
    /**
     * Returns the request, with neither session nor rank set. None if it is refused: see `last_refusal`.
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
 * Returns the HTTP answer for the outcome of a request.
 */
http::server_reply write_caller_answer(const inner::statement_answer &answer);

/**
 * Returns the HTTP answer for a refused request, with the verdict `not_run`.
 */
http::server_reply write_caller_refusal(const refusal &why);

} // namespace baobabport::entry
