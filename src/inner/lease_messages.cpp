#include "inner/lease_messages.h"

#include "support/cbor.h"

#include <nlohmann/json.hpp>

namespace baobabport::inner {

using nlohmann::json;

namespace {

constexpr const char *request_kind = "q";
constexpr const char *answer_kind = "a";

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

constexpr std::int64_t never = -1; ///< encoded in place of an age

json encode_contact(const leader_contact &it)
{
    return {it.generation, it.first_answered_ago.count(), it.answered_ago.count(),
            it.agreed_ago ? it.agreed_ago->count() : never};
}

leader_contact decode_contact(const json &fields)
{
    leader_contact out;
    out.generation = fields.at(0).get<std::uint64_t>();
    out.first_answered_ago = std::chrono::milliseconds(fields.at(1).get<std::int64_t>());
    out.answered_ago = std::chrono::milliseconds(fields.at(2).get<std::int64_t>());
    if (const auto agreed = fields.at(3).get<std::int64_t>(); agreed != never)
        out.agreed_ago = std::chrono::milliseconds(agreed);
    return out;
}

json encode_member(const member &it)
{
    return json::array({it.vm, it.data_centre, it.address});
}

member decode_member(const json &fields)
{
    return {fields.at(0).get<std::string>(), fields.at(1).get<std::string>(),
            fields.at(2).get<std::string>()};
}

json encode_members(const std::vector<member> &members)
{
    json out = json::array();
    for (const auto &it : members)
        out.push_back(encode_member(it));
    return out;
}

std::vector<member> decode_members(const json &fields)
{
    std::vector<member> out;
    for (const auto &it : fields)
        out.push_back(decode_member(it));
    return out;
}

json encode_part(const member_changes &part)
{
    json changes = json::array();
    for (const auto &it : part.changes)
        changes.push_back(json::array({it.version, it.present, encode_member(it.process)}));
    return json::array({part.generation, part.base, part.version, part.newest, changes});
}

member_changes decode_part(const json &fields)
{
    member_changes out;
    out.generation = fields.at(0).get<std::uint64_t>();
    out.base = fields.at(1).get<std::uint64_t>();
    out.version = fields.at(2).get<std::uint64_t>();
    out.newest = fields.at(3).get<std::uint64_t>();
    for (const auto &it : fields.at(4))
        out.changes.push_back({it.at(0).get<std::uint64_t>(), decode_member(it.at(2)), it.at(1).get<bool>()});
    return out;
}

/// Fields that only relays and their followers use come last: older builds ignore them.
constexpr std::size_t request_fields_of_older_builds = 9;
constexpr std::size_t answer_fields_of_older_builds = 13;

} // namespace

std::uint64_t timestamp_of(std::chrono::steady_clock::time_point now)
{
    const auto time = std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch());
    return static_cast<std::uint64_t>(time.count());
}

std::optional<std::chrono::steady_clock::time_point> answer_sent_at(const lease_request &request,
                                                                    std::chrono::steady_clock::time_point now)
{
    if (request.leader_timestamp == 0 || request.leader_timestamp > timestamp_of(now))
        return std::nullopt;
    return std::chrono::steady_clock::time_point(std::chrono::milliseconds(request.leader_timestamp));
}

std::string encode(const lease_request &message)
{
    json earlier = json::array();
    for (const auto &it : message.earlier)
        earlier.push_back(encode_contact(it));
    return support::to_cbor({request_kind, message.generation, message.number,
                             message.store_unanswered_for.count(), message.members_known, message.vm,
                             message.data_centre, message.leader_timestamp, earlier, message.accepts_relay,
                             message.list_generation, message.list_version, message.followers_version,
                             message.followers ? encode_members(*message.followers) : json()});
}

std::string encode(const lease_answer &message)
{
    json leases = json::array();
    for (const auto &it : message.leases)
        leases.push_back(encode_lease(it));
    return support::to_cbor(
        {answer_kind, message.generation, message.number, leases, message.members_version,
         encode_members(message.members), message.desired_state_version, message.desired_state_age.count(),
         message.instances_digest, message.instances_age.count(), message.leader_timestamp, message.acting,
         message.store_check_requested, message.relays,
         message.relayed_age ? message.relayed_age->count() : never, encode_member(message.leader),
         encode_part(message.part), message.followers_version});
}

std::optional<lease_request> decode_lease_request(std::string_view bytes)
{
    try {
        const auto fields = support::from_cbor(bytes);
        if (!fields.is_array() || fields.at(0) != request_kind)
            return std::nullopt;
        lease_request out;
        out.generation = fields.at(1).get<std::uint64_t>();
        out.number = fields.at(2).get<std::uint64_t>();
        out.store_unanswered_for = std::chrono::milliseconds(fields.at(3).get<std::int64_t>());
        out.members_known = fields.at(4).get<std::uint64_t>();
        out.vm = fields.at(5).get<std::string>();
        out.data_centre = fields.at(6).get<std::string>();
        out.leader_timestamp = fields.at(7).get<std::uint64_t>();
        for (const auto &it : fields.at(8))
            out.earlier.push_back(decode_contact(it));
        if (fields.size() <= request_fields_of_older_builds)
            return out;
        out.accepts_relay = fields.at(9).get<bool>();
        out.list_generation = fields.at(10).get<std::uint64_t>();
        out.list_version = fields.at(11).get<std::uint64_t>();
        out.followers_version = fields.at(12).get<std::uint64_t>();
        if (!fields.at(13).is_null())
            out.followers = decode_members(fields.at(13));
        return out;
    } catch (const json::exception &) {
        return std::nullopt; // the caller counts unreadable messages
    }
}

std::optional<lease_answer> decode_lease_answer(std::string_view bytes)
{
    try {
        const auto fields = support::from_cbor(bytes);
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
        out.leader_timestamp = fields.at(10).get<std::uint64_t>();
        out.acting = fields.at(11).get<bool>();
        out.store_check_requested = fields.at(12).get<bool>();
        out.members = decode_members(fields.at(5));
        for (const auto &it : fields.at(3))
            out.leases.push_back(decode_lease(it));
        if (fields.size() <= answer_fields_of_older_builds)
            return out;
        out.relays = fields.at(13).get<std::vector<std::string>>();
        if (const auto age = fields.at(14).get<std::int64_t>(); age != never)
            out.relayed_age = std::chrono::milliseconds(age);
        out.leader = decode_member(fields.at(15));
        out.part = decode_part(fields.at(16));
        out.followers_version = fields.at(17).get<std::uint64_t>();
        return out;
    } catch (const json::exception &) {
        return std::nullopt; // the caller counts unreadable messages
    }
}

} // namespace baobabport::inner
