// The stages of a planned shutdown of a process.

#pragma once

#include <chrono>
#include <optional>

namespace baobabport::proxy {

using time_point = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

/**
 * Decides what a process still accepts after the request to stop.
 *
 * Sessions stay open until the balancer sends no new ones, and open transactions may go on for half of the
 * time. A statement that arrives later might be cut off by the end of the process, so it is refused.
 */
class shutdown_schedule
{
public:
    /// Time until the balancer sends no more sessions: it needs two failed probes, a second apart.
    static constexpr milliseconds balancer_delay{2200};
    /// Statements that still run are answered this long before the process would be killed.
    static constexpr milliseconds reserve{700};
    /// The process ends at the latest this long after those answers.
    static constexpr milliseconds answer_delivery_time{100};

    /// `total`: from the request to stop until the process is killed.
    void begin(milliseconds total, time_point now)
    {
        total_ = total;
        begun_at_ = now;
    }
    void set_total(milliseconds total) { total_ = total; }

    [[nodiscard]] bool begun() const { return begun_at_.has_value(); }

    /// Returns true if no session may be opened, and idle ones are closed.
    [[nodiscard]] bool sessions_end(time_point now) const { return passed(balancer_delay, now); }

    /// Returns true if open transactions are rolled back and get no further statement.
    [[nodiscard]] bool transactions_end(time_point now) const
    {
        return sessions_end(now) && passed(total_ / 2, now);
    }

    /// Returns true if statements that still run must be answered.
    [[nodiscard]] bool statements_end(time_point now) const { return passed(total_ - reserve, now); }

    /// Returns true if the process ends, whatever it still does.
    [[nodiscard]] bool process_ends(time_point now) const
    {
        return passed(total_ - reserve + answer_delivery_time, now);
    }

private:
    [[nodiscard]] bool passed(milliseconds time, time_point now) const
    {
        return begun_at_ && now - *begun_at_ >= time;
    }

    milliseconds total_{0};
    std::optional<time_point> begun_at_;
};

} // namespace baobabport::proxy
