// The connections of one process to the poolers to which it sends messages.

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
 * Connects to a pooler when the first message is sent, and keeps the connection open.
 *
 * There are no heartbeats: a broken link is detected by the messages that are sent on it.
 */
class pooler_links
{
public:
    /// `limits` bound the answers that arrive.
    pooler_links(event_base *base, std::string process, shared_keys keys, link_limits limits = {});

    /// Adds a pooler, or changes its address.
    void set_address(const std::string &pooler, const support::address &peer_address);

    /// Sends a message. If the pooler was never added, calls `done` at once: the message did not arrive.
    void send(const std::string &pooler, message_kind kind, std::string body,
              std::chrono::milliseconds timeout, stream_connection::outcome_hook done);

    /// Closes a link, so that nothing sent on it arrives after this call. Messages in flight get no answer.
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
    link_limits limits_;
    std::map<std::string, link> links_;
};

} // namespace baobabport::inner
