#include "consistency/session_token.h"

#include "support/keys.h"

#include "support/cbor.h"
#include <algorithm>

#include <nlohmann/json.hpp>

namespace baobabport::consistency {

using nlohmann::json;

namespace {

constexpr std::size_t mac_size = 32;

std::optional<session_token> from_cbor(const std::string &payload)
{
    try {
        const auto fields = support::from_cbor(payload);
        session_token out(fields.at("id").get<std::string>());
        for (const auto &it : fields.at("floors")) {
            const auto database = it.at(0).get<std::string>();
            out.raise(database, {it.at(1).get<std::uint64_t>(), it.at(2).get<std::uint64_t>()});
            out.set_in_doubt(database, it.at(3).get<bool>());
        }
        return out;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace

const session_floor *session_token::find(std::string_view database) const
{
    const auto it = std::find_if(floors_.begin(), floors_.end(),
                                 [&](const auto &floor) { return floor.database == database; });
    return it == floors_.end() ? nullptr : &*it;
}

session_floor &session_token::floor_of(std::string_view database)
{
    const auto it = std::find_if(floors_.begin(), floors_.end(),
                                 [&](const auto &floor) { return floor.database == database; });
    if (it != floors_.end())
        return *it;
    return floors_.emplace_back(session_floor{std::string(database), {}, false});
}

void session_token::raise(std::string_view database, position floor)
{
    auto &it = floor_of(database);
    it.floor = std::max(it.floor, floor);
}

void session_token::set_in_doubt(std::string_view database, bool in_doubt)
{
    floor_of(database).in_doubt = in_doubt;
}

token_codec::token_codec(std::string key, std::string former_key)
    : key_(std::move(key)), former_key_(std::move(former_key))
{
}

std::string token_codec::write(const session_token &token) const
{
    json floors = json::array();
    for (const auto &it : token.floors())
        floors.push_back(json::array({it.database, it.floor.term, it.floor.offset, it.in_doubt}));
    const auto bytes = json::to_cbor({{"id", token.id()}, {"floors", floors}});
    std::string payload(bytes.begin(), bytes.end());
    const auto mac = support::hmac_sha256(key_, payload);
    return support::to_base64(mac + payload);
}

std::optional<session_token> token_codec::read(std::string_view text)
{
    if (text.size() > max_text_size) {
        last_reason_ = "token_too_long";
        return std::nullopt;
    }
    const auto bytes = support::from_base64(text);
    if (!bytes || bytes->size() <= mac_size) {
        last_reason_ = "token_malformed";
        return std::nullopt;
    }
    const auto mac = bytes->substr(0, mac_size);
    const auto payload = bytes->substr(mac_size);
    const bool authentic = support::equal_in_constant_time(mac, support::hmac_sha256(key_, payload)) ||
                           (!former_key_.empty() &&
                            support::equal_in_constant_time(mac, support::hmac_sha256(former_key_, payload)));
    if (!authentic) {
        last_reason_ = "token_not_authentic";
        return std::nullopt;
    }
    auto out = from_cbor(payload);
    if (!out)
        last_reason_ = "token_malformed";
    return out;
}

} // namespace baobabport::consistency
