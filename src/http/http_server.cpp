#include "http/http_server.h"

#include <event2/buffer.h>
#include <evhtp/evhtp.h>
#include <map>
#include <netinet/tcp.h>
#include <optional>
#include <stdexcept>
#include <sys/socket.h>

namespace baobabport::http {

namespace {

constexpr int listen_backlog = 4096;

std::string header_of(evhtp_request_t *request, const char *name)
{
    const char *const value = evhtp_header_find(request->headers_in, name);
    return value ? value : std::string();
}

method_kind method_of(evhtp_request_t *request)
{
    switch (evhtp_request_get_method(request)) {
    case htp_method_GET:
        return method_kind::get;
    case htp_method_POST:
        return method_kind::post;
    case htp_method_PUT:
        return method_kind::put;
    default:
        return method_kind::other;
    }
}

/// Converts a hook to the one function type under which evhtp stores hooks of all kinds.
template <typename Function>
evhtp_hook to_hook(Function *function)
{
    return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(function));
}

/// Answers an evhtp request; `request_` is null once it is answered or its connection has closed.
class evhtp_responder : public responder
{
public:
    explicit evhtp_responder(evhtp_request_t *request) : request_(request) {}

    void send(const server_reply &reply) override
    {
        if (!request_)
            return;
        auto *const request = request_;
        request_ = nullptr;
        evbuffer_add(request->buffer_out, reply.body.data(), reply.body.size());
        add_header(request, "Content-Type", reply.content_type);
        for (const auto &it : reply.headers)
            add_header(request, it.name.c_str(), it.value);
        evhtp_send_reply(request, static_cast<evhtp_res>(reply.status));
        if (paused_)
            evhtp_request_resume(request);
    }

    /// Keeps the request open if the handler returned without an answer.
    void pause(const std::shared_ptr<evhtp_responder> &shared)
    {
        if (!request_)
            return;
        paused_ = true;
        evhtp_request_set_hook(request_, evhtp_hook_on_request_fini, to_hook(on_request_end),
                               new std::shared_ptr<evhtp_responder>(shared));
        evhtp_request_pause(request_);
    }

private:
    static void add_header(evhtp_request_t *request, const char *name, const std::string &value)
    {
        evhtp_headers_add_header(request->headers_out, evhtp_header_new(name, value.c_str(), 1, 1));
    }

    static evhtp_res on_request_end(evhtp_request_t * /*request*/, void *arg)
    {
        auto *const self = static_cast<std::shared_ptr<evhtp_responder> *>(arg);
        (*self)->request_ = nullptr;
        delete self;
        return EVHTP_RES_OK;
    }

    evhtp_request_t *request_;
    bool paused_ = false;
};

} // namespace

std::string server_request::query_value(std::string_view name) const
{
    std::size_t at = 0;
    while (at < query.size()) {
        auto end = query.find('&', at);
        if (end == std::string::npos)
            end = query.size();
        const std::string_view part(query.data() + at, end - at);
        const auto equals = part.find('=');
        if (part.substr(0, equals) == name && equals != std::string_view::npos)
            return std::string(part.substr(equals + 1));
        at = end + 1;
    }
    return {};
}

std::string server_request::captured_header(std::string_view name) const
{
    for (const auto &it : captured_headers) {
        if (it.name == name)
            return it.value;
    }
    return {};
}

class http_server::impl
{
public:
    impl(event_base *base, const support::address &at, std::size_t max_body, handler handle,
         server_limits limits)
        : handle_(std::move(handle)), limits_(std::move(limits)), htp_(evhtp_new(base, nullptr))
    {
        if (limits_.timeout.count() > 0) {
            const timeval timeout{limits_.timeout.count(), 0};
            evhtp_set_timeouts(htp_, &timeout, &timeout);
        }
        evhtp_set_pre_accept_cb(htp_, on_pre_accept, this);
        evhtp_set_max_body_size(htp_, max_body);
        evhtp_set_gencb(htp_, on_request, this);
        evhtp_set_post_accept_cb(htp_, on_accept, this);
        if (evhtp_bind_socket(htp_, at.ip.c_str(), at.port, listen_backlog) != 0) {
            evhtp_free(htp_);
            throw std::runtime_error("cannot listen on " + at.text());
        }
    }

