// The rules of the stand-in for the platform's key-value service.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace standin {

/**
 * Keys with revisions, compare-and-swap and leases.
 *
 * A key's revision rises by one with each change and starts at 1; 0 stands for "no such key".
 */
class store_model
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    struct value
    {
        std::string text;
        std::uint64_t revision = 0;
        std::optional<time_point> expires_at; ///< of its lease
    };

    /**
     * Returns the key's value, or none.
     */
    [[nodiscard]] std::optional<value> read(const std::string &key, time_point now);

    /**
     * Writes if the key's revision is `expected`; returns the new revision, or none.
     *
     * With a lease time, the key is removed when it passes without another write.
     */
    std::optional<std::uint64_t> compare_and_swap(const std::string &key, std::uint64_t expected,
                                                  const std::string &text,
                                                  std::optional<std::chrono::milliseconds> lease,
                                                  time_point now);

private:
    std::map<std::string, value> values_;
    std::map<std::string, std::uint64_t> last_revision_; ///< outlives a lapsed lease
};

} // namespace standin
