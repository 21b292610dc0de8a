#include "inner/pooler_links.h"

#include "support/json_log.h"

#include <algorithm>
#include <utility>

namespace baobabport::inner {

pooler_links::pooler_links(event_base *base, std::string process, shared_keys keys, link_limits limits)
    : base_(base), process_(std::move(process)), keys_(std::move(keys)), limits_(std::move(limits))
{
}

void pooler_links::set_address(const std::string &pooler, const support::address &peer_address)
{
    links_[pooler].peer_address = peer_address;
}

void pooler_links::send(const std::string &pooler, message_kind kind, std::string body,
                        std::chrono::milliseconds timeout, stream_connection::outcome_hook done)
{
    const auto it = links_.find(pooler);
    if (it == links_.end()) {
        done({false, false, {}});
        return;
    }
    auto &link = it->second;
    // A side that announced its stop still answers the messages it has received. The connection is replaced
    // once all of them are answered; until then, new messages are not sent.
    if (link.connection && link.connection->stopping() && link.connection->outstanding() == 0)
        link.connection.reset();
    if (!link.connection) {
        stream_connection::hooks hooks;
        hooks.closed = [this, pooler](const std::string &reason) {
            support::log_event("link_closed", {{"pooler", pooler}, {"reason", reason}});
            links_[pooler].connection.reset();
        };
        link.connection =
            stream_connection::connect(base_, link.peer_address, process_, keys_, std::move(hooks), limits_);
    }
    link.connection->send(kind, std::move(body), timeout, std::move(done));
}

void pooler_links::drop(const std::string &pooler)
{
    const auto it = links_.find(pooler);
    if (it != links_.end() && it->second.connection)
        it->second.connection->discard();
}

bool pooler_links::connected(const std::string &pooler) const
{
    const auto it = links_.find(pooler);
    return it != links_.end() && it->second.connection && it->second.connection->ready();
}

std::size_t pooler_links::open_links() const
{
    return static_cast<std::size_t>(std::count_if(
        links_.begin(), links_.end(), [](const auto &it) { return it.second.connection != nullptr; }));
}

} // namespace baobabport::inner
