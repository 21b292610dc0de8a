// First-hand evidence of whether an instance can be reached.

#pragma once

#include "consistency/group_view.h"
#include "document/service_document.h"

#include <optional>

namespace baobabport::failover {

using consistency::time_point;

/**
 * Tracks one instance's answers and failures to answer.
 *
 * Evidence comes from statements and commands alike; nothing is sent for its sake here.
 */
class instance_health
{
public:
    /// Takes in an answer to a question sent at `requested_at`.
    void answered(time_point requested_at);

    /// Takes in that nothing listened there.
    void refused(time_point now);

    /// Takes in that a question sent at `requested_at` got no answer in its time.
    void unanswered(time_point requested_at);

    /**
     * Returns true if the instance must be taken for failed.
     */
    [[nodiscard]] bool failed(const document::failover_policy &policy, time_point now) const;

    /**
     * Returns true if nothing speaks against sending to the instance.
     */
    [[nodiscard]] bool healthy() const { return !refused_since_ && !unanswered_since_; }

    [[nodiscard]] std::optional<time_point> last_answer() const { return last_answer_; }

private:
    std::optional<time_point> last_answer_;
    std::optional<time_point> refused_since_;    ///< first refusal since the last answer
    std::optional<time_point> unanswered_since_; ///< first unanswered question since the last answer
};

} // namespace baobabport::failover
