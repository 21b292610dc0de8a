#include "proxy/quota_task.h"

#include "support/boot_clock.h"
#include "support/json_log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace baobabport::proxy {

using clock_type = support::boot_clock;
using inner::message_kind;
using nlohmann::json;

quota_task::quota_task(event_base *base, const std::string &vm, link_hooks links)
    : links_(std::move(links)), account_(vm, clock_type::now()),
      withdrawal_timer_(base, [this] { withdraw(std::exchange(queued_, {}), 0); }),
      ticked_at_(clock_type::now())
{
}

void quota_task::take(const std::string &workspace, token_hook done)
{
    const auto *const limit = account_.limit_of(workspace);
    const auto now = clock_type::now();
    if (!limit || account_.take(workspace, now)) {
        done(std::nullopt);
        return;
    }
    if (limit->rate_per_s <= 0) {
        finish(workspace, {std::move(done)}, 0, refusal_of(workspace, quota::token_pool::longest_wait));
        return;
    }
    if (pool_of(workspace, now).empty()) {
        waiting_operations one;
        one[workspace].push_back(std::move(done));
        withdraw(std::move(one), 0);
        return;
    }
    if (queued_.empty())
        withdrawal_timer_.start(std::chrono::milliseconds(0));
    queued_[workspace].push_back(std::move(done));
}

std::vector<std::string> quota_task::reachable(std::size_t group, time_point now) const
{
    auto out = links_.ranks(quota::group_name(group));
    std::erase_if(out, [&](const auto &vm) {
        const auto it = avoided_.find(vm);
        return it != avoided_.end() && now < it->second.until;
    });
    if (out.empty())
        out.emplace_back();
    return out;
}

std::string quota_task::pool_of(const std::string &workspace, time_point now) const
{
    return reachable(quota::group_of(workspace), now).front();
}

void quota_task::avoid(const std::string &vm, time_point now)
{
    auto &it = avoided_[vm];
    if (now < it.until)
        return;
    support::log_event("quota_pool_avoided", {{"vm", vm}, {"for_ms", std::to_string(it.next.count())}});
    it.until = now + it.next;
    it.next = std::min(it.next * 2, longest_avoidance);
    deposit_soon(now);
}

void quota_task::withdraw(waiting_operations &&operations, int attempt)
{
    const auto now = clock_type::now();
    std::map<std::string, std::vector<waiting_group>> by_vm;
    for (auto &[workspace, waiting] : operations) {
        auto open = account_.begin_withdrawal(workspace, waiting.size(), now);
        by_vm[pool_of(workspace, now)].push_back({std::move(open), std::move(waiting)});
    }
    for (auto &[vm, groups] : by_vm) {
        if (!vm.empty()) {
            withdraw_from(vm, std::move(groups), attempt);
            continue;
        }
        inner::token_list given;
        for (const auto &it : groups)
            given.tokens.push_back(account_.withdraw(it.open.wanted, now));
        handle_withdrawal(groups, given);
    }
}

void quota_task::withdraw_from(const std::string &vm, std::vector<waiting_group> groups, int attempt)
{
    inner::token_list wanted;
    for (const auto &it : groups)
        wanted.tokens.push_back(it.open.wanted);
    const std::weak_ptr<bool> alive = alive_;
    links_.send(vm, message_kind::withdraw_tokens, inner::encode(wanted),
                attempt == 0 ? first_timeout : second_timeout,
                [this, alive, vm, attempt, groups = std::move(groups)](const auto &outcome) {
                    if (alive.expired())
                        return;
                    const auto given =
                        outcome.answered ? inner::decode_token_list(outcome.body) : std::nullopt;
                    if (!given)
                        return handle_no_answer(vm, groups, attempt);
                    avoided_.erase(vm);
                    handle_withdrawal(groups, *given);
                });
}

void quota_task::handle_withdrawal(const std::vector<waiting_group> &groups, const inner::token_list &given)
{
    const std::weak_ptr<bool> alive = alive_;
    for (const auto &it : groups) {
        const auto found = std::find_if(given.tokens.begin(), given.tokens.end(), [&it](const auto &amount) {
            return amount.workspace == it.open.wanted.workspace;
        });
        quota::token_amount amount{{}, 0, quota::token_pool::longest_wait};
        if (found != given.tokens.end())
            amount = *found;
        // More than was asked for is no valid answer.
        const auto tokens = std::min(amount.milli_tokens, it.open.wanted.milli_tokens);
        const auto granted = account_.end_withdrawal(it.open, tokens, clock_type::now());
        finish(it.open.wanted.workspace, it.waiting, granted,
               refusal_of(it.open.wanted.workspace, amount.until_more));
        if (alive.expired())
            return;
    }
}

void quota_task::handle_no_answer(const std::string &vm, std::vector<waiting_group> groups, int attempt)
{
    const auto now = clock_type::now();
    avoid(vm, now);
    waiting_operations again;
    const std::weak_ptr<bool> alive = alive_;
    for (auto &it : groups) {
        const auto &workspace = it.open.wanted.workspace;
        const auto granted = account_.end_withdrawal(it.open, 0, now);
        if (attempt == 0) {
            const std::vector<token_hook> ready(it.waiting.begin(),
                                                it.waiting.begin() + static_cast<std::ptrdiff_t>(granted));
            it.waiting.erase(it.waiting.begin(), it.waiting.begin() + static_cast<std::ptrdiff_t>(granted));
            if (!it.waiting.empty())
                again[workspace] = std::move(it.waiting);
            finish(workspace, ready, granted, {});
        } else {
            finish(workspace, it.waiting, granted,
                   "the pool of the workspace's quota does not answer; retry in " +
                       std::to_string(second_timeout.count()) + " ms");
        }
        if (alive.expired())
            return;
    }
    if (!again.empty())
        withdraw(std::move(again), attempt + 1);
}

