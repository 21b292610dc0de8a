#include "http/http_client.h"

#include "support/socket_options.h"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace baobabport::http {

namespace {

evhttp_cmd_type command_of(method_kind method)
{
    switch (method) {
    case method_kind::post:
        return EVHTTP_REQ_POST;
    case method_kind::put:
        return EVHTTP_REQ_PUT;
    case method_kind::remove:
        return EVHTTP_REQ_DELETE;
    default:
        return EVHTTP_REQ_GET;
    }
}

std::string body_of(evhttp_request *request)
{
    auto *const buf = evhttp_request_get_input_buffer(request);
    std::string out(evbuffer_get_length(buf), '\0');
    evbuffer_remove(buf, out.data(), out.size());
    return out;
}

} // namespace

struct http_client::state
{
    event_base *base = nullptr;
    evhttp_connection *connection = nullptr;
    std::string host;
    evhttp_request *request = nullptr; ///< the request in progress while its connection is opened
    bufferevent_event_cb connect_callback = nullptr; ///< evhttp's callback, which writes the request
    void *connect_callback_arg = nullptr;
    std::function<bool()> may_write;
    std::vector<std::string> captured_headers; ///< names, of the request in progress
    answer_hook done;
    std::function<void()> closed;
    bool busy = false;
    bool timed_out = false;
    bool discards_on_close = false;
    bool owner_destroyed = false; ///< no hook is called any more

    static void on_answer(evhttp_request *request, void *arg)
    {
        auto *const me = static_cast<state *>(arg);
        me->busy = false;
        if (me->owner_destroyed)
            return;
        client_answer out;
        const int status = request ? evhttp_request_get_response_code(request) : 0;
        if (status == 0) {
            out.failure = me->timed_out ? client_failure::timed_out : client_failure::broken;
        } else {
            out.status = status;
            out.body = body_of(request);
            const auto *const headers = evhttp_request_get_input_headers(request);
            const char *const token = evhttp_find_header(headers, session_header);
            out.session_token = token ? token : "";
            for (const auto &name : me->captured_headers) {
                if (const char *const value = evhttp_find_header(headers, name.c_str()))
                    out.captured_headers.push_back({name, value});
            }
        }
        me->report(out);
    }

    void report(const client_answer &out)
    {
        const auto hook = std::move(done);
        done = nullptr;
        hook(out);
    }

    void cancel()
    {
        busy = false;
        client_answer out;
        out.failure = client_failure::cancelled;
        report(out);
    }

    /// Replaces evhttp's event callback, from which evhttp writes the request, until the connection is open.
    void check_before_writing(evhttp_request *what, std::function<bool()> hook)
    {
        request = what;
        may_write = std::move(hook);
        auto *const socket = evhttp_connection_get_bufferevent(connection);
        bufferevent_data_cb read = nullptr;
        bufferevent_data_cb write = nullptr;
        bufferevent_getcb(socket, &read, &write, &connect_callback, &connect_callback_arg);
        bufferevent_setcb(socket, read, write, on_connect_event, this);
    }

    static void on_connect_event(bufferevent *socket, short what, void *arg)
    {
        auto *const me = static_cast<state *>(arg);
        if (!(what & BEV_EVENT_CONNECTED) || (!me->owner_destroyed && me->may_write())) {
            me->connect_callback(socket, what, me->connect_callback_arg);
            return;
        }
        evhttp_cancel_request(me->request); // does not call on_answer
        if (!me->owner_destroyed)
            me->cancel();
    }

    static void on_error(evhttp_request_error ec, void *arg)
    {
        static_cast<state *>(arg)->timed_out = ec == EVREQ_HTTP_TIMEOUT;
    }

    static void on_close(evhttp_connection * /*connection*/, void *arg)
    {
        auto *const me = static_cast<state *>(arg);
        if (me->owner_destroyed || me->busy || !me->closed)
            return;
        const auto hook = me->closed; // may destroy the owner
        hook();
    }

    static void free_later(int /*socket*/, short /*what*/, void *arg)
    {
        const std::unique_ptr<std::shared_ptr<state>> owned_state(static_cast<std::shared_ptr<state> *>(arg));
        evhttp_connection_free((*owned_state)->connection);
    }
};

std::optional<std::string> client_answer::captured_header(std::string_view name) const
{
    const auto it = std::find_if(captured_headers.begin(), captured_headers.end(),
                                 [name](const auto &field) { return field.name == name; });
    return it == captured_headers.end() ? std::nullopt : std::optional(it->value);
}

http_client::http_client(event_base *base, const support::address &to) : state_(std::make_shared<state>())
{
    state_->base = base;
    state_->host = to.text();
    state_->connection = evhttp_connection_base_new(base, nullptr, to.ip.c_str(), to.port);
    evhttp_connection_set_closecb(state_->connection, state::on_close, state_.get());
}

http_client::~http_client()
{
    state_->owner_destroyed = true;
    state_->done = nullptr;
    // Deferred, since the connection must not be freed within its own callback.
    const timeval at_once{0, 0};
    auto owned_state = std::make_unique<std::shared_ptr<state>>(state_);
    event_base_once(state_->base, -1, EV_TIMEOUT, state::free_later, owned_state.release(), &at_once);
}

void http_client::send(const client_request &request, answer_hook done)
{
    const auto state = state_; // the hook may destroy this object
    auto *const socket_buffer = evhttp_connection_get_bufferevent(state->connection);
    const bool is_open = bufferevent_getfd(socket_buffer) >= 0;
    state->done = std::move(done);
    state->captured_headers = request.captured_headers;
    if (is_open && request.may_write && !request.may_write()) {
        state->cancel();
        return;
    }
    state->busy = true;
    state->timed_out = false;
    auto *const out = evhttp_request_new(state::on_answer, state.get());
    evhttp_request_set_error_cb(out, state::on_error);
    auto *const headers = evhttp_request_get_output_headers(out);
    evhttp_add_header(headers, "Host", state->host.c_str());
    if (!request.body.empty())
        evhttp_add_header(headers, "Content-Type", "application/json");
    for (const auto &it : request.headers)
        evhttp_add_header(headers, it.name.c_str(), it.value.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(out), request.body.data(), request.body.size());
    const timeval timeout{static_cast<time_t>(request.timeout.count() / 1000),
                          static_cast<suseconds_t>(request.timeout.count() % 1000 * 1000)};
    evhttp_connection_set_timeout_tv(state->connection, &timeout);
    evhttp_make_request(state->connection, out, command_of(request.method), request.path.c_str());
    const auto socket = bufferevent_getfd(socket_buffer);
    if (socket < 0)
        return;
    if (!is_open && request.may_write)
        state->check_before_writing(out, request.may_write);
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (state->discards_on_close) {
        support::tune_socket(socket); // a suspended process cannot abandon the call; the kernel can
        support::discard_on_close(socket);
    }
}

void http_client::discard_on_close()
{
    state_->discards_on_close = true;
}

void http_client::on_closed(std::function<void()> hook)
{
    state_->closed = std::move(hook);
}

bool http_client::busy() const
{
    return state_->busy;
}

} // namespace baobabport::http
