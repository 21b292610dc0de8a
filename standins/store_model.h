// Model of the platform's key-value service, for tests in virtual time.

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
 * A key's revision starts at 1 and increases by one with each change; 0 means "no such key".
 */
class store_model
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    struct value
    {
        std::string text;
        std::uint64_t revision = 0;
        std::optional<time_point> expires_at; ///< end of its lease; none without a lease
    };

    /**
     * Returns the key's value, or none if the key does not exist or its lease has ended.
     */
    [[nodiscard]] std::optional<value> read(const std::string &key, time_point now);

    /**
     * Writes if the key's revision is `expected`; returns the new revision, or none.
     *
     * With a lease, the key is removed when the lease ends without another write.
     */
    std::optional<std::uint64_t> compare_and_swap(const std::string &key, std::uint64_t expected,
                                                  const std::string &text,
                                                  std::optional<std::chrono::milliseconds> lease,
                                                  time_point now);

private:
    std::map<std::string, value> values_;
    std::map<std::string, std::uint64_t> last_revision_; ///< kept after the lease has ended
};

} // namespace standin
