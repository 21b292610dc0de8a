// The connections of one process to the poolers it talks to.

#pragma once

#include "inner/stream_connection.h"
#include "support/address.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

struct event_base;

namespace baobabport::inner {

/**
 * Connects to a pooler when there is something to send, and keeps the connection.
 *
 * No message is sent for the sake of liveness: a link is known to be down by what was sent on it.
 */
class pooler_links
{
public:
    pooler_links(event_base *base, std::string process, shared_keys keys);

    /// Makes a pooler known, or changes its address.
    void set_address(const std::string &pooler, const support::address &peer_address);

    /// Sends a message; a pooler that is not known counts as not reached.
    void send(const std::string &pooler, message_kind kind, std::string body,
              std::chrono::milliseconds timeout, stream_connection::outcome_hook done);

    /// Ends a link, so that nothing sent on it arrives later than now. What waits on it is not answered.
    void drop(const std::string &pooler);

    [[nodiscard]] bool connected(const std::string &pooler) const;
    [[nodiscard]] std::size_t open_links() const;

private:
    struct link
    {
        support::address peer_address;
        std::unique_ptr<stream_connection> connection;
    };

    event_base *base_;
    std::string process_;
    shared_keys keys_;
    std::map<std::string, link> links_;
};

} // namespace baobabport::inner
