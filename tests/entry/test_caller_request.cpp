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
