// Tokens preserve floors; forged and truncated tokens and those of another key are refused.

#include "consistency/session_token.h"

#include <catch2/catch.hpp>

using namespace baobabport::consistency;

namespace {

const std::string key = "a key of some length";
const std::string other_key = "another key of length";

session_token make_token()
{
    session_token out("crew-7");
    out.raise("visits", {3, 17});
    out.set_in_doubt("kalib", true);
    return out;
}

} // namespace

TEST_CASE("a token is read as it was written")
{
    token_codec codec(key);
    const auto token = codec.read(codec.write(make_token()));
    REQUIRE(token);
    CHECK(token->id() == "crew-7");
    REQUIRE(token->find("visits"));
    CHECK(token->find("visits")->floor == position{3, 17});
    CHECK(token->find("kalib")->in_doubt);
    CHECK_FALSE(token->find("none"));
}

TEST_CASE("a floor never decreases")
{
    auto token = make_token();
    token.raise("visits", {2, 99});
    CHECK(token.find("visits")->floor == position{3, 17});
}

TEST_CASE("each changed character of a token is detected")
{
    token_codec codec(key);
    const auto text = codec.write(make_token());
    for (std::size_t n = 0; n < text.size(); ++n) {
        auto forged = text;
        forged[n] = forged[n] == 'A' ? 'B' : 'A';
        const auto token = codec.read(forged);
        // The last characters of base64 may contain unused bits; then the token is the same.
        if (token)
            CHECK(codec.write(*token) == text);
    }
    CHECK_FALSE(codec.read(text.substr(0, text.size() / 2)));
    CHECK_FALSE(codec.read(""));
    CHECK_FALSE(codec.read("not base64 at all!"));
    CHECK_FALSE(codec.read(std::string(token_codec::max_text_size + 4, 'A')));
    CHECK(codec.last_reason() == "token_too_long");
}

TEST_CASE("tokens of the former key are accepted while keys change, those of an unknown key are not")
{
    const auto text = token_codec(key).write(make_token());
    CHECK(token_codec(other_key, key).read(text));
    token_codec codec(other_key);
    CHECK_FALSE(codec.read(text));
    CHECK(codec.last_reason() == "token_not_authentic");
}
