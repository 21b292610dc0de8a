// Parsing of the JSON records: internal functions throw, and the public ones return the reason.

#include "platform/record_codec.h"

#include "platform/line_codec.h"
#include "workspace/key_index.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <string_view>

namespace baobabport::platform {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

directory::route_kind route_kind_of(const std::string &word)
{
    if (word == "primary")
        return directory::route_kind::primary;
    if (word == "bounded")
        return directory::route_kind::bounded;
    if (word == "read_your_writes")
        return directory::route_kind::read_your_writes;
    throw std::runtime_error("unknown route type " + word);
}

milliseconds milliseconds_of(const json &fields, const char *name)
{
    const auto &value = fields.at(name);
    const auto time = value.is_number() ? value.get<double>() : -1;
    if (!(time >= 0 && time <= static_cast<double>(longest_time.count())))
        throw std::runtime_error(std::string(name) + " is not a time of at most a day");
    return milliseconds(static_cast<std::int64_t>(time));
}

/// Returns an integer from 0 to `limit`; throws for other numbers and types.
std::uint64_t whole_number(const json &fields, const char *name, std::uint64_t limit)
{
    const auto &value = fields.at(name);
    const bool negative = value.is_number_integer() && !value.is_number_unsigned();
    if (!value.is_number_integer() || (negative && value.get<std::int64_t>() < 0) ||
        value.get<std::uint64_t>() > limit)
        throw std::runtime_error(std::string(name) + " is not a whole number up to " + std::to_string(limit));
    return value.get<std::uint64_t>();
}

directory::route read_route(const json &fields)
{
    directory::route out;
    out.name = fields.at("name").get<std::string>();
    out.database = fields.at("database").get<std::string>();
    out.service = fields.at("backend").get<std::string>();
    out.kind = route_kind_of(fields.at("type").get<std::string>());
    out.statement_timeout = milliseconds_of(fields, "timeout_ms");
    out.target_latency = milliseconds_of(fields, "target_latency_ms");
    out.priority = fields.at("priority").get<std::uint32_t>();
    if (fields.contains("max_staleness_ms"))
        out.max_staleness = milliseconds_of(fields, "max_staleness_ms");
    if (fields.contains("public"))
        out.is_public = fields.at("public").get<bool>();
    return out;
}

constexpr std::string_view hash_prefix = "sha256:";
constexpr std::size_t hash_size = 64; // hex digits

bool is_word(std::string_view text)
{
    return !text.empty() && text.size() <= max_word &&
           std::none_of(text.begin(), text.end(), [](unsigned char it) { return it <= ' ' || it == 0x7f; });
}

/// Returns true if a hash stands in place of the key; a key may begin with the same letters.
bool is_hash(const std::string &key)
{
    return key.starts_with(hash_prefix) && key.size() == hash_prefix.size() + hash_size &&
           key.find_first_not_of("0123456789abcdef", hash_prefix.size()) == std::string::npos;
}

std::string hash_of(const std::string &key)
{
    return is_hash(key) ? key.substr(hash_prefix.size()) : workspace::hash_of_key(key);
}

/// Returns the field's list; throws for other types, which iteration would take for an empty or a short list.
const json &list_of(const json &fields, const char *name)
{
    const auto &value = fields.at(name);
    if (!value.is_array())
        throw std::runtime_error(std::string(name) + " is not a list");
    return value;
}

/// Returns a count of operations; throws for negative and infinite ones and for other types.
double operations_of(const json &fields, const char *name)
{
    const auto &value = fields.at(name);
    const auto number = value.is_number() ? value.get<double>() : -1;
    if (!(number >= 0 && number <= max_rate))
        throw std::runtime_error(std::string(name) + " is not a number from 0 to 1000000000");
    return number;
}

directory::workspace read_workspace(const json &fields)
{
    directory::workspace out;
    out.name = fields.at("name").get<std::string>();
    if (!is_word(out.name))
        throw std::runtime_error("a tenant's name is not a single word");
    for (const auto &it : list_of(fields, "api_keys")) {
        const auto key = it.get<std::string>();
        if (!is_word(key))
            throw std::runtime_error("a key of tenant " + out.name + " is not a word of 1 to " +
                                     std::to_string(max_word) + " bytes");
        out.key_hashes.push_back(hash_of(key));
    }
    if (fields.contains("rate_per_s")) {
        auto &limit = out.limit.emplace();
        limit.rate_per_s = operations_of(fields, "rate_per_s");
        limit.burst = fields.contains("burst") ? operations_of(fields, "burst") : limit.rate_per_s;
    }
    return out;
}

std::vector<directory::workspace> read_workspaces(const json &list)
{
    std::vector<directory::workspace> out;
    std::set<std::string> names;
    std::set<std::string> hashes;
    for (const auto &it : list) {
        auto workspace = read_workspace(it);
        if (!names.insert(workspace.name).second)
            throw std::runtime_error("two tenants have the name " + workspace.name);
        for (const auto &hash : workspace.key_hashes) {
            if (!hashes.insert(hash).second)
                throw std::runtime_error("a key of tenant " + workspace.name + " is listed twice");
        }
        out.push_back(std::move(workspace));
    }
    return out;
}

directory::service read_service(const json &fields)
{
    directory::service out;
    out.name = fields.at("name").get<std::string>();
    out.max_connections =
        static_cast<std::uint32_t>(whole_number(fields, "max_connections", max_connections));
    if (fields.contains("sync_replicas"))
        out.sync_replicas = static_cast<std::uint32_t>(whole_number(fields, "sync_replicas", max_slots));
    return out;
}

directory::instance_state instance_state_of(const std::string &word)
{
    if (word == "ready")
        return directory::instance_state::ready;
    if (word == "draining")
        return directory::instance_state::draining;
    throw std::runtime_error("unknown state " + word);
}

consistency::instance_role role_of(const std::string &word)
{
    if (word == "primary")
        return consistency::instance_role::primary;
    if (word == "replica")
        return consistency::instance_role::replica;
    throw std::runtime_error("unknown role " + word);
}

} // namespace

