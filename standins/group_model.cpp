#include "group_model.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace standin {

using baobabport::home::call_outcome;
using baobabport::inner::transaction_step;
using nlohmann::json;

namespace {

constexpr std::uint64_t first_term = 1U << 16U;

upstream_result refuse(const upstream_call &call, std::string reason)
{
    upstream_result out;
    out.call = call.call;
    out.outcome = call_outcome::refused;
    out.reason = std::move(reason);
    return out;
}

std::string string_argument(const json &arguments, const char *name)
{
    const auto it = arguments.find(name);
    return it != arguments.end() && it->is_string() ? it->get<std::string>() : std::string();
}

json rows_with_prefix(const std::map<std::string, std::string> &rows, const std::string &prefix)
{
    json out = json::array();
    for (auto it = rows.lower_bound(prefix); it != rows.end() && it->first.starts_with(prefix); ++it)
        out.push_back({{"key", it->first}, {"value", it->second}});
    return out;
}

} // namespace

group_model::group_model(std::size_t instances) : instances_(instances)
{
    for (auto &it : instances_) {
        it.disconnected.assign(instances, false);
        it.promised_term = first_term;
    }
    instances_[0].primary = true;
    append(instances_[0], {first_term, {}, {}, {}, {}, {}});
    replicate({});
}

position group_model::last_position(const instance &it)
{
    return it.log.empty() ? position{} : position{it.log.back().term, it.log.size()};
}

instance_status group_model::status(instance_id instance) const
{
    using baobabport::consistency::instance_role;
    const auto &it = instances_[instance];
    return {it.primary ? instance_role::primary : instance_role::replica, it.promised_term,
            last_position(it)};
}

bool group_model::fence(instance_id instance, std::uint64_t term)
{
    auto &it = instances_[instance];
    if (term < it.promised_term)
        return false;
    if (term > it.promised_term)
        it.primary = false;
    it.promised_term = term;
    return true;
}

bool group_model::promote(instance_id instance, std::uint64_t term, time_point now)
{
    auto &it = instances_[instance];
    if (term < it.promised_term)
        return false;
    if (it.primary && it.promised_term == term)
        return true;
    it.promised_term = term;
    it.primary = true;
    append(it, {term, {}, {}, {}, {}, now});
    return true;
}

void group_model::append(instance &it, log_entry entry)
{
    if (!entry.request_id.empty())
        it.request_ids.emplace(entry.request_id, it.log.size());
    if (!entry.key.empty())
        it.rows[entry.key] = entry.value;
    it.log.push_back(std::move(entry));
}

void group_model::truncate(instance &it, std::size_t length)
{
    auto retained = std::move(it.log);
    retained.resize(length);
    it.log.clear();
    it.rows.clear();
    it.request_ids.clear();
    for (auto &entry : retained)
        append(it, std::move(entry));
}

