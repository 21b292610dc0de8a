// What an entry does after a try at forwarding a request came to nothing.

#pragma once

#include "consistency/verdict.h"
#include "document/service_document.h"
#include "inner/messages.h"

#include <chrono>
#include <cstdint>
#include <string_view>

namespace baobabport::routing {

/// How a try at a pooler ended without the pooler's final answer.
enum class attempt_end : std::uint8_t
{
    not_reached, ///< proven that the pooler did not act on it
    declined,    ///< the pooler says that it did not run and another may serve it
    lost,        ///< sent, and no answer came
};

struct forward_state
{
    inner::transaction_step step = inner::transaction_step::none;
    const document::class_policy *policy = nullptr; ///< null: not known at this entry
    std::uint32_t tries = 0;                        ///< including the one that ended
    bool budget = false;                            ///< the retry budget has a retry left
    std::chrono::milliseconds time_left{0};
};

/// Try the next pooler, or answer the caller.
struct forward_decision
{
    bool try_next = false;
    consistency::verdict outcome = consistency::verdict::unknown; ///< if not
    std::string_view reason;
};

/**
 * Returns what to do after the try.
 *
 * A request that may have run is tried again only if its class says that it may be repeated.
 */
[[nodiscard]] forward_decision decide_after(attempt_end end, const forward_state &state);

} // namespace baobabport::routing