std::optional<directory::desired_state> read_desired_state(const std::string &value, std::string &reason)
{
    try {
        const auto body = json::parse(value);
        directory::desired_state out;
        out.version = body.at("version").get<std::uint64_t>();
        for (const auto &it : body.at("routes"))
            out.routes.push_back(read_route(it));
        for (const auto &it : body.at("backends"))
            out.services.push_back(read_service(it));
        if (body.contains("tenants"))
            out.workspaces = read_workspaces(list_of(body, "tenants"));
        out.transaction_idle = milliseconds_of(body.at("limits"), "tx_idle_ms");
        return out;
    } catch (const json::parse_error &ec) {
        // Its text quotes the value, which holds keys.
        reason = "no JSON, at byte " + std::to_string(ec.byte);
        return std::nullopt;
    } catch (const json::out_of_range &ec) {
        constexpr int number_overflow = 406; // its text quotes the number, which may stand in place of a key
        reason = ec.id == number_overflow ? "a number is too large" : ec.what();
        return std::nullopt;
    } catch (const std::exception &ec) {
        reason = ec.what();
        return std::nullopt;
    }
}

std::string without_keys(const std::string &value)
{
    auto body = json::parse(value);
    if (!body.contains("tenants"))
        return value;
    for (auto &it : body.at("tenants")) {
        for (auto &key : it.at("api_keys"))
            key = std::string(hash_prefix) + hash_of(key.get<std::string>());
    }
    return body.dump();
}

std::optional<directory::instance_record> read_instance_record(const std::string &key,
                                                               const std::string &value, std::string &reason)
{
    try {
        const auto body = json::parse(value);
        directory::instance_record out;
        out.id = key.substr(std::string_view(instances_prefix).size());
        out.service = body.at("backend").get<std::string>();
        out.data_centre = body.at("zone").get<std::string>();
        const auto at = support::parse_address(body.at("address").get<std::string>());
        if (!at)
            throw std::runtime_error("address is not IP:PORT");
        out.at = *at;
        out.state = instance_state_of(body.at("state").get<std::string>());
        out.role = role_of(body.at("db_role").get<std::string>());
        out.slots = static_cast<std::uint32_t>(whole_number(body, "slots", max_slots));
        if (out.slots == 0)
            throw std::runtime_error("slots is 0");
        out.warm_up = milliseconds_of(body, "cold_remaining_ms");
        // `born` is the start time of the instance's process, not of its machine.
        if (body.contains("born"))
            out.started_at =
                milliseconds(whole_number(body, "born", std::numeric_limits<std::int64_t>::max()));
        // Not used, but every instance writes them: without them, the entry is of another writer.
        (void)body.at("version").get_ref<const std::string &>();
        (void)whole_number(body, "sequence", std::numeric_limits<std::uint64_t>::max());
        if (out.id.empty() || out.service.empty())
            throw std::runtime_error("id or service is empty");
        if (!fits_in_line(out.id))
            throw std::runtime_error("id contains a line ending");
        return out;
    } catch (const std::exception &ec) {
        reason = ec.what();
        return std::nullopt;
    }
}

} // namespace baobabport::platform
