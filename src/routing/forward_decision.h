// Decides what an entry does after an unsuccessful attempt to forward a request.

#pragma once

#include "consistency/verdict.h"
#include "document/service_document.h"
#include "inner/messages.h"

#include <chrono>
#include <cstdint>
#include <string_view>

namespace baobabport::routing {

/// How an attempt at a pooler ended without a final answer.
enum class attempt_end : std::uint8_t
{
    not_reached, ///< the pooler has provably not executed it
    declined,    ///< the pooler reports that it did not run and that another may serve it
    lost,        ///< sent, but not answered
};

struct forward_state
{
    inner::transaction_step step = inner::transaction_step::none;
    const document::class_policy *policy = nullptr; ///< null: unknown at this entry
    std::uint32_t tries = 0;                        ///< including the one that just ended
    bool retry_available = false;                   ///< the retry budget has a retry left
    std::chrono::milliseconds time_left{0};
};

/// The decision: try the next pooler, or answer the caller.
struct forward_decision
{
    bool try_next = false;
    consistency::verdict outcome = consistency::verdict::unknown; ///< if `try_next` is false
    std::string_view reason;
};

/**
 * Returns the decision after the attempt.
 *
 * A request that may have run is tried again only if its class allows repeating it.
 */
[[nodiscard]] forward_decision decide_after(attempt_end end, const forward_state &state);

} // namespace baobabport::routing
