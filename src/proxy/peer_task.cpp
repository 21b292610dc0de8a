#include "proxy/peer_task.h"

#include "routing/home_ranking.h"
#include "support/boot_clock.h"
#include "support/json_log.h"
#include "support/socket_options.h"

#include <algorithm>
#include <event2/util.h>
#include <utility>

namespace baobabport::proxy {

using clock_type = support::boot_clock;
using inner::execute_outcome;
using inner::message_kind;

peer_task::peer_task(event_base *base, peer_identity self, local_executor &executor,
                     std::shared_ptr<client_limits> limits)
    : base_(base), self_(std::move(self)), local_executor_(executor), limits_(std::move(limits)),
      links_(base, self_.vm, {self_.key, {}}, limits_of_links())
{
    listener_.emplace(base, self_.at, [this](int socket) { accept(socket); });
}

void peer_task::stop()
{
    listener_.reset();
}

bool peer_task::make_room()
{
    if (!limits_ || accepted_links_.size() < limits_->connections().peers)
        return true;
    // Another process proves its key at once; the oldest link without a proof is most likely a stranger's.
    const auto stranger = std::find_if(accepted_links_.begin(), accepted_links_.end(), [](const auto &it) {
        return it.second.connection && !it.second.connection->proved();
    });
    record_measure("connections");
    if (stranger == accepted_links_.end())
        return false;
    accepted_links_.erase(stranger);
    return true;
}

inner::link_limits peer_task::limits_of_links()
{
    inner::link_limits out;
    out.account = limits_ ? limits_->account() : nullptr;
    out.record = [this](const char *reason) { record_measure(reason); };
    return out;
}

void peer_task::record_measure(const char *reason)
{
    if (limits_)
        limits_->record(limits::client_class::peers, reason);
}

void peer_task::accept(int socket)
{
    if (!make_room()) {
        evutil_closesocket(socket);
        return;
    }
    const auto owner = ++last_owner_;
    inner::stream_connection::hooks hooks;
    hooks.received = [this, owner](message_kind kind, const std::string &body, auto stream) {
        handle_request(owner, kind, body, stream);
    };
    hooks.closed = [this, owner](const std::string & /*reason*/) {
        local_executor_.end_owner(owner);
        accepted_links_.erase(owner);
    };
    auto connection = inner::stream_connection::accept(base_, socket, self_.vm, {self_.key, {}},
                                                       std::move(hooks), limits_of_links());
    accepted_links_[owner].connection = std::move(connection);
}

void peer_task::handle_request(std::uint64_t owner, message_kind kind, const std::string &body,
                               inner::stream_connection::stream_id stream)
{
    const std::weak_ptr<bool> alive = alive_;
    const auto reply = [this, alive, owner, stream](const std::string &bytes) {
        if (alive.expired())
            return false;
        const auto link = accepted_links_.find(owner);
        return link != accepted_links_.end() && link->second.connection &&
               link->second.connection->reply(stream, bytes);
    };
    if (kind == message_kind::rollback_transaction) {
        if (const auto rollback = inner::decode_rollback_request(body))
            local_executor_.end_transaction(rollback->transaction);
        reply({});
        return;
    }
    if (kind == message_kind::read_directory) {
        const auto wanted = inner::decode_directory_request(body);
        reply(inner::encode(wanted && directory_ ? directory_(wanted->part) : inner::directory_answer{}));
        return;
    }
    if (kind == message_kind::deposit_tokens || kind == message_kind::withdraw_tokens) {
        reply(quotas_ ? quotas_(kind, body) : std::string());
        return;
    }
    auto request = inner::decode_execute_request(body);
    if (kind != message_kind::execute_statement || !request) {
        support::log_warning("peer_message_unreadable", {{"bytes", std::to_string(body.size())}});
        reply(inner::encode(
            inner::execute_answer{execute_outcome::not_run, "unreadable request", false, {}, 0}));
        return;
    }
    local_executor_.execute(owner, std::move(*request),
                            [this, alive, reply](const inner::execute_answer &answer) {
                                // Without the answer, the other process cannot end the transaction.
                                if (!reply(inner::encode(answer)) && !alive.expired())
                                    local_executor_.end_transaction(answer.transaction);
                            });
}

void peer_task::set_members(std::vector<inner::member> members)
{
    members_ = std::move(members);
    rankings_.clear();
    std::erase_if(members_, [this](const auto &it) { return it.vm == self_.vm; });
    members_.push_back({self_.vm, self_.data_centre, self_.at.text()});
    for (const auto &it : members_) {
        if (const auto at = support::parse_address(it.address))
            links_.set_address(it.vm, *at);
    }
}

bool peer_task::excluded(const std::string &vm, time_point now) const
{
    const auto it = health_.find(vm);
    if (it == health_.end())
        return false;
    const auto &health = it->second;
    return now < health.excluded_until ||
           (health.outstanding > 0 && now - health.last_received_at > unresponsive_limit);
}

const std::vector<std::string> &peer_task::ranked_vms(const std::string &instance,
                                                      const std::string &data_centre) const
{
    auto [it, is_new] = rankings_.try_emplace({instance, data_centre});
    if (!is_new)
        return it->second;
    std::vector<routing::candidate> candidates;
    for (const auto &member : members_)
        candidates.push_back({member.vm, member.data_centre});
    const auto order = routing::rank_homes({instance, {data_centre}}, candidates);
    for (std::size_t n = 0; n < std::min(order.size(), max_ranks); ++n)
        it->second.push_back(candidates[order[n]].name);
    return it->second;
}

std::string peer_task::home_of(const std::string &instance, const std::string &data_centre,
                               time_point now) const
{
    for (const auto &vm : ranked_vms(instance, data_centre)) {
        if (vm == self_.vm)
            return {};
        if (!excluded(vm, now))
            return vm;
    }
    return {};
}

void peer_task::execute(const std::string &vm, inner::execute_request request, answer_hook done)
{
    if (vm.empty()) {
        local_executor_.execute(0, std::move(request), std::move(done));
        return;
    }
    auto &health = health_[vm];
    const auto sent_at = clock_type::now();
    if (health.outstanding++ == 0)
        health.last_received_at = sent_at;
    const auto timeout = request.time_left + local_executor::answer_grace_period;
    const std::weak_ptr<bool> alive = alive_;
    links_.send(vm, message_kind::execute_statement, inner::encode(request), timeout,
                [this, alive, vm, sent_at, transaction = request.transaction,
                 done = std::move(done)](const auto &outcome) {
                    if (alive.expired())
                        return;
                    if (outcome.too_long)
                        refuse_too_long(vm, transaction, done);
                    else
                        handle_outcome(vm, sent_at, outcome, done);
                });
}

void peer_task::refuse_too_long(const std::string &vm, std::uint64_t transaction, const answer_hook &done)
{
    --health_[vm].outstanding;
    inner::execute_answer out{execute_outcome::answered, {}, false, {}, transaction};
    out.answer.error = session::failure{session::answer_code::malformed,
                                        "the statement and the session's values are too long"};
    if (transaction != 0)
        out.answer.end.state = session::transaction_state::open;
    done(out);
}

void peer_task::handle_outcome(const std::string &vm, time_point sent_at,
                               const inner::stream_outcome &outcome, const answer_hook &done)
{
    auto &health = health_[vm];
    --health.outstanding;
    const auto answer = outcome.answered ? inner::decode_execute_answer(outcome.body) : std::nullopt;
    const auto now = clock_type::now();
    if (answer) {
        health.last_received_at = now;
        health.next_exclusion = first_exclusion;
        done(*answer);
        return;
    }
    if (now >= health.excluded_until) {
        support::log_event("peer_avoided",
                           {{"vm", vm}, {"for_ms", std::to_string(health.next_exclusion.count())}});
        health.excluded_until = now + health.next_exclusion;
        health.next_exclusion = std::min(health.next_exclusion * 2, longest_exclusion);
    }
    // Nothing was received since the request was sent: the link may be partitioned, and must not deliver the
    // statement once it recovers.
    if (!outcome.answered && health.last_received_at <= sent_at)
        links_.drop(vm);
    const bool lost = outcome.answered || outcome.may_have_arrived;
    done({lost ? execute_outcome::lost : execute_outcome::not_run,
          "the process " + vm + " did not answer",
          false,
          {},
          0});
}

void peer_task::read_directory(const support::address &from, inner::directory_part part, directory_hook done)
{
    // The process may not be a member yet, so its link is named after its address.
    const auto name = "relay " + from.text();
    links_.set_address(name, from);
    links_.send(name, message_kind::read_directory, inner::encode(inner::directory_request{part}),
                directory_timeout, [done = std::move(done)](const auto &outcome) {
                    auto answer =
                        outcome.answered ? inner::decode_directory_answer(outcome.body) : std::nullopt;
                    if (answer && !answer->available)
                        answer.reset();
                    done(answer);
                });
}

std::vector<std::string> peer_task::reachable_ranks(const std::string &name, time_point now) const
{
    std::vector<std::string> out;
    for (const auto &vm : ranked_vms(name, {})) {
        if (vm == self_.vm)
            out.emplace_back();
        else if (!excluded(vm, now))
            out.push_back(vm);
    }
    return out;
}

void peer_task::exchange(const std::string &vm, message_kind kind, std::string body,
                         std::chrono::milliseconds timeout, inner::stream_connection::outcome_hook done)
{
    const std::weak_ptr<bool> alive = alive_;
    links_.send(vm, kind, std::move(body), timeout,
                [this, alive, vm, kind, done = std::move(done)](const auto &outcome) {
                    if (alive.expired())
                        return;
                    auto &health = health_[vm];
                    if (outcome.answered)
                        health.last_received_at = clock_type::now();
                    // A link without statements that does not answer may be partitioned, and must not deliver
                    // the tokens once it recovers. With statements, their time-outs decide.
                    else if (outcome.may_have_arrived && health.outstanding == 0 &&
                             kind == message_kind::deposit_tokens &&
                             clock_type::now() - health.last_received_at > silent_link_limit)
                        links_.drop(vm);
                    done(outcome);
                });
}

void peer_task::end_transaction(const std::string &vm, std::uint64_t transaction)
{
    if (vm.empty()) {
        local_executor_.end_transaction(transaction);
        return;
    }
    constexpr std::chrono::milliseconds timeout{1000};
    links_.send(vm, message_kind::rollback_transaction, inner::encode(inner::rollback_request{transaction}),
                timeout, [](const auto &) {
                    // Without an answer the other side rolls it back when the link closes, or when it has
                    // been idle too long.
                });
}

} // namespace baobabport::proxy
