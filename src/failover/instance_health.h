// Direct evidence of whether an instance can be reached.

#pragma once

#include "consistency/group_view.h"
#include "document/service_document.h"

#include <optional>

namespace baobabport::failover {

using consistency::time_point;

/**
 * Tracks one instance's answers and failures to answer.
 *
 * Evidence comes from statements and commands alike; this class sends nothing itself.
 */
class instance_health
{
public:
    /// Records an answer to a request sent at `requested_at`.
    void record_answer(time_point requested_at);

    /// Records that the instance's address refused a connection.
    void record_refusal(time_point now);

    /// Records that a request sent at `requested_at` timed out.
    void record_timeout(time_point requested_at);

    /**
     * Returns true if the instance must be regarded as failed.
     */
    [[nodiscard]] bool is_failed(const document::failover_policy &policy, time_point now) const;

    /**
     * Returns true if there was no refusal or time-out since the last answer.
     */
    [[nodiscard]] bool healthy() const { return !refused_since_ && !unanswered_since_; }

    [[nodiscard]] std::optional<time_point> last_answer() const { return last_answer_; }

private:
    std::optional<time_point> last_answer_;
    std::optional<time_point> refused_since_;    ///< first refusal since the last answer
    std::optional<time_point> unanswered_since_; ///< first unanswered request since the last answer
};

} // namespace baobabport::failover