upstream_result group_model::execute(instance_id instance, std::uint64_t session, const upstream_call &call,
                                     time_point now)
{
    auto &it = instances_[instance];
    const bool needs_primary = call.write || call.step != transaction_step::none || call.term != 0;
    if (needs_primary && !it.primary)
        return refuse(call, "not_primary");
    if (needs_primary && call.term != it.promised_term)
        return refuse(call, "wrong_term");
    const auto arguments = json::parse(call.arguments.empty() ? "{}" : call.arguments, nullptr, false);
    if (!arguments.is_object())
        return refuse(call, "bad_arguments");

    upstream_result out;
    out.call = call.call;
    out.outcome = call_outcome::ran;
    out.at = last_position(it);
    switch (call.step) {
    case transaction_step::begin:
        it.open[session] = {};
        return out;
    case transaction_step::rollback:
        it.open.erase(session);
        return out;
    case transaction_step::commit: {
        const auto open = it.open.find(session);
        if (open == it.open.end())
            return refuse(call, "no_transaction");
        const auto changes = std::move(open->second);
        it.open.erase(open);
        return commit(it, changes, call, now);
    }
    case transaction_step::statement:
        if (!it.open.contains(session))
            return refuse(call, "no_transaction");
        break;
    case transaction_step::none:
        // On a connection with an open transaction, a plain statement becomes part of it.
        break;
    }
    const auto key = string_argument(arguments, "key");
    if (call.statement == "insert" || call.statement == "update") {
        if (key.empty())
            return refuse(call, "bad_arguments");
        const change row_change{key, string_argument(arguments, "value")};
        if (const auto open = it.open.find(session); open != it.open.end()) {
            open->second.push_back(row_change);
            return out;
        }
        const bool already_applied = !call.request_id.empty() && it.request_ids.contains(call.request_id);
        if (call.statement == "insert" && it.rows.contains(key) && !already_applied)
            return refuse(call, "duplicate_key");
        return commit(it, {row_change}, call, now);
    }
    if (call.statement == "select") {
        const auto row = it.rows.find(key);
        json rows = json::array();
        if (row != it.rows.end())
            rows.push_back({{"key", key}, {"value", row->second}});
        out.rows = rows.dump();
        return out;
    }
    if (call.statement == "route_sheet") {
        out.rows = rows_with_prefix(it.rows, string_argument(arguments, "prefix")).dump();
        return out;
    }
    if (call.statement == "long_scan") {
        out.rows = json::array({{{"rows", it.rows.size()}}}).dump();
        return out;
    }
    return refuse(call, "unknown_statement");
}

upstream_result group_model::commit(instance &it, const std::vector<change> &changes,
                                    const upstream_call &call, time_point now)
{
    upstream_result out;
    out.call = call.call;
    out.outcome = call_outcome::ran;
    if (!call.request_id.empty()) {
        if (const auto found = it.request_ids.find(call.request_id); found != it.request_ids.end()) {
            const auto &first = it.log[found->second];
            out.rows = first.rows;
            out.at = {first.term, found->second + 1};
            out.repeated = true;
            return out;
        }
    }
    json rows = json::array();
    for (const auto &change : changes)
        rows.push_back({{"key", change.key}, {"value", change.value}});
    out.rows = rows.dump();
    for (const auto &change : changes)
        append(it, {it.promised_term, call.request_id, change.key, change.value, out.rows, now});
    out.at = last_position(it);
    return out;
}

void group_model::end_session(instance_id instance, std::uint64_t session)
{
    instances_[instance].open.erase(session);
}

void group_model::crash(instance_id instance)
{
    auto &it = instances_[instance];
    it.up = false;
    it.primary = false; // it restarts as a replica
    it.open.clear();
}

void group_model::set_disconnected(instance_id a, instance_id b, bool disconnected)
{
    instances_[a].disconnected[b] = disconnected;
    instances_[b].disconnected[a] = disconnected;
}

void group_model::replicate(time_point now)
{
    for (std::size_t from = 0; from < instances_.size(); ++from) {
        for (std::size_t to = 0; to < instances_.size(); ++to) {
            const auto &primary = instances_[from];
            auto &replica = instances_[to];
            if (from == to || !primary.primary || !primary.up || !replica.up || primary.disconnected[to])
                continue;
            if (replica.promised_term <= primary.promised_term)
                follow(replica, primary, now);
        }
    }
}

void group_model::follow(instance &replica, const instance &primary, time_point now)
{
    if (replica.promised_term < primary.promised_term || replica.primary) {
        replica.promised_term = primary.promised_term;
        replica.primary = false;
        replica.open.clear();
    }
    std::size_t common_length = std::min(replica.log.size(), primary.log.size());
    // Logs with the same term at an index are identical up to it, so only the tail is compared.
    while (common_length > 0 && replica.log[common_length - 1].term != primary.log[common_length - 1].term)
        --common_length;
    std::size_t target_length = common_length;
    while (target_length < primary.log.size() && primary.log[target_length].appended_at + replica.lag <= now)
        ++target_length;
    if (replica.log.size() > common_length) {
        if (target_length == common_length)
            return; // the tail is truncated only once the entry that replaces it is due
        truncate(replica, common_length);
    }
    for (std::size_t n = common_length; n < target_length; ++n)
        append(replica, primary.log[n]);
}

} // namespace standin
