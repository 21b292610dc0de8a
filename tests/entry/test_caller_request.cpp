// Tests what a caller's request becomes, and what the answer's body holds.

#include "entry/caller_request.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <set>

using namespace baobabport;

namespace {

http::server_request request_with(const std::string &body)
{
    http::server_request out;
    out.method = http::method_kind::post;
    out.path = "/v1/databases/db/statements";
    out.body = body;
    return out;
}

http::server_request request_with_levels(std::size_t levels)
{
    const auto inner_levels = levels - 1; // the arguments are an object themselves
    return request_with(R"({"class":"a","statement":"b","arguments":{"x":)" + std::string(inner_levels, '[') +
                        std::string(inner_levels, ']') + "}}");
}

std::string request_id_of(const std::string &caller, const std::string &id)
{
    nlohmann::json body{{"class", "a"}, {"statement", "b"}, {"request_id", id}};
    if (!caller.empty())
        body["caller"] = caller;
    entry::caller_request_reader reader;
    const auto out = reader.read(request_with(body.dump()));
    REQUIRE(out);
    return out->request_id;
}

} // namespace

// Guards against a caller that got the answer to another caller's write, and whose own write never ran.
TEST_CASE("requests of different callers have different ids whatever their names and ids hold")
{
    const std::set<std::string> ids{
        request_id_of("a", "b/c"),   request_id_of("a/b", "c"),   request_id_of("", "a/b/c"),
        request_id_of("a%2Fb", "c"), request_id_of("", "/a/b/c"), request_id_of("a%b", "c"),
        request_id_of("a%25b", "c"), request_id_of("/a", "b/c"),  request_id_of("", "a%2Fb/c")};
    CHECK(ids.size() == 9);
}

TEST_CASE("a request id keeps its text where neither it nor the caller's name holds a separator")
{
    CHECK(request_id_of("", "r-1") == "r-1");
    CHECK(request_id_of("office", "r-1") == "office/r-1");
    CHECK(request_id_of("office", "r/1") == "office/r/1");
}

// Guards against an entry that a single request with deeply nested arguments ended.
TEST_CASE("arguments that are nested too deeply are refused")
{
    constexpr std::size_t max_levels = 100;
    constexpr std::size_t levels_of_longest_body = 120000;
    entry::caller_request_reader reader;
    CHECK(reader.read(request_with_levels(max_levels)));
    for (const auto levels : {max_levels + 1, levels_of_longest_body}) {
        CHECK_FALSE(reader.read(request_with_levels(levels)));
        CHECK(reader.last_refusal().status == 400);
        CHECK(reader.last_refusal().reason == "bad_field");
    }
}
