#include "workspace_account.h"

#include <algorithm>
#include <utility>

namespace soak {

namespace {

std::string text_of(std::chrono::steady_clock::duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) + " ms";
}

} // namespace

void workspace_account::record_state(std::optional<workspaces> state, time_point accepted_at)
{
    versions_.push_back({std::move(state), accepted_at});
}

void workspace_account::record_sent(const std::string &id, const std::string &key, bool is_public)
{
    sent_[id] = {key, is_public};
}

std::optional<workspace_account::time_point>
workspace_account::held_until(const std::string &key, const std::string *name, time_point now) const
{
    auto until = now;
    for (auto it = versions_.rbegin(); it != versions_.rend(); until = it++->accepted_at) {
        if (!it->state)
            continue;
        for (const auto &[holder, workspace] : *it->state) {
            if (workspace.keys.contains(key) && (!name || *name == holder))
                return until;
        }
    }
    return std::nullopt;
}

std::optional<workspace_account::milliseconds> workspace_account::bound(bool quiet) const
{
    if (quiet)
        return revocation_bound;
    return rules_.strict_revocation ? std::optional(strict_bound) : std::nullopt;
}

std::vector<std::string> workspace_account::check(const standin::ran_statement &ran, time_point now,
                                                  bool quiet)
{
    const bool by_process = ran.caller.starts_with(rules_.process_prefix);
    const auto of = "statement " + ran.id + " ran under the name " + ran.caller + " on " + ran.instance;
    const auto known = sent_.find(ran.id);
    const bool own =
        ran.id == "-" || without_workspaces() || (known != sent_.end() && known->second.is_public);
    if (own)
        return by_process ? std::vector<std::string>{} : std::vector{"not the name of a process: " + of};
    if (known == sent_.end())
        return {}; // `statement_account` reports it
    ++statements_with_key_;
    std::vector<std::string> out;
    const auto until = held_until(known->second.key, &ran.caller, now);
    const auto allowed = bound(quiet);
    if (!until)
        out.push_back("isolation: " + of + ", which never held the key " + known->second.key);
    else if (allowed && now - *until > *allowed)
        out.push_back("revocation: " + of + ' ' + text_of(now - *until) + " after the removal of the key " +
                      known->second.key);
    if (rules_.quotas) {
        if (auto exceeded = check_quota(ran, now); !exceeded.empty())
            out.push_back(std::move(exceeded));
    }
    return out;
}

std::string workspace_account::check_admission(const std::string &key, bool admitted, time_point asked_at,
                                               bool quiet) const
{
    if (without_workspaces())
        return admitted ? "" : "a caller was denied, although no keys are needed";
    const auto until = held_until(key, nullptr, asked_at);
    if (admitted) {
        if (!until)
            return "a key that was in no state is admitted: " + key;
        const auto allowed = bound(quiet);
        return allowed && asked_at - *until > *allowed
                   ? "the key " + key + " is admitted " + text_of(asked_at - *until) + " after its removal"
                   : "";
    }
    return quiet && held_since(key, asked_at - revocation_bound)
               ? "the key " + key + " is denied, although it is in force"
               : "";
}

bool workspace_account::held_since(const std::string &key, time_point since) const
{
    for (auto it = versions_.rbegin(); it != versions_.rend(); ++it) {
        const bool held =
            it->state && std::any_of(it->state->begin(), it->state->end(),
                                     [&](const auto &one) { return one.second.keys.contains(key); });
        if (!held || it->accepted_at < since)
            return held;
    }
    return false; // the first state is younger
}

double workspace_account::limit(const std::string &name, time_point now) const
{
    // A lowered quota binds one window after it has reached all processes.
    const auto since = now - 2 * quota_window - revocation_bound;
    double out = 0;
    for (auto it = versions_.rbegin(); it != versions_.rend(); ++it) {
        if (it->state && it->state->contains(name)) {
            const auto &own = it->state->at(name);
            const auto window_s = std::chrono::duration<double>(quota_window).count();
            out = std::max(out, own.rate_per_s * window_s + own.burst);
        }
        if (it->accepted_at < since)
            break;
    }
    return out * (1 + quota_overage) + quota_slack;
}

std::string workspace_account::check_quota(const standin::ran_statement &ran, time_point now)
{
    // A transaction is one operation.
    if (ran.in_transaction && !transactions_.emplace(ran.instance, ran.connection, ran.transaction).second)
        return "";
    auto &times = operations_[ran.caller];
    times.push_back(now);
    while (times.front() <= now - quota_window)
        times.pop_front();
    const auto allowed = limit(ran.caller, now);
    if (static_cast<double>(times.size()) <= allowed)
        return "";
    const auto count = times.size();
    times.clear(); // each excess is reported once
    return "quota: " + std::to_string(count) + " operations of " + ran.caller + " within " +
           text_of(quota_window) + ", allowed are " + std::to_string(allowed);
}

} // namespace soak
