#include "routing/forward_decision.h"

namespace baobabport::routing {

using consistency::verdict;
using inner::transaction_step;

namespace {

constexpr std::uint32_t max_tries = 3;
constexpr std::chrono::milliseconds min_time_left{10};

/// Returns true for the steps that only the pooler that began the transaction can serve.
bool is_bound_to_pooler(transaction_step step)
{
    return step == transaction_step::statement || step == transaction_step::commit ||
           step == transaction_step::rollback;
}

bool may_repeat(const forward_state &state)
{
    if (!state.policy || state.step != transaction_step::none)
        return false;
    return state.policy->access == document::access_kind::read || state.policy->repeatable;
}

} // namespace

forward_decision decide_after(attempt_end end, const forward_state &state)
{
    const bool more = state.tries < max_tries && state.time_left >= min_time_left;
    if (end == attempt_end::lost) {
        if (state.step == transaction_step::begin || state.step == transaction_step::statement ||
            state.step == transaction_step::rollback)
            return {false, verdict::not_run, "transaction_rolled_back"};
        if (more && may_repeat(state) && state.retry_available)
            return {true, verdict::unknown, {}};
        return {false, verdict::unknown, "home_lost"};
    }
    if (is_bound_to_pooler(state.step)) {
        // This commit was not sent, but an earlier one by the caller may have been.
        if (state.step == transaction_step::commit)
            return {false, verdict::unknown, "home_unreachable"};
        return {false, verdict::not_run, "transaction_rolled_back"};
    }
    if (more)
        return {true, verdict::not_run, {}};
    return {false, verdict::not_run, end == attempt_end::declined ? "no_home_serves_it" : "home_unreachable"};
}

} // namespace baobabport::routing
