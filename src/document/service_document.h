// The document that configures a team's service: staleness, priorities and repeatability of its requests.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace baobabport::document {

enum class access_kind : std::uint8_t
{
    read,
    write
};

enum class priority_kind : std::uint8_t
{
    first,
    normal,
    background
};

/// When a write may be acknowledged.
enum class durability_kind : std::uint8_t
{
    majority, ///< a majority of the group holds it
    primary,  ///< the primary holds it; it may be lost if the primary fails
};

/**
 * One class of requests and its guarantees.
 *
 * Invariants (checked by the reader): a write has no staleness and is not shareable; a class that is not
 * repeatable has no retries.
 */
struct class_policy
{
    std::string name;
    access_kind access = access_kind::read;
    priority_kind priority = priority_kind::normal;
    std::uint32_t weight = 1;                 ///< share among classes of one priority
    std::chrono::milliseconds deadline{2000}; ///< for requests without one
    std::chrono::milliseconds staleness{0};   ///< maximum age of a read; 0: sees all acknowledged writes
    std::chrono::milliseconds share_for{0};   ///< how long a stored result may answer identical reads
    bool repeatable = false;                  ///< may be sent upstream again after an unknown outcome
    std::uint32_t retries = 0;                ///< maximum number of further attempts
    bool shareable = false;                   ///< identical reads may share one answer
    std::uint32_t max_slots = 0;              ///< maximum number of slots in the group; 0: no limit
    durability_kind durability = durability_kind::majority;
    bool shed = false; ///< refused at once, by an operator's override

    bool operator==(const class_policy &) const = default;
};

/// How soon a primary is considered failed.
struct failover_policy
{
    std::chrono::milliseconds probe_interval{100};  ///< between status requests to a busy group
    std::chrono::milliseconds refused_after{100};   ///< connections have been refused for this long
    std::chrono::milliseconds silent_after{400};    ///< no answer for this long
    std::chrono::milliseconds command_timeout{150}; ///< for one status, fence or promote

    bool operator==(const failover_policy &) const = default;
};

/// Limits of a home for the database.
struct limit_policy
{
    std::uint32_t queue_length = 2000;                 ///< requests
    std::uint32_t queue_bytes = 4 * 1024 * 1024;       ///< bytes of their arguments
    std::uint32_t connections = 0;                     ///< per instance; 0: half the instance's limit
    std::uint32_t long_slots = 1;                      ///< slots per instance for long-running statements
    std::chrono::milliseconds long_after{200};         ///< expected duration of a long-running statement
    std::chrono::milliseconds ageing{500};             ///< waiting this long raises a request's priority
    std::chrono::milliseconds transaction_idle{10000}; ///< an idle transaction is rolled back
    std::uint32_t retry_percent = 10;                  ///< retries as a share of recent successes

    bool operator==(const limit_policy &) const = default;
};

/// A temporary override: until it expires, requests of the class are shed.
struct override_rule
{
    std::string class_name;
    std::int64_t until_unix_seconds = 0;

    bool operator==(const override_rule &) const = default;
};

/**
 * The typed form of a team's document for one database.
 */
struct service_document
{
    std::string database;
    std::uint64_t revision = 0;          ///< given by the store; 0: none yet
    std::vector<std::string> change_ids; ///< of the last changes, newest last
    std::string text;                    ///< the operators' original text, including comments
    std::vector<class_policy> classes;
    failover_policy failover;
    limit_policy limits;
    std::vector<override_rule> overrides;

    /**
     * Returns the class of that name, or null.
     */
    [[nodiscard]] const class_policy *find(const std::string &name) const
    {
        for (const auto &it : classes) {
            if (it.name == name)
                return &it;
        }
        return nullptr;
    }
};

} // namespace baobabport::document
