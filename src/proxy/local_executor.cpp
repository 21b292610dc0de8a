// Acceptance of statements and ends of transactions; `statement_execution` runs the statements.

#include "proxy/local_executor.h"

#include "support/boot_clock.h"
#include "support/json_log.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace baobabport::proxy {

using clock_type = support::boot_clock;

void local_executor::execute(std::uint64_t owner, inner::execute_request request, answer_hook done)
{
    if (request.id != platform::own_statement_id)
        start(owner, std::move(request), std::move(done));
    else if (request.text != platform::status_text() || request.prepared || request.transaction != 0)
        // A former version forwards such statements of callers, which need their session's state.
        done({inner::execute_outcome::not_run,
              "the id is reserved for the proxy's own statements",
              false,
              {},
              0});
    else if (state_->status_requests.submit(request.instance, std::move(done)))
        send_status_request(request);
}

void local_executor::send_status_request(const inner::execute_request &request)
{
    constexpr std::uint64_t no_owner = 0;
    start(no_owner, request, [this, request, alive = std::weak_ptr(alive_)](const auto &answer) {
        if (!alive.expired() && state_->status_requests.finish(request.instance, answer))
            send_status_request(request);
    });
}

void local_executor::start(std::uint64_t owner, inner::execute_request request, answer_hook done)
{
    auto pool = pools_(request.service, request.instance);
    const auto open = state_->transactions.find(request.transaction);
    if (!pool && open != state_->transactions.end())
        pool = open->second.pool; // the instance is no longer listed; its open transactions may still end
    const bool consistent =
        !request.prepared || platform::rename_execute(request.text, request.prepared->peer_name(), {});
    const auto it = std::make_shared<statement_execution>(state_, owner, std::move(request), std::move(done));
    if (!pool)
        it->not_run("the instance is not known");
    else if (!consistent)
        it->not_run("the text does not name the prepared statement");
    else
        it->schedule(pool);
}

void local_executor::tick(time_point now, std::chrono::milliseconds limit)
{
    constexpr int early_share = 3;
    state_->early_end = limit / early_share;
    end_idle(now, limit);
    end_for_waiting(now);
    for (auto &[instance, scheduler] : state_->schedulers) {
        start_waiting(*state_, instance, now);
        for (const auto key : scheduler.expired(now)) {
            const auto it = state_->waiting.find(key);
            if (it == state_->waiting.end())
                continue;
            const auto late = it->second;
            state_->waiting.erase(it);
            if (scheduler.lacks_connections(now))
                late->refuse_without_connection(acquire_failure::exhausted);
            else
                late->refuse_overloaded(scheduler.expected_wait(late->priority(), now, late->workspace()));
        }
    }
}

std::optional<std::uint32_t> local_executor::concurrency_limit(const std::string &instance,
                                                               time_point now) const
{
    const auto it = state_->schedulers.find(instance);
    if (it == state_->schedulers.end())
        return std::nullopt;
    return it->second.cold_limit().limit(now);
}

bool local_executor::busy() const
{
    return !state_->transactions.empty() ||
           std::any_of(state_->schedulers.begin(), state_->schedulers.end(),
                       [](const auto &it) { return it.second.running() + it.second.waiting() > 0; });
}

void local_executor::end_transaction(std::uint64_t transaction)
{
    const auto it = state_->transactions.find(transaction);
    if (it == state_->transactions.end())
        return;
    const auto ended = std::move(it->second);
    state_->transactions.erase(it);
    if (ended.running)
        ended.connection->end_without_answer(); // the instance rolls back the transaction and its statement
    else
        return_connection(ended.pool, ended.connection,
                          [state = state_, instance = ended.pool->target().instance] {
                              start_waiting(*state, instance, clock_type::now());
                          });
}

bool local_executor::lacks_connections(const instance_pool &pool, time_point now) const
{
    const auto scheduler = state_->schedulers.find(pool.target().instance);
    const bool waits = pool.waiting_count() > 0 ||
                       (scheduler != state_->schedulers.end() && scheduler->second.lacks_connections(now));
    return waits && pool.exhausted(now);
}

void local_executor::end_for_waiting(time_point now)
{
    struct idle_transaction
    {
        std::uint64_t number;
        time_point since;
    };
    std::map<std::shared_ptr<instance_pool>, idle_transaction> idle_longest;
    for (const auto &[number, it] : state_->transactions) {
        if (it.running || it.claimed || now - it.used_at <= state_->early_end)
            continue;
        const auto [known, is_new] = idle_longest.try_emplace(it.pool, idle_transaction{number, it.used_at});
        if (!is_new && it.used_at < known->second.since)
            known->second = {number, it.used_at};
    }
    for (const auto &[pool, it] : idle_longest) {
        if (!lacks_connections(*pool, now))
            continue;
        support::log_event(
            "transaction_ended_early",
            {{"instance", pool->target().instance},
             {"idle_ms",
              std::to_string(std::chrono::ceil<std::chrono::milliseconds>(now - it.since).count())},
             {"reason", "no connection is left for other statements"}});
        end_transaction(it.number);
    }
}

void local_executor::end_owner(std::uint64_t owner)
{
    std::vector<std::uint64_t> ended;
    for (const auto &it : state_->transactions) {
        if (it.second.owner == owner)
            ended.push_back(it.first);
    }
    for (const auto it : ended)
        end_transaction(it);
}

void local_executor::end_idle(time_point now, std::chrono::milliseconds limit)
{
    std::vector<std::uint64_t> ended;
    for (const auto &it : state_->transactions) {
        if (!it.second.running && !it.second.claimed && now - it.second.used_at > limit)
            ended.push_back(it.first);
    }
    for (const auto it : ended)
        end_transaction(it);
}

} // namespace baobabport::proxy