    ~impl()
    {
        abort_connections();
        stop_listening();
        // The event loop frees the connections after this object is destroyed, and before that it reads what
        // they have received: neither hooks nor the handler must be called.
        evhtp_set_gencb(htp_, refuse_request, nullptr);
        for (auto &[id, connection] : connections_) {
            evhtp_connection_unset_hook(connection, evhtp_hook_on_connection_fini);
            stop_counting(*contexts_.at(id));
            if (connection->request)
                connection->request->cb = refuse_request;
        }
    }
    impl(const impl &) = delete;
    impl &operator=(const impl &) = delete;

    void stop_listening()
    {
        if (!listening_)
            return;
        listening_ = false;
        evhtp_unbind_socket(htp_);
    }

    void abort_connections()
    {
        for (const auto &[id, connection] : connections_)
            ::shutdown(connection->sock, SHUT_RDWR);
    }

    void abort_connection(std::uint64_t number)
    {
        const auto it = connections_.find(number);
        if (it != connections_.end())
            ::shutdown(it->second->sock, SHUT_RDWR);
    }

    handler handle_;
    server_limits limits_;
    std::vector<std::string> captured_headers_;
    connection_hook connection_end_;
    std::map<std::uint64_t, evhtp_connection_t *> connections_;

private:
    /// The argument of a connection's hooks.
    struct connection_context
    {
        impl *server = nullptr;
        std::uint64_t id = 0;
        evhtp_connection_t *connection = nullptr;
        std::size_t request_bytes = 0; ///< received since the last complete request
        std::optional<limits::memory_charge> charge;
    };

    static evhtp_res on_pre_accept(evhtp_connection_t * /*connection*/, void *self)
    {
        auto *const me = static_cast<impl *>(self);
        const auto most = me->limits_.max_connections;
        if (most == 0 || me->connections_.size() < most)
            return EVHTP_RES_OK;
        me->limits_.record("connections");
        // Those that are shut down are closed by the loop; until then they count.
        if (me->connections_.size() >= 2 * most)
            return EVHTP_RES_ERROR;
        me->abort_connection(me->connections_.begin()->first);
        return EVHTP_RES_OK;
    }

    /// Called when bytes have been received, or taken from the buffer.
    static void on_input(evbuffer * /*input*/, const evbuffer_cb_info *info, void *arg)
    {
        auto &it = *static_cast<connection_context *>(arg);
        it.request_bytes += info->n_added;
        const auto &limits = it.server->limits_;
        if (limits.max_request != 0 && it.request_bytes > limits.max_request) {
            limits.record("request_too_long");
            ::shutdown(it.connection->sock, SHUT_RDWR);
        }
        if (it.charge && info->n_added > 0)
            it.charge->resize(it.request_bytes + output_bytes(*it.connection));
    }

    static std::size_t output_bytes(const evhtp_connection_t &connection)
    {
        return evbuffer_get_length(bufferevent_get_output(connection.bev));
    }

    static void stop_counting(connection_context &it)
    {
        if (it.connection->bev)
            evbuffer_remove_cb(bufferevent_get_input(it.connection->bev), on_input, &it);
        it.charge.reset();
    }

    /// Returns false if the connection has too many unsent answers; it is closed then.
    bool accept_request(evhtp_connection_t &connection, connection_context &it)
    {
        it.request_bytes = 0;
        if (limits_.max_output == 0 || output_bytes(connection) <= limits_.max_output)
            return true;
        limits_.record("answers_unread");
        ::shutdown(connection.sock, SHUT_RDWR);
        return false;
    }

