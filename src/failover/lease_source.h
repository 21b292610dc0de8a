// Whom a process asks for primary leases: the leader, or a relay in its data centre.

#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace baobabport::failover {

/**
 * Chooses the receiver of each lease request.
 *
 * A relay that does not pass an answer on is passed over for the next one; after all of them the leader is
 * asked, which answers or names the relays of that moment, and then the first relay again.
 */
class lease_source
{
public:
    /// `self`: a name that differs between processes; it spreads them over the relays.
    explicit lease_source(std::string self) : self_(std::move(self)) {}

    /// Sets the relays that the leader has named.
    void set_relays(std::vector<std::string> relays);

    /// Returns to the leader, since another one was elected or this process became one of its relays.
    void clear();

    /// Returns the address of the relay to send the next request to; empty: the leader. Each call is taken
    /// for one request.
    std::string next();

    /// Records that a relay passed an answer of the leader on.
    void record_answer() { answered_ = true; }

    /// Returns true if the last request was sent to a relay.
    [[nodiscard]] bool asks_relay() const { return !relays_.empty() && current_ < relays_.size(); }

    /// Returns the address of the relay that was asked last; empty: it was the leader.
    [[nodiscard]] std::string relay() const { return asks_relay() ? relays_[current_] : std::string(); }

private:
    std::string self_;
    std::vector<std::string> relays_; ///< the preferred one first
    std::size_t current_ = 0;         ///< relay that was asked last; their number: the leader
    bool answered_ = true;            ///< the last request was
};

} // namespace baobabport::failover
