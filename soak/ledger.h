// What callers sent and were told, checked against what they read and against the instances' logs.

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
    unknown, ///< in doubt, or no answer
    committed,
    refused, ///< promised that nothing is kept
};

/**
 * Each item has one writer, and its values are rising numbers: what a read may return follows from what
 * was acknowledged.
 */
class ledger
{
public:
    /// Returns the number to write next to the item.
    std::uint64_t next_number(const std::string &item);
    void record_answer(const std::string &item, std::uint64_t number, write_answer answer, time_point now);

    /// Notes that two items were written by one transaction.
    void record_pair(const std::string &one, const std::string &other, std::uint64_t number);

    /// Returns the newest number that was acknowledged until then.
    [[nodiscard]] std::uint64_t newest_acknowledged(const std::string &item, time_point until) const;

    /// Checks what a read returned, begun when `min_number` was owed. Values that are none count as 0.
    void check_read(const std::string &item, const std::string &value, std::uint64_t min_number,
                    const std::string &who);

    /// Checks the log of a group's primary: acknowledged writes stand in it once, refused ones never.
    void check_log(const std::string &service, const std::vector<standin::log_entry> &log);

    void violation(const std::string &text);
    std::function<void(const std::string &)> on_violation = [](const auto &) {};
    [[nodiscard]] const std::vector<std::string> &violations() const { return violations_; }
    [[nodiscard]] std::uint64_t acknowledged() const { return acknowledged_; }
    [[nodiscard]] std::uint64_t reads() const { return reads_; }

    /// Items begin with this and their service's name.
    static std::string service_of(const std::string &item) { return item.substr(0, item.find(':')); }

private:
    struct write
    {
        write_answer answer = write_answer::unknown;
        time_point at;
        std::string partner; ///< the other item of its transaction
    };

    std::map<std::string, std::map<std::uint64_t, write>> items_;
    std::vector<std::string> violations_;
    std::uint64_t acknowledged_ = 0;
    std::uint64_t reads_ = 0;
};

} // namespace soak
