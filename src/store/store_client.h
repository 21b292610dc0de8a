// The platform's key-value service, as the processes use it.

#pragma once

#include "http/http_client.h"
#include "support/address.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

struct event_base;

namespace baobabport::store {

enum class store_outcome : std::uint8_t
{
    done,
    no_such_key,
    other_revision, ///< compare-and-swap: somebody else was there first
    unchanged,      ///< watch: nothing new in its time
    unknown,        ///< no answer: a write may have taken effect
};

struct store_answer
{
    store_outcome outcome = store_outcome::unknown;
    std::uint64_t revision = 0;
    std::string value;
};

/**
 * Reads, watches and compare-and-swaps keys. Counts its calls.
 *
 * Each call uses a connection of its own from a small set of idle ones.
 */
class store_client
{
public:
    using answer_hook = std::function<void(const store_answer &)>;

    store_client(event_base *base, support::address at, std::string process);
    ~store_client();
    store_client(const store_client &) = delete;
    store_client &operator=(const store_client &) = delete;

    void read(const std::string &key, std::chrono::milliseconds timeout, answer_hook done);

    /// Answers once the key has a revision above `after`, or `unchanged` after `wait`.
    void watch(const std::string &key, std::uint64_t after, std::chrono::milliseconds wait, answer_hook done);

    /// Writes the key if its revision is `expected`; 0: if there is no such key.
    void compare_and_swap(const std::string &key, std::uint64_t expected, std::string value,
                          std::chrono::milliseconds timeout, answer_hook done);

    [[nodiscard]] std::uint64_t calls() const;
    [[nodiscard]] bool healthy() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace baobabport::store
