#include "failover/leadership_record.h"

#include <nlohmann/json.hpp>

namespace baobabport::failover {

using nlohmann::json;

std::string encode(const leadership_record &record)
{
    return json{{"generation", record.generation},
                {"released", record.released},
                {"peer_key", record.peer_key},
                {"standing_generation", record.autonomous_generation},
                {"standing_holder", record.autonomous_leader},
                {"ordered_by", record.ordered_by},
                {"fleet_size", record.fleet_size}}
        .dump();
}

std::string encode(const leader_key &key)
{
    return json{{"vm", key.vm}, {"peer", key.peer}, {"data_centre", key.data_centre}}.dump();
}

std::optional<leader_key> decode_leader_key(std::string_view text)
{
    try {
        const auto fields = json::parse(text);
        return leader_key{fields.at("vm").get<std::string>(), fields.at("peer").get<std::string>(),
                          fields.value("data_centre", "")};
    } catch (const json::exception &) {
        return std::nullopt; // the caller logs it
    }
}

std::optional<leadership_record> decode_leadership_record(std::string_view text)
{
    try {
        const auto fields = json::parse(text);
        leadership_record out;
        out.generation = fields.at("generation").get<std::uint64_t>();
        out.released = fields.at("released").get<bool>();
        out.peer_key = fields.at("peer_key").get<std::string>();
        // Records of older versions lack these fields: their leader may be autonomous and may have ordered.
        out.autonomous_generation = fields.value("standing_generation", out.generation);
        out.autonomous_leader = fields.value("standing_holder", "");
        out.ordered_by = fields.value("ordered_by", "unknown");
        out.fleet_size = fields.value("fleet_size", std::uint32_t{0});
        return out;
    } catch (const json::exception &) {
        return std::nullopt; // the caller logs it
    }
}

} // namespace baobabport::failover
