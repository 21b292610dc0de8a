// The workspaces of a desired state: what is accepted, what is refused, and that no key is passed on.

#include "platform/record_codec.h"
#include "workspace/key_index.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace baobabport;
using nlohmann::json;

namespace {

const std::string secret = "K3y-5ecret";

/// Returns a state with these tenants, or with another value in their place.
json state_of(const json &tenants)
{
    return {{"version", 7},
            {"routes", json::array()},
            {"backends", json::array()},
            {"limits", {{"tx_idle_ms", 3000}}},
            {"tenants", tenants}};
}

json state_with(std::vector<json> tenants)
{
    return state_of(json(std::move(tenants)));
}

json tenant(const std::string &name, std::vector<json> keys)
{
    return {{"name", name}, {"api_keys", json(std::move(keys))}};
}

/// Returns the reason of the refusal, or an empty text.
std::string refusal(const std::string &text)
{
    std::string reason;
    std::optional<directory::desired_state> state;
    REQUIRE_NOTHROW(state = platform::read_desired_state(text, reason));
    CHECK(state.has_value() == reason.empty());
    CHECK(reason.find(secret) == std::string::npos);
    if (state)
        CHECK_NOTHROW(platform::without_keys(text));
    return reason;
}

std::string refusal(const json &body)
{
    return refusal(body.dump());
}

std::vector<directory::workspace> workspaces_of(const std::string &text)
{
    std::string reason;
    const auto state = platform::read_desired_state(text, reason);
    INFO(reason);
    REQUIRE(state);
    REQUIRE(state->workspaces);
    return *state->workspaces;
}

std::optional<directory::quota> quota_of(const json &rate, const json &burst)
{
    auto body = state_with({tenant("one", {secret})});
    if (!rate.is_null())
        body["tenants"][0]["rate_per_s"] = rate;
    if (!burst.is_null())
        body["tenants"][0]["burst"] = burst;
    return workspaces_of(body.dump()).front().limit;
}

} // namespace

// Guards against locking out the callers of a deployment that has no workspaces.
TEST_CASE("a state without tenants needs no keys, and one with an empty list knows none")
{
    auto body = state_with({});
    CHECK(workspaces_of(body.dump()).empty());
    body.erase("tenants");
    std::string reason;
    const auto state = platform::read_desired_state(body.dump(), reason);
    REQUIRE(state);
    CHECK_FALSE(state->workspaces);
    CHECK(platform::without_keys(body.dump()) == body.dump());
}

// Guards against values of another type that iteration takes for a list: `null` denied every caller, and a
// text counted as a key.
TEST_CASE("tenants and keys that are no lists are refused")
{
    const std::vector<json> odd{nullptr, secret, 3, true, json{{"one", "k"}}};
    for (const auto &it : odd) {
        INFO(it);
        CHECK_FALSE(refusal(state_of(it)).empty());
        CHECK_FALSE(refusal(state_with({it})).empty());
        auto body = state_with({tenant("one", {})});
        body["tenants"][0]["api_keys"] = it;
        CHECK_FALSE(refusal(body).empty());
        if (!it.is_string())
            CHECK_FALSE(refusal(state_with({tenant("one", {secret, it})})).empty());
    }
    for (const auto *const field : {"name", "api_keys"}) {
        auto body = state_with({tenant("one", {secret})});
        body["tenants"][0].erase(field);
        CHECK_FALSE(refusal(body).empty());
    }
}

// Guards against keys and names that no caller can present, or that would change a line to an instance.
TEST_CASE("names and keys must be words, and a refusal does not quote them")
{
    const std::string longest(platform::max_word, 'k');
    for (const auto &word : {std::string("k"), longest, std::string("\xc3\xa9")}) {
        CHECK(refusal(state_with({tenant("one", {word})})).empty());
        CHECK(refusal(state_with({tenant(word, {secret})})).empty());
    }
    for (const auto &word :
         {std::string(), secret + " K3y", ' ' + secret, secret + '\r', secret + "\nQUERY 1 READ x",
          secret + '\t', secret + '\0', secret + '\x7f', longest + 'k', std::string(1000000, 'k') + secret}) {
        INFO(word.substr(0, 40));
        CHECK_FALSE(refusal(state_with({tenant("one", {word})})).empty());
    }
    for (const auto &name : {"", "a b", "a\r", "a\nQUERY 1 READ x", "a\t"})
        CHECK_FALSE(refusal(state_with({tenant(name, {secret})})).empty());
}

