// Limits the log lines about clients that are refused or closed.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace baobabport::limits {

/**
 * Counts the measures against clients by reason, and allows one log line a second for each reason.
 */
class measure_log
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    static constexpr std::chrono::seconds interval{1};

    /// Counts a measure. Returns the number of measures since the last line of this reason if a line may be
    /// written now, or none.
    std::optional<std::uint64_t> record(const std::string &reason, time_point now);

private:
    struct entry
    {
        std::optional<time_point> written_at;
        std::uint64_t count = 0; ///< since `written_at`
    };

    std::map<std::string, entry> entries_; ///< by reason, of which the program has a few
};

} // namespace baobabport::limits
