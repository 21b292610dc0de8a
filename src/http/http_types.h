// The parts of HTTP requests and answers that the programs use.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace baobabport::http {

enum class method_kind : std::uint8_t
{
    get,
    post,
    put,
    remove,
    other
};

struct header_field
{
    std::string name;
    std::string value;
};

/// A request that a server received.
struct server_request
{
    method_kind method = method_kind::other;
    std::string path;  ///< without the query
    std::string query; ///< the part after the question mark
    std::string body;
    std::uint64_t connection = 0; ///< number of the connection on which it arrived

    std::string session_token;                  ///< header `Baobabport-Session`
    std::string authorization;                  ///< header `Authorization`
    std::string user_agent;                     ///< header `User-Agent`
    std::vector<header_field> captured_headers; ///< those named by `http_server::capture_headers`

    /**
     * Returns the value of that query parameter, or an empty string.
     */
    [[nodiscard]] std::string query_value(std::string_view name) const;

    /// Returns the value of a captured header, or an empty string.
    [[nodiscard]] std::string captured_header(std::string_view name) const;
};

struct server_reply
{
    int status = 200;
    std::string body;
    std::vector<header_field> headers;
    std::string content_type = "application/json";
};

inline constexpr const char *session_header = "Baobabport-Session";

} // namespace baobabport::http
