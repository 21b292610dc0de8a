// Records the writes and answers of the callers and checks their reads and the instances' logs against them.

#pragma once

#include "line_group.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace soak {

using time_point = std::chrono::steady_clock::time_point;

enum class write_answer : std::uint8_t
{
    unknown, ///< no answer yet, or an answer that does not determine the outcome
    committed,
    refused, ///< guaranteed to have no effect
};

/**
 * Each item has one writer, which writes increasing numbers. The acknowledged writes therefore determine what
 * a read may return.
 */
class ledger
{
public:
    /// Records that the next write of the item is sent and returns its number.
    std::uint64_t next_number(const std::string &item);
    void record_answer(const std::string &item, std::uint64_t number, write_answer answer, time_point now);

    /// Records that two items were written by one transaction.
    void record_pair(const std::string &one, const std::string &other, std::uint64_t number);

    /// Records that a write was lost with its primary, which alone had it: without `sync_replicas` that is
    /// the operators' choice. Reads do not owe it any more, and it may be missing at the end.
    void record_loss(const std::string &item, std::uint64_t number);

    /// Returns the highest number that was acknowledged by the given time and not lost; 0 if there is none.
    [[nodiscard]] std::uint64_t newest_acknowledged(const std::string &item, time_point until) const;

    /// Checks the value that a read returned; it must be at least `min_number`. The value `none` counts as 0.
    void check_read(const std::string &item, const std::string &value, std::uint64_t min_number,
                    const std::string &who);

    /// Checks the log of a group's primary: it holds each acknowledged write once and no refused write.
    void check_log(const std::string &service, const std::vector<standin::log_entry> &log);

    void violation(const std::string &text);
    std::function<void(const std::string &)> on_violation = [](const auto &) {};
    [[nodiscard]] const std::vector<std::string> &violations() const { return violations_; }
    [[nodiscard]] std::uint64_t acknowledged() const { return acknowledged_; }
    [[nodiscard]] std::uint64_t reads() const { return reads_; }
    [[nodiscard]] std::uint64_t lost_with_primary() const { return lost_with_primary_; }

    /// Returns the service of an item, which is the part of its name before the colon.
    static std::string service_of(const std::string &item) { return item.substr(0, item.find(':')); }

private:
    struct write
    {
        write_answer answer = write_answer::unknown;
        time_point at;
        std::string partner;            ///< the other item of its transaction
        bool lost_with_primary = false; ///< see `record_loss`
    };

    std::map<std::string, std::map<std::uint64_t, write>> items_;
    std::vector<std::string> violations_;
    std::uint64_t acknowledged_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t lost_with_primary_ = 0;
};

} // namespace soak