// Guards against a key that identifies either of two workspaces, by the order in which they are listed.
TEST_CASE("a key or a name that is listed twice is refused")
{
    CHECK(refusal(state_with({tenant("one", {secret}), tenant("two", {"other"})})).empty());
    CHECK_FALSE(refusal(state_with({tenant("one", {secret}), tenant("two", {secret})})).empty());
    CHECK_FALSE(refusal(state_with({tenant("one", {secret, "other", secret})})).empty());
    CHECK_FALSE(refusal(state_with({tenant("one", {secret}), tenant("one", {"other"})})).empty());
    const auto hashed = "sha256:" + workspace::hash_of_key(secret);
    CHECK_FALSE(refusal(state_with({tenant("one", {secret}), tenant("two", {hashed})})).empty());
}

// Guards against quotas that wrap, are not finite, or mean something else than what was written.
TEST_CASE("a quota is a rate with an optional burst, in the accepted range")
{
    CHECK_FALSE(quota_of(nullptr, nullptr));
    CHECK_FALSE(quota_of(nullptr, 5));
    CHECK(quota_of(10, 5) == directory::quota{10, 5});
    CHECK(quota_of(2.5, nullptr) == directory::quota{2.5, 2.5});
    CHECK(quota_of(0, 0) == directory::quota{0, 0});
    CHECK(quota_of(0, 5) == directory::quota{0, 5});
    CHECK(quota_of(1'000'000'000, nullptr));
    for (const auto *const field : {"rate_per_s", "burst"}) {
        for (const auto *const value : {"-1", "-0.5", "1000000001", "18446744073709551616", "1e300", "1e400",
                                        "-1e400", "\"10\"", "null", "true", "[]", "{}"}) {
            auto text = state_with({tenant("one", {secret})}).dump();
            const std::string before = R"("name":"one")";
            const auto at = text.find(before);
            REQUIRE(at != std::string::npos);
            const std::string rate = std::string(field) == "burst" ? R"(,"rate_per_s":1)" : "";
            text.insert(at + before.size(), rate + ",\"" + field + "\":" + value);
            INFO(field << ' ' << value);
            CHECK_FALSE(refusal(text).empty());
        }
    }
}

// Guards against keys in the log: the parser's own messages quote the text around an error.
TEST_CASE("the reason of a refusal contains no key, wherever the text breaks")
{
    const auto whole = state_with({tenant("one", {secret}), tenant("two", {"other-" + secret})}).dump();
    REQUIRE(refusal(whole).empty());
    for (std::size_t n = 0; n < whole.size(); ++n) {
        REQUIRE_FALSE(refusal(whole.substr(0, n)).empty());
        auto broken = whole;
        broken[n] = '\x01';
        refusal(broken); // its checks are the test
    }
    const std::string number = "98765e4321";
    std::string reason;
    auto text = whole;
    text.replace(text.find('"' + secret + '"'), secret.size() + 2, number);
    CHECK_FALSE(platform::read_desired_state(text, reason));
    CHECK(reason.find(number) == std::string::npos);
}

// Guards against keys in messages to other processes, and against hashes that differ there.
TEST_CASE("a state without keys has the same workspaces, and passing it on again changes nothing")
{
    auto body = state_with({tenant("one", {secret, "k2"}), tenant("two", {})});
    body["tenants"][0]["rate_per_s"] = 12.5;
    body["tenants"][0]["priority"] = 1;
    const auto passed_on = platform::without_keys(body.dump());
    CHECK(passed_on.find(secret) == std::string::npos);
    CHECK(passed_on.find("k2\"") == std::string::npos);
    CHECK(workspaces_of(passed_on) == workspaces_of(body.dump()));
    CHECK(workspaces_of(passed_on).front().key_hashes.front() == workspace::hash_of_key(secret));
    CHECK(platform::without_keys(passed_on) == passed_on);
}

// Guards against a key that is taken for a hash, so that nobody can present it.
TEST_CASE("only the prefix with a whole hash stands in place of a key")
{
    const auto hash = workspace::hash_of_key(secret);
    for (const auto &key : {std::string("sha256:"), "sha256:" + hash.substr(1), "sha256:" + hash + '0',
                            "sha256:G" + hash.substr(1), "SHA256:" + hash}) {
        const auto text = state_with({tenant("one", {key})}).dump();
        CHECK(workspaces_of(text).front().key_hashes.front() == workspace::hash_of_key(key));
        CHECK(workspaces_of(platform::without_keys(text)) == workspaces_of(text));
    }
}
