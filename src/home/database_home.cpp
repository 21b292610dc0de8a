// Admission, expiry and answers of requests.

#include "home/database_home.h"

#include <algorithm>
#include <utility>

namespace baobabport::home {

using consistency::verdict;
using document::access_kind;
using inner::statement_answer;
using inner::statement_request;
using inner::transaction_step;

namespace {

/// How often stored answers and shared results are expired.
constexpr std::chrono::seconds expiry_interval{1};
constexpr std::chrono::milliseconds min_retry_after{50};

/// A longer interval between ticks means that the process was suspended.
constexpr std::chrono::milliseconds max_tick_interval{150};

/// Requests that waited in the sockets during a suspension are read within this time after it.
constexpr std::chrono::milliseconds pause_grace_period{50};

std::uint32_t effective_connection_limit(const home_settings &settings,
                                         const document::service_document &document)
{
    if (settings.policy == policy_kind::plain)
        return std::max<std::uint32_t>(1, settings.connection_limit / settings.plain_share_divisor);
    const auto half = std::max<std::uint32_t>(1, settings.connection_limit / 2);
    return document.limits.connections == 0 ? half : std::min(half, document.limits.connections);
}

std::uint32_t effective_slots(const home_settings &settings, const document::service_document &document)
{
    // The plain baseline limits connections, not slots: the instance queues the excess.
    return settings.policy == policy_kind::plain ? effective_connection_limit(settings, document)
                                                 : settings.slots;
}

bool is_single_write(const statement_request &request, const document::class_policy &policy)
{
    return request.step == transaction_step::none && policy.access == access_kind::write;
}

/// Returns true if the request's effect is stored under its request id, so that a repeat is detected.
bool is_identified(const statement_request &request, const document::class_policy &policy)
{
    if (request.request_id.empty())
        return false;
    return is_single_write(request, policy) || request.step == transaction_step::commit;
}

std::string sharing_key_of(const statement_request &request)
{
    return request.class_name + '\n' + request.statement + '\n' + request.arguments;
}

} // namespace

database_home::database_home(home_settings settings, home_hooks hooks,
                             std::shared_ptr<const document::service_document> document, time_point now)
    : settings_(std::move(settings)), hooks_(std::move(hooks)), document_(std::move(document)),
      monitor_(settings_.database, settings_.instances.size(), settings_.vm_number, settings_.seed),
      pool_(settings_.instances.size(), effective_slots(settings_, *document_),
            effective_connection_limit(settings_, *document_)),
      last_tick_(now)
{
    if (settings_.policy == policy_kind::plain)
        queue_.order = admission::request_queue::order_kind::arrival;
}

void database_home::set_document(std::shared_ptr<const document::service_document> document)
{
    document_ = std::move(document);
    pool_.set_limit(effective_connection_limit(settings_, *document_));
}

void database_home::set_defects(const home_defects &home, const failover::failover_defects &failover)
{
    defects_ = home;
    monitor_.controller().defects = failover;
}

void database_home::submit(request_key key, const statement_request &request, time_point now)
{
    last_request_ = now;
    record_pause(now);
    request_state state;
    state.request = request;
    state.arrived = now;
    const auto *policy = document_->find(request.class_name);
    if (policy)
        state.policy = *policy;
    const auto time_left = request.time_left.count() > 0 || !policy ? request.time_left : policy->deadline;
    // A request that waited while this process was suspended has less time left than it states.
    const auto waited = now < pause_applies_until_ ? pause_ : std::chrono::milliseconds(0);
    state.deadline = now + time_left - waited;
    auto &stored = requests_.emplace(key, std::move(state)).first->second;
    deadlines_.insert({stored.deadline, key});
    if (!policy) {
        finish_as(key, verdict::not_run, "unknown_class", now);
        return;
    }
    admit(key, stored, now);
    dispatch(now);
}

void database_home::record_pause(time_point now)
{
    if (now - last_tick_ > max_tick_interval) {
        pause_ = std::chrono::ceil<std::chrono::milliseconds>(now - last_tick_);
        pause_applies_until_ = now + pause_grace_period;
    }
    last_tick_ = now;
}

void database_home::admit(request_key key, request_state &state, time_point now)
{
    // A repeated request gets the first answer even if a new request would be refused.
    if (is_identified(state.request, state.policy) && join_first_request(key, state, now))
        return;
    if (const auto reason = refusal(state, now); !reason.empty()) {
        finish_as(key, verdict::not_run, reason, now);
        return;
    }
    if (state.request.step == transaction_step::statement || state.request.step == transaction_step::commit ||
        state.request.step == transaction_step::rollback) {
        if (!transactions_.find(state.request.transaction, state.request.caller)) {
            // An earlier commit of this transaction may have run, here or at another home.
            const bool may_have_run = state.request.step == transaction_step::commit;
            finish_as(key, may_have_run ? verdict::unknown : verdict::not_run, "transaction_unknown", now);
            return;
        }
        enqueue(key, state, now, true);
        return;
    }
    if (state.policy.access == access_kind::read && state.request.step == transaction_step::none) {
        set_freshness(state, now);
        if (join_shared_read(key, state, now))
            return;
    }
    enqueue(key, state, now, false);
}

std::string database_home::refusal(const request_state &state, time_point now) const
{
    const bool continues_transaction =
        state.request.step != transaction_step::none && state.request.step != transaction_step::begin;
    if (state.deadline <= now)
        return "deadline_passed";
    if (continues_transaction)
        return {};
    if (draining_)
        return "draining";
    if (is_shed(state.request.class_name))
        return "shed_by_operator";
    const bool needs_primary = state.policy.access == access_kind::write;
    if (needs_primary && monitor_.controller().partitioned(now))
        return "primary_unreachable_here";
    const bool waits_for_replicas = is_single_write(state.request, state.policy) &&
                                    state.policy.durability == document::durability_kind::majority;
    if (waits_for_replicas && settings_.policy == policy_kind::session &&
        now + replication_lag(now) > state.deadline)
        return "replicas_lag";
    return {};
}

bool database_home::is_shed(const std::string &class_name) const
{
    const auto *policy = document_->find(class_name);
    if (policy && policy->shed)
        return true;
    return std::find(shed_.begin(), shed_.end(), class_name) != shed_.end();
}

std::chrono::milliseconds database_home::replication_lag(time_point now) const
{
    const auto &view = monitor_.view();
    const auto primary = view.primary();
    if (!primary || view.size() < 2 || !monitor_.is_current(document_->failover, now))
        return std::chrono::milliseconds(0);
    std::vector<std::chrono::milliseconds> lags;
    for (instance_id it = 0; it < view.size(); ++it) {
        if (it == *primary)
            continue;
        const auto answered_at = monitor_.last_answer_at(it);
        if (!monitor_.healthy(it) && answered_at)
            lags.push_back(std::chrono::floor<std::chrono::milliseconds>(now - *answered_at));
        else
            lags.push_back(view.proven_lag(it));
    }
    // The fastest majority is the primary and the replicas with the least lag.
    std::sort(lags.begin(), lags.end());
    return lags[view.majority() - 2];
}

void database_home::set_freshness(request_state &state, time_point now) const
{
    const bool fresh = state.policy.staleness.count() == 0;
    state.floor = state.request.floor.value_or(consistency::position{});
    if (fresh)
        state.floor = std::max(state.floor, acknowledged_);
    // Without a session token, the session's last write is unknown here: another home may have served it.
    state.linearizable = state.request.in_doubt || !state.request.floor;
    state.confirmation_since = now;
}

bool database_home::join_first_request(request_key key, request_state &state, time_point now)
{
    if (defects_.omit_request_ids)
        return false;
    const auto &id = state.request.request_id;
    const auto claim = deduplicator_.begin(id, key, now);
    switch (claim.kind) {
    case admission::request_deduplicator::claim_kind::first:
        state.deduplication_id = id;
        return false;
    case admission::request_deduplicator::claim_kind::joined:
        state.phase = phase_kind::awaiting_first_request;
        return true;
    case admission::request_deduplicator::claim_kind::answered:
        break;
    }
    finish(key, *claim.answer, now);
    return true;
}

bool database_home::join_shared_read(request_key key, request_state &state, time_point now)
{
    if (!state.policy.shareable || state.linearizable || settings_.policy == policy_kind::plain)
        return false;
    state.sharing_key = sharing_key_of(state.request);
    const auto kept =
        sharing_.find(state.sharing_key, {state.floor, state.policy.staleness, state.policy.share_for}, now);
    if (kept) {
        ++counters_.reads_shared;
        state.sharing_key.clear();
        finish(key, *kept, now);
        return true;
    }
    const auto first_reader = sharing_.join(state.sharing_key, key);
    if (!first_reader)
        return false;
    state.phase = phase_kind::awaiting_shared_read;
    auto &first_request = requests_.at(*first_reader);
    if (first_request.phase == phase_kind::queued)
        first_request.floor = std::max(first_request.floor, state.floor);
    return true;
}

std::chrono::microseconds database_home::expected_wait(document::priority_kind priority) const
{
    std::uint32_t slots = 0;
    for (instance_id it = 0; it < settings_.instances.size(); ++it)
        slots += monitor_.usable(it) ? pool_.slots() : 0;
    return queue_.slot_time_ahead(priority) / std::max<std::uint32_t>(1, slots);
}

void database_home::enqueue(request_key key, request_state &state, time_point now, bool at_head)
{
    const admission::queued_request item{key,
                                         state.request.class_name,
                                         state.policy.priority,
                                         state.policy.weight,
                                         durations_.expected(state.request.statement),
                                         state.request.arguments.size(),
                                         state.arrived,
                                         state.deadline};
    state.phase = phase_kind::queued;
    if (at_head) {
        queue_.push_to_front(item);
        return;
    }
    const auto wait = expected_wait(state.policy.priority);
    const auto retry_after =
        std::max(min_retry_after, std::chrono::duration_cast<std::chrono::milliseconds>(wait));
    // With an empty queue ahead, a request is always tried: a wrong estimate must not refuse it for ever.
    const bool in_time = wait.count() == 0 || now + wait + item.cost <= state.deadline;
    if (settings_.policy == policy_kind::session && !in_time) {
        finish_as(key, verdict::not_run, "cannot_finish_in_time", now, retry_after);
        return;
    }
    if (!queue_.push(item, document_->limits))
        finish_as(key, verdict::not_run, "queue_full", now, retry_after);
}

void database_home::finish_as(request_key key, verdict outcome, const std::string &reason, time_point now,
                              std::chrono::milliseconds retry_after)
{
    statement_answer answer;
    answer.outcome = outcome;
    answer.reason = reason;
    answer.retry_after = retry_after;
    answer.use_next_rank = reason == "draining" || reason == "primary_unreachable_here";
    finish(key, std::move(answer), now);
}

void database_home::finish(request_key key, statement_answer answer, time_point now)
{
    const auto it = requests_.find(key);
    if (it == requests_.end())
        return;
    const auto state = std::move(it->second);
    requests_.erase(it);
    deadlines_.erase({state.deadline, key});
    if (state.phase == phase_kind::queued)
        queue_.remove(key);
    answer.document_revision = document_->revision;
    answer.settles_doubt = state.linearizable && answer.outcome == verdict::ran;
    record_outcome(answer);
    hooks_.answer(key, answer);
    if (!state.deduplication_id.empty()) {
        for (const auto joined : deduplicator_.finish(state.deduplication_id, answer, now))
            finish(joined, answer, now);
    }
    if (!state.sharing_key.empty())
        end_sharing(key, state, answer, now);
}

void database_home::record_outcome(const statement_answer &answer)
{
    ++counters_.verdicts[static_cast<std::size_t>(answer.outcome)];
    if (!answer.reason.empty())
        ++counters_.refusals[answer.reason];
}

void database_home::end_sharing(request_key key, const request_state &state, const statement_answer &answer,
                                time_point now)
{
    if (state.phase == phase_kind::awaiting_shared_read) {
        sharing_.remove_waiter(state.sharing_key, key);
        return;
    }
    const auto waiting = sharing_.end(state.sharing_key, key);
    const bool ran = answer.outcome == verdict::ran;
    if (ran && state.policy.share_for.count() > 0)
        sharing_.store(state.sharing_key, {answer, state.as_of, now});
    for (const auto other : waiting) {
        const auto it = requests_.find(other);
        if (it == requests_.end())
            continue;
        auto &reader = it->second;
        const bool fresh_enough =
            reader.policy.staleness.count() == 0 || now - state.as_of <= reader.policy.staleness;
        if (ran && answer.at >= reader.floor && fresh_enough) {
            ++counters_.reads_shared;
            reader.sharing_key.clear();
            finish(other, answer, now);
            continue;
        }
        if (!join_shared_read(other, reader, now))
            enqueue(other, reader, now, true);
    }
}

void database_home::expire(time_point now)
{
    while (!deadlines_.empty() && deadlines_.begin()->at <= now)
        expire_one(deadlines_.begin()->key, now);
    if (now - last_expiry_ < expiry_interval)
        return;
    last_expiry_ = now;
    deduplicator_.expire(now);
    sharing_.expire(now);
}

void database_home::expire_one(request_key key, time_point now)
{
    auto &state = requests_.at(key);
    switch (state.phase) {
    case phase_kind::queued:
    case phase_kind::awaiting_shared_read:
        finish_as(key, state.tries == 0 ? verdict::not_run : verdict::unknown, "deadline_passed", now);
        return;
    case phase_kind::running:
        calls_.erase(state.call);
        --running_by_class_[state.request.class_name];
        pool_.abandon(state.connection, now);
        finish_as(key, verdict::unknown, "deadline_passed_while_running", now);
        return;
    case phase_kind::awaiting_first_request:
        deduplicator_.remove_waiter(state.request.request_id, key);
        finish_as(key, verdict::unknown, "first_try_still_running", now);
        return;
    case phase_kind::held:
        finish_as(key, verdict::unknown, "not_replicated_in_time", now);
        return;
    }
}

inner::view_answer database_home::view_for(const inner::view_request &request, time_point now) const
{
    inner::view_answer out;
    out.highest_term = monitor_.view().highest_term();
    if (request.primary >= settings_.instances.size())
        return out;
    const auto answered_at = monitor_.last_answer_at(request.primary);
    // A primary without replicas cannot acknowledge writes: reaching only the primary must not prevent its
    // replacement.
    std::size_t reached = 0;
    for (instance_id it = 0; it < settings_.instances.size(); ++it) {
        const auto last = monitor_.last_answer_at(it);
        reached += last && monitor_.healthy(it) && now - *last < recent_answer_window ? 1 : 0;
    }
    out.primary_reachable = answered_at && monitor_.healthy(request.primary) &&
                            now - *answered_at < document_->failover.silent_after &&
                            reached >= monitor_.view().majority();
    return out;
}

} // namespace baobabport::home
