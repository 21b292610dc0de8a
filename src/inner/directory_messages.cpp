#include "inner/directory_messages.h"

#include "support/cbor.h"

#include <nlohmann/json.hpp>

namespace baobabport::inner {

using nlohmann::json;

namespace {

json to_binary(const std::string &text)
{
    return json::binary(std::vector<std::uint8_t>(text.begin(), text.end()));
}

std::string from_binary(const json &field)
{
    const auto &bytes = field.get_binary();
    return {bytes.begin(), bytes.end()};
}

} // namespace

std::string encode(const directory_request &message)
{
    return support::to_cbor(json::array({static_cast<std::uint8_t>(message.part)}));
}

std::string encode(const directory_answer &message)
{
    json items = json::array();
    for (const auto &[key, value] : message.items)
        items.push_back(json::array({to_binary(key), to_binary(value)}));
    return support::to_cbor(json::array({message.available, items}));
}

std::optional<directory_request> decode_directory_request(std::string_view bytes)
{
    return support::decode_cbor<directory_request>(bytes, [](const json &fields, directory_request &out) {
        out.part = support::enum_of(fields.at(0), directory_part::instances);
    });
}

std::optional<directory_answer> decode_directory_answer(std::string_view bytes)
{
    return support::decode_cbor<directory_answer>(bytes, [](const json &fields, directory_answer &out) {
        out.available = fields.at(0).get<bool>();
        for (const auto &it : fields.at(1))
            out.items.emplace_back(from_binary(it.at(0)), from_binary(it.at(1)));
    });
}

} // namespace baobabport::inner
