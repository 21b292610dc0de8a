#include "inner/quota_messages.h"

#include "support/cbor.h"

#include <algorithm>

namespace baobabport::inner {

using nlohmann::json;

namespace {

// One flat array of (workspace, milli-tokens, milliseconds), since these messages are sent several times a
// second between any two processes.
constexpr std::size_t fields_per_amount = 3;

json amount_fields(const std::vector<quota::token_amount> &amounts)
{
    json out = json::array();
    for (const auto &it : amounts) {
        out.push_back(it.workspace);
        out.push_back(it.milli_tokens);
        out.push_back(it.until_more.count());
    }
    return out;
}

std::vector<quota::token_amount> read_amounts(const json &fields)
{
    std::vector<quota::token_amount> out;
    for (std::size_t n = 0; n + fields_per_amount <= fields.size(); n += fields_per_amount) {
        // A negative amount would take tokens.
        const auto tokens = std::max<std::int64_t>(0, fields.at(n + 1).get<std::int64_t>());
        out.push_back({fields.at(n).get<std::string>(), tokens,
                       quota::milliseconds(fields.at(n + 2).get<std::int64_t>())});
    }
    return out;
}

} // namespace

std::string encode(const deposit_request &message)
{
    return support::to_cbor(
        json::array({message.vm, message.deposit.endorsed, amount_fields(message.deposit.tokens),
                     amount_fields(message.deposit.released)}));
}

std::string encode(const token_list &message)
{
    return support::to_cbor(amount_fields(message.tokens));
}

std::optional<deposit_request> decode_deposit_request(std::string_view bytes)
{
    return support::decode_cbor<deposit_request>(bytes, [](const json &fields, deposit_request &out) {
        out.vm = fields.at(0).get<std::string>();
        out.deposit.endorsed = fields.at(1).get<std::vector<std::size_t>>();
        out.deposit.tokens = read_amounts(fields.at(2));
        out.deposit.released = read_amounts(fields.at(3));
    });
}

std::optional<token_list> decode_token_list(std::string_view bytes)
{
    return support::decode_cbor<token_list>(bytes, [](const json &fields, token_list &out) {
        if (!fields.is_array())
            throw json::other_error::create(501, "not a list", nullptr); // NOLINT: as any other error
        out.tokens = read_amounts(fields);
    });
}

} // namespace baobabport::inner
