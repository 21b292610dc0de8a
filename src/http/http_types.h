// The parts of an HTTP request and answer that the programs use.

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

/// A request as a server sees it.
struct server_request
{
    method_kind method = method_kind::other;
    std::string path;  ///< without the query
    std::string query; ///< after the question mark
    std::string body;
    std::uint64_t connection = 0; ///< the same for all requests of one connection

    std::string session_token;                  ///< header `Baobabport-Session`
    std::string authorization;                  ///< header `Authorization`
    std::string user_agent;                     ///< header `User-Agent`
    std::vector<header_field> captured_headers; ///< those that the server was told to keep

    /**
     * Returns the query's value of that name, or an empty text.
     */
    [[nodiscard]] std::string query_value(std::string_view name) const;

    /// Returns the value of a kept header, or an empty text.
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
