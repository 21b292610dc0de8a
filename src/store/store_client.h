// Single keys of the platform's store, as the entries and poolers use them.

#pragma once

#include "platform/metadata_client.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

struct event_base;

namespace baobabport::store {

enum class store_outcome : std::uint8_t
{
    done,
    no_such_key,
    revision_mismatch, ///< compare-and-swap: somebody else was there first
    unchanged,         ///< watch: nothing new in its time
    unknown,           ///< no answer: a write may have taken effect
};

struct store_answer
{
    store_outcome outcome = store_outcome::unknown;
    std::uint64_t revision = 0;
    std::string value;
};

/**
 * Reads, watches and compare-and-swaps single keys over the platform's client.
 */
class store_client
{
public:
    using answer_hook = std::function<void(const store_answer &)>;

    store_client(event_base *base, const support::address &at) : client_(base, at) {}

    void read(const std::string &key, std::chrono::milliseconds timeout, answer_hook done);

    /// Answers once the key has a revision above `after`, or `unchanged` after `wait`.
    void watch(const std::string &key, std::uint64_t after, std::chrono::milliseconds wait, answer_hook done);

    /// Writes the key if its revision is `expected`; 0: if there is no such key.
    void compare_and_swap(const std::string &key, std::uint64_t expected, std::string value,
                          std::chrono::milliseconds timeout, answer_hook done);

    [[nodiscard]] std::uint64_t calls() const { return client_.calls(); }

    /// Returns true if the store answered the last call.
    [[nodiscard]] bool healthy() const { return healthy_; }

private:
    void record_reply(const platform::store_reply &reply);

    platform::metadata_client client_;
    bool healthy_ = true;
    /// The store's revision up to which a key's changes are known: later than its own revision, so that the
    /// store's history need not reach back that far.
    std::map<std::string, std::uint64_t> seen_revisions_;
};

} // namespace baobabport::store
