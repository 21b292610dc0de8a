#include "inner/lease_messages.h"

#include <nlohmann/json.hpp>

namespace baobabport::inner {

using nlohmann::json;

namespace {

constexpr const char *request_kind = "q";
constexpr const char *answer_kind = "a";

std::string to_bytes(const json &message)
{
    std::string out;
    json::to_cbor(message, out);
    return out;
}

json from_bytes(std::string_view bytes)
{
    return json::from_cbor(bytes.begin(), bytes.end(), true, false);
}

json encode_lease(const primary_lease &it)
{
    return {it.service, it.primary, it.term, it.log.term, it.log.offset, it.log_age.count(), it.granted};
}

primary_lease decode_lease(const json &fields)
{
    primary_lease out;
    out.service = fields.at(0).get<std::string>();
    out.primary = fields.at(1).get<std::string>();
    out.term = fields.at(2).get<std::uint64_t>();
    out.log.term = fields.at(3).get<std::uint64_t>();
    out.log.offset = fields.at(4).get<std::uint64_t>();
    out.log_age = std::chrono::milliseconds(fields.at(5).get<std::int64_t>());
    out.granted = fields.at(6).get<bool>();
    return out;
}

} // namespace

std::string encode(const lease_request &message)
{
    return to_bytes({request_kind, message.generation, message.number, message.store_silent_for.count(),
                     message.members_known, message.vm, message.data_centre});
}

std::string encode(const lease_answer &message)
{
    json leases = json::array();
    for (const auto &it : message.leases)
        leases.push_back(encode_lease(it));
    json members = json::array();
    for (const auto &it : message.members)
        members.push_back(json::array({it.vm, it.data_centre, it.address}));
    return to_bytes({answer_kind, message.generation, message.number, leases, message.members_version,
                     members, message.desired_state_version, message.desired_state_age.count(),
                     message.instances_digest, message.instances_age.count()});
}

std::optional<lease_request> decode_lease_request(std::string_view bytes)
{
    try {
        const auto fields = from_bytes(bytes);
        if (!fields.is_array() || fields.at(0) != request_kind)
            return std::nullopt;
        return lease_request{fields.at(1).get<std::uint64_t>(),
                             fields.at(2).get<std::uint64_t>(),
                             std::chrono::milliseconds(fields.at(3).get<std::int64_t>()),
                             fields.at(4).get<std::uint64_t>(),
                             fields.at(5).get<std::string>(),
                             fields.at(6).get<std::string>()};
    } catch (const json::exception &) {
        return std::nullopt; // the caller counts what it cannot read
    }
}

std::optional<lease_answer> decode_lease_answer(std::string_view bytes)
{
    try {
        const auto fields = from_bytes(bytes);
        if (!fields.is_array() || fields.at(0) != answer_kind)
            return std::nullopt;
        lease_answer out;
        out.generation = fields.at(1).get<std::uint64_t>();
        out.number = fields.at(2).get<std::uint64_t>();
        out.members_version = fields.at(4).get<std::uint64_t>();
        out.desired_state_version = fields.at(6).get<std::uint64_t>();
        out.desired_state_age = std::chrono::milliseconds(fields.at(7).get<std::int64_t>());
        out.instances_digest = fields.at(8).get<std::uint64_t>();
        out.instances_age = std::chrono::milliseconds(fields.at(9).get<std::int64_t>());
        for (const auto &it : fields.at(5))
            out.members.push_back(
                {it.at(0).get<std::string>(), it.at(1).get<std::string>(), it.at(2).get<std::string>()});
        for (const auto &it : fields.at(3))
            out.leases.push_back(decode_lease(it));
        return out;
    } catch (const json::exception &) {
        return std::nullopt; // the caller counts what it cannot read
    }
}

} // namespace baobabport::inner