    static evhtp_res on_accept(evhtp_connection_t *connection, void *self)
    {
        auto *const me = static_cast<impl *>(self);
        auto *const context = new connection_context{me, me->next_id_++, connection, 0, {}};
        me->connections_[context->id] = connection;
        me->contexts_[context->id] = context;
        if (me->limits_.account)
            context->charge.emplace(me->limits_.account, limits::client_class::operators, [me, connection] {
                me->limits_.record("memory");
                ::shutdown(connection->sock, SHUT_RDWR);
            });
        evbuffer_add_cb(bufferevent_get_input(connection->bev), on_input, context);
        const int on = 1;
        setsockopt(connection->sock, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        evhtp_connection_set_hook(connection, evhtp_hook_on_connection_fini, to_hook(on_connection_fini),
                                  context);
        return EVHTP_RES_OK;
    }

    static evhtp_res on_connection_fini(evhtp_connection_t * /*connection*/, void *arg)
    {
        const std::unique_ptr<connection_context> context(static_cast<connection_context *>(arg));
        stop_counting(*context);
        context->server->connections_.erase(context->id);
        context->server->contexts_.erase(context->id);
        if (context->server->connection_end_)
            context->server->connection_end_(context->id);
        return EVHTP_RES_OK;
    }

    [[nodiscard]] std::uint64_t id_of(const evhtp_connection_t *connection) const
    {
        for (const auto &[id, it] : connections_) {
            if (it == connection)
                return id;
        }
        return 0;
    }

    static void refuse_request(evhtp_request_t *request, void * /*self*/)
    {
        evhtp_send_reply(request, EVHTP_RES_SERVUNAVAIL);
    }

    static void on_request(evhtp_request_t *request, void *self)
    {
        auto *const me = static_cast<impl *>(self);
        const auto number = me->id_of(request->conn);
        const auto context = me->contexts_.find(number);
        if (context != me->contexts_.end() && !me->accept_request(*request->conn, *context->second)) {
            refuse_request(request, nullptr);
            return;
        }
        server_request out;
        out.method = method_of(request);
        if (request->uri->path->full)
            out.path = request->uri->path->full;
        if (request->uri->query_raw)
            out.query = reinterpret_cast<const char *>(request->uri->query_raw);
        const auto n = evbuffer_get_length(request->buffer_in);
        out.body.resize(n);
        evbuffer_remove(request->buffer_in, out.body.data(), n);
        out.session_token = header_of(request, session_header);
        out.authorization = header_of(request, "Authorization");
        out.user_agent = header_of(request, "User-Agent");
        out.connection = number;
        for (const auto &it : me->captured_headers_)
            out.captured_headers.push_back({it, header_of(request, it.c_str())});
        const auto answer = std::make_shared<evhtp_responder>(request);
        me->handle_(out, answer);
        answer->pause(answer);
    }

    evhtp_t *htp_;
    std::map<std::uint64_t, connection_context *> contexts_; ///< of `connections_`; their hooks own them
    bool listening_ = true;
    std::uint64_t next_id_ = 1;
};

http_server::http_server(event_base *base, const support::address &at, std::size_t max_body, handler handle,
                         server_limits limits)
    : impl_(std::make_unique<impl>(base, at, max_body, std::move(handle), std::move(limits)))
{
}

http_server::~http_server() = default;

void http_server::on_connection_end(connection_hook hook)
{
    impl_->connection_end_ = std::move(hook);
}
void http_server::capture_headers(std::vector<std::string> names)
{
    impl_->captured_headers_ = std::move(names);
}
void http_server::stop_listening()
{
    impl_->stop_listening();
}
void http_server::abort_connections()
{
    impl_->abort_connections();
}
void http_server::abort_connection(std::uint64_t number)
{
    impl_->abort_connection(number);
}
std::size_t http_server::open_connections() const
{
    return impl_->connections_.size();
}

} // namespace baobabport::http