void quota_task::finish(const std::string &workspace, const std::vector<token_hook> &waiting,
                        std::size_t granted, const std::string &refusal)
{
    const std::weak_ptr<bool> alive = alive_;
    for (std::size_t n = 0; n < waiting.size() && !alive.expired(); ++n) {
        if (n >= granted)
            account_.record_refusal(workspace);
        waiting[n](n < granted ? std::nullopt : std::optional(refusal));
    }
}

std::string quota_task::refusal_of(const std::string &workspace, std::chrono::milliseconds wait) const
{
    if (!account_.divisor())
        return "the number of processes that share the workspace's quota is not known; retry in 200 ms";
    const auto *const limit = account_.limit_of(workspace);
    return quota::refusal_text(limit ? *limit : directory::quota(), wait);
}

void quota_task::tick(time_point now)
{
    if (now - ticked_at_ > longest_pause)
        ignored_until_ = now + std::chrono::milliseconds(30);
    ticked_at_ = now;
    account_.update_fleet(now);
    if (!account_.empty() && now - deposited_at_ >= quota::quota_account::deposit_interval)
        deposit(now);
}

void quota_task::deposit(time_point now)
{
    deposited_at_ = now;
    const auto target = [&](std::size_t group) -> std::optional<std::string> {
        auto vm = reachable(group, now).front();
        return depositing_to_.count(vm) > 0 ? std::nullopt : std::optional(std::move(vm));
    };
    const std::weak_ptr<bool> alive = alive_;
    for (const auto &[vm, message] : account_.collect_deposits(target, now)) {
        depositing_to_.insert(vm);
        links_.send(vm, message_kind::deposit_tokens,
                    inner::encode(inner::deposit_request{account_.vm(), message}), deposit_timeout,
                    [this, alive, vm = vm, message = message](const auto &outcome) {
                        if (!alive.expired())
                            handle_deposit(vm, message, outcome);
                    });
    }
}

void quota_task::handle_deposit(const std::string &vm, const quota::pool_deposit &it,
                                const inner::stream_outcome &outcome)
{
    const auto now = clock_type::now();
    depositing_to_.erase(vm);
    account_.finish_deposit(it);
    const auto full = outcome.answered ? inner::decode_token_list(outcome.body) : std::nullopt;
    if (!full)
        return avoid(vm, now);
    avoided_.erase(vm);
    for (const auto &amount : full->tokens)
        account_.pause_deposits(amount.workspace,
                                std::min(amount.until_more, quota::token_pool::longest_full_time), now);
}

std::string quota_task::answer(message_kind kind, const std::string &body, time_point now)
{
    inner::token_list out;
    if (kind == message_kind::deposit_tokens) {
        const auto request = inner::decode_deposit_request(body);
        const bool old = now < ignored_until_ || now - ticked_at_ > longest_pause;
        if (request && !old)
            out.tokens = account_.accept(request->vm, request->deposit, now);
    } else if (const auto request = inner::decode_token_list(body)) {
        for (const auto &it : request->tokens)
            out.tokens.push_back(account_.withdraw(it, now));
    }
    return inner::encode(out);
}

void quota_task::write_metrics(support::metrics &out, time_point now)
{
    std::set<std::string> written;
    for (const auto &it : account_.summaries(now)) {
        const auto label = support::label("workspace", it.workspace);
        written.insert(label);
        out.set("baobabport_quota_admitted_total", label, static_cast<double>(it.admitted));
        out.set("baobabport_quota_refused_total", label, static_cast<double>(it.refused));
        out.set("baobabport_quota_local_tokens", label, it.local);
        out.set("baobabport_quota_pooled_tokens", label, it.pooled);
    }
    for (const auto &label : labels_) {
        if (written.count(label) > 0)
            continue;
        for (const auto *const name : {"baobabport_quota_admitted_total", "baobabport_quota_refused_total",
                                       "baobabport_quota_local_tokens", "baobabport_quota_pooled_tokens"})
            out.remove(name, label);
    }
    labels_ = std::move(written);
    if (account_.empty())
        return;
    std::size_t held = 0;
    for (std::size_t group = 0; group < quota::group_count; ++group)
        held += reachable(group, now).front().empty() ? 1 : 0;
    out.set("baobabport_quota_pools_held", "", static_cast<double>(held));
}

json quota_task::state(time_point now)
{
    json out = json::array();
    for (const auto &it : account_.summaries(now)) {
        const auto pool = pool_of(it.workspace, now);
        out.push_back({{"workspace", it.workspace},
                       {"rate_per_s", it.limit.rate_per_s},
                       {"burst", it.limit.burst},
                       {"local_tokens", it.local},
                       {"pooled_tokens", it.pooled},
                       {"pool", pool.empty() ? account_.vm() : pool},
                       {"admitted", it.admitted},
                       {"refused", it.refused}});
    }
    return out;
}

} // namespace baobabport::proxy
