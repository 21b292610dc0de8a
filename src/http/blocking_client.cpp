#include "http/blocking_client.h"

#include <event2/event.h>

namespace baobabport::http {

blocking_client::blocking_client() : base_(event_base_new()) {}

blocking_client::~blocking_client()
{
    event_base_free(base_);
}

client_answer blocking_client::call(const support::address &to, const client_request &request)
{
    client_answer out;
    bool done = false;
    {
        http_client client(base_, to);
        client.send(request, [&](const client_answer &answer) {
            out = answer;
            done = true;
        });
        while (!done)
            event_base_loop(base_, EVLOOP_ONCE);
    }
    event_base_loop(base_, EVLOOP_NONBLOCK); // frees the connection
    return out;
}

} // namespace baobabport::http
