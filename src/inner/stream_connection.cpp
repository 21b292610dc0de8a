#include "inner/stream_connection.h"

#include "inner/message_codec.h"
#include "support/keys.h"
#include "support/socket_options.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nghttp2/nghttp2.h>
#include <optional>
#include <utility>
#include <vector>

namespace baobabport::inner {

namespace {

constexpr std::size_t nonce_size = 16;
constexpr std::uint32_t max_streams = 20000;
constexpr std::int32_t connection_window = 16 << 20;
constexpr std::chrono::milliseconds hello_timeout{3000};
/// The output buffer is filled again when it holds fewer bytes.
constexpr std::size_t low_output = std::size_t{64} * 1024;
/// Memory of a stream without its message, here and in nghttp2.
constexpr std::size_t stream_overhead = 1024;
/// A process whose messages wait to be sent reads something within this time.
constexpr std::chrono::milliseconds unread_timeout{30000};

struct kind_path
{
    message_kind kind;
    const char *path;
};
constexpr std::array<kind_path, 10> kind_paths{{{message_kind::hello, "/hello"},
                                                {message_kind::prove, "/prove"},
                                                {message_kind::statement, "/statement"},
                                                {message_kind::view, "/view"},
                                                {message_kind::document, "/document"},
                                                {message_kind::execute_statement, "/w"},
                                                {message_kind::rollback_transaction, "/e"},
                                                {message_kind::read_directory, "/d"},
                                                {message_kind::deposit_tokens, "/qd"},
                                                {message_kind::withdraw_tokens, "/qw"}}};

const char *path_of(message_kind kind)
{
    const auto *const it = std::find_if(kind_paths.begin(), kind_paths.end(),
                                        [&](const auto &entry) { return entry.kind == kind; });
    return it->path;
}

nghttp2_nv header(const char *name, const char *value)
{
    return {reinterpret_cast<std::uint8_t *>(const_cast<char *>(name)),
            reinterpret_cast<std::uint8_t *>(const_cast<char *>(value)), std::strlen(name),
            std::strlen(value), NGHTTP2_NV_FLAG_NONE};
}

std::string proof_of(const std::string &key, const std::string &nonce, const char *role)
{
    return support::to_base64(support::hmac_sha256(key, nonce + '|' + role));
}

bool verify(const shared_keys &keys, const std::string &nonce, const char *role, const std::string &proof)
{
    if (support::equal_in_constant_time(proof, proof_of(keys.key, nonce, role)))
        return true;
    return !keys.former_key.empty() &&
           support::equal_in_constant_time(proof, proof_of(keys.former_key, nonce, role));
}

timeval to_timeval(std::chrono::milliseconds value)
{
    return {static_cast<time_t>(value.count() / 1000), static_cast<suseconds_t>(value.count() % 1000 * 1000)};
}

} // namespace

class stream_connection::impl
{
public:
    impl(event_base *base, bool client, std::string process, shared_keys keys, hooks connection_hooks,
         link_limits limits)
        : base_(base), client_(client), process_(std::move(process)), keys_(std::move(keys)),
          hooks_(std::move(connection_hooks)), limits_(std::move(limits)),
          nonce_(support::to_base64(support::random_bytes(nonce_size)))
    {
        set_class(client ? limits::client_class::peers : limits::client_class::strangers);
    }

    ~impl()
    {
        for (auto &[id, it] : streams_) {
            if (it.timer)
                event_free(it.timer);
        }
        for (auto &it : queued_) {
            if (it.timer)
                event_free(it.timer);
        }
        if (session_)
            nghttp2_session_del(session_);
        if (socket_)
            bufferevent_free(socket_);
        if (close_event_)
            event_free(close_event_);
        if (proof_timer_)
            event_free(proof_timer_);
    }
    impl(const impl &) = delete;
    impl &operator=(const impl &) = delete;

    void start_client(const support::address &to)
    {
        socket_ = bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
        start_socket();
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port);
        inet_pton(AF_INET, to.ip.c_str(), &address.sin_addr);
        if (bufferevent_socket_connect(socket_, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0)
            schedule_close("connect_failed");
        start_session();
        send_hello();
    }

    void start_server(int socket)
    {
        socket_ = bufferevent_socket_new(base_, socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
        support::tune_socket(socket);
        start_socket();
        const auto unread = to_timeval(unread_timeout);
        bufferevent_set_timeouts(socket_, nullptr, &unread);
        const auto proof = to_timeval(proof_timeout);
        proof_timer_ = evtimer_new(
            base_, [](int, short, void *self) { static_cast<impl *>(self)->check_proof(); }, this);
        evtimer_add(proof_timer_, &proof);
        start_session();
        flush();
    }

    void send(message_kind kind, std::string body, std::chrono::milliseconds timeout, outcome_hook done)
    {
        outgoing it;
        it.kind = kind;
        it.body = std::move(body);
        it.done = std::move(done);
        if (it.body.size() > max_message) {
            it.done({false, false, {}, true});
            return;
        }
        if (closed_ || peer_stopping_) {
            it.done({false, false, {}});
            return;
        }
        if (!authenticated_) {
            it.timeout = timeout;
            queued_.push_back(std::move(it));
            return;
        }
        submit(std::move(it), timeout);
        flush();
    }

    bool reply(stream_id stream, std::string body)
    {
        const auto it = streams_.find(stream);
        if (closed_ || it == streams_.end())
            return false;
        it->second.out = std::move(body);
        it->second.out_sent = 0;
        hold(it->second, it->second.out.size());
        if (closed_)
            return false;
        const std::array<nghttp2_nv, 1> headers{header(":status", "200")};
        nghttp2_data_provider provider{};
        provider.source.ptr = this;
        provider.read_callback = read_body;
        nghttp2_submit_response(session_, stream, headers.data(), headers.size(), &provider);
        flush();
        return true;
    }

    void discard()
    {
        if (socket_)
            support::discard_on_close(bufferevent_getfd(socket_));
        schedule_close("discarded");
    }

    void announce_stop()
    {
        if (closed_)
            return;
        nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(session_),
                              NGHTTP2_NO_ERROR, nullptr, 0);
        flush();
    }

    [[nodiscard]] bool ready() const { return authenticated_ && !closed_ && !peer_stopping_; }
    [[nodiscard]] bool proved() const { return authenticated_; }
    [[nodiscard]] bool stopping() const { return peer_stopping_; }
    [[nodiscard]] std::size_t outstanding() const { return client_ ? streams_.size() + queued_.size() : 0; }

private:
    struct outgoing
    {
        message_kind kind = message_kind::statement;
        std::string body;
        outcome_hook done;
        std::chrono::milliseconds timeout{0};
        event *timer = nullptr;
    };
    struct stream
    {
        impl *owner = nullptr;
        stream_id id = 0;
        message_kind kind = message_kind::statement;
        bool known_kind = false;
        std::string in;
        std::string out;
        std::size_t out_sent = 0;
        std::size_t held = 0; ///< bytes that are charged for it
        outcome_hook done;
        event *timer = nullptr;
        bool too_long = false;
    };

    void start_socket()
    {
        bufferevent_setcb(socket_, on_read, on_write, on_event, this);
        bufferevent_setwatermark(socket_, EV_WRITE, low_output, 0);
        bufferevent_enable(socket_, EV_READ | EV_WRITE);
    }

    void start_session()
    {
        nghttp2_session_callbacks *callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_header_callback(callbacks, on_header);
        nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, on_begin_headers);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, on_data);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, on_frame);
        nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, on_stream_close);
        if (client_)
            nghttp2_session_client_new(&session_, callbacks, this);
        else
            nghttp2_session_server_new(&session_, callbacks, this);
        nghttp2_session_callbacks_del(callbacks);
        const std::array<nghttp2_settings_entry, 2> settings{
            {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_streams},
             {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(max_message)}}};
        nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
        nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, connection_window);
    }

    void send_hello()
    {
        outgoing it;
        it.kind = message_kind::hello;
        it.body = encode(hello{protocol_version, process_, nonce_, {}});
        it.done = [this](const stream_outcome &outcome) { handle_hello_answer(outcome); };
        submit(std::move(it), hello_timeout);
        flush();
    }

    void handle_hello_answer(const stream_outcome &outcome)
    {
        const auto answer = decode<hello>(outcome.body);
        if (!outcome.answered || !answer) {
            schedule_close("no_hello");
            return;
        }
        if (answer->version != protocol_version) {
            schedule_close("other_version");
            return;
        }
        if (!verify(keys_, nonce_, "server", answer->proof)) {
            schedule_close("wrong_key");
            return;
        }
        outgoing it;
        it.kind = message_kind::prove;
        it.body = encode(hello{protocol_version, process_, {}, proof_of(keys_.key, answer->nonce, "client")});
        it.done = [this](const stream_outcome &prove_outcome) {
            if (!prove_outcome.answered)
                schedule_close("key_refused");
        };
        submit(std::move(it), hello_timeout);
        authenticated_ = true;
        for (auto &next : std::exchange(queued_, {})) {
            const auto timeout = next.timeout;
            submit(std::move(next), timeout);
        }
        flush();
    }

    void submit(outgoing &&message, std::chrono::milliseconds timeout)
    {
        const std::array<nghttp2_nv, 4> headers{header(":method", "POST"), header(":scheme", "http"),
                                                header(":authority", "baobabport"),
                                                header(":path", path_of(message.kind))};
        nghttp2_data_provider provider{};
        provider.source.ptr = this;
        provider.read_callback = read_body;
        const auto id =
            nghttp2_submit_request(session_, nullptr, headers.data(), headers.size(), &provider, nullptr);
        if (id < 0) {
            message.done({false, false, {}});
            return;
        }
        auto &it = streams_[id];
        it.owner = this;
        it.id = id;
        it.kind = message.kind;
        it.out = std::move(message.body);
        it.done = std::move(message.done);
        it.timer = evtimer_new(base_, on_timeout, &it);
        const auto tv = to_timeval(timeout);
        evtimer_add(it.timer, &tv);
    }

    void flush()
    {
        if (closed_)
            return;
        auto *const out = bufferevent_get_output(socket_);
        while (evbuffer_get_length(out) < max_output) {
            const std::uint8_t *data = nullptr;
            const auto n = nghttp2_session_mem_send(session_, &data);
            if (n < 0) {
                schedule_close("protocol_error");
                return;
            }
            if (n == 0)
                return;
            evbuffer_add(out, data, static_cast<std::size_t>(n));
        }
    }

    void end_stream(stream_id id, const stream_outcome &outcome)
    {
        const auto it = streams_.find(id);
        if (it == streams_.end())
            return;
        set_held(it->second, 0);
        auto done = std::move(it->second.done);
        if (it->second.timer)
            event_free(it->second.timer);
        streams_.erase(it);
        if (done)
            done(outcome);
    }

    /// Charges what the link holds to this class from now on.
    void set_class(limits::client_class of)
    {
        if (!limits_.account)
            return;
        class_ = of;
        charge_.emplace(limits_.account, of, [this] { shed(); });
        charge();
    }

    void charge()
    {
        if (charge_ && socket_)
            charge_->resize(held_ + evbuffer_get_length(bufferevent_get_output(socket_)));
    }

    /// Charges a stream and this many bytes for it. This may shed the link.
    void hold(stream &it, std::size_t bytes) { set_held(it, stream_overhead + bytes); }

    void set_held(stream &it, std::size_t bytes)
    {
        held_ = held_ - it.held + bytes;
        it.held = bytes;
        charge();
    }

    /// Returns whether the link may receive this many more bytes. A stranger always may: if the strangers
    /// have too much together, the one that has most is closed, and a process that proves its key has little.
    [[nodiscard]] bool has_room(std::size_t bytes) const
    {
        return !charge_ || class_ == limits::client_class::strangers || limits_.account->fits(class_, bytes);
    }

    /// Releases what the link holds, since it holds the most of all. The server's end closes it; the client's
    /// end goes on without the answers that were arriving.
    void shed()
    {
        limits_.record("memory");
        if (!client_)
            schedule_close("memory");
        held_ = 0;
        for (auto &[id, it] : streams_) {
            it.held = 0;
            it.too_long = it.too_long || !it.in.empty();
            it.in = {};
            if (client_)
                continue;
            it.out = {};
            it.out_sent = 0;
        }
        charge_->resize(0);
    }

    /// Closes the link for what the other side did before it proved its key.
    void close_unproved(const char *reason)
    {
        if (closed_)
            return;
        limits_.record(reason);
        schedule_close(reason);
    }

    void check_proof()
    {
        if (!authenticated_)
            close_unproved("no_proof");
    }

    void refuse_for_memory(stream_id id)
    {
        limits_.record("message_refused");
        nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_REFUSED_STREAM);
        end_stream(id, {});
    }

    void schedule_close(const std::string &reason)
    {
        if (closed_)
            return;
        closed_ = true;
        reason_ = reason;
        if (!close_event_)
            close_event_ = evtimer_new(base_, on_close, this);
        const timeval at_once{0, 0};
        evtimer_add(close_event_, &at_once);
    }

    static void on_close(int /*socket*/, short /*what*/, void *self)
    {
        auto *const me = static_cast<impl *>(self);
        // Messages that were still queued here did not arrive; the others may have arrived.
        for (auto &it : std::exchange(me->queued_, {}))
            it.done({false, false, {}});
        std::vector<stream_id> ids;
        for (const auto &[id, it] : me->streams_)
            ids.push_back(id);
        for (const auto id : ids)
            me->end_stream(id, {false, me->connected_, {}});
        const auto closed = me->hooks_.closed;
        if (closed)
            closed(me->reason_); // may destroy this object
    }

    static void on_timeout(int /*socket*/, short /*what*/, void *stream_pointer)
    {
        auto *const it = static_cast<stream *>(stream_pointer);
        auto *const me = it->owner;
        const auto id = it->id;
        nghttp2_submit_rst_stream(me->session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
        me->end_stream(id, {false, me->connected_, {}});
        me->flush();
    }

    static void on_read(bufferevent *socket, void *self)
    {
        auto *const me = static_cast<impl *>(self);
        if (me->closed_)
            return;
        auto *const in = bufferevent_get_input(socket);
        while (evbuffer_get_length(in) > 0) {
            const auto n = evbuffer_get_contiguous_space(in);
            const auto *const data = evbuffer_pullup(in, static_cast<ev_ssize_t>(n));
            const auto consumed = nghttp2_session_mem_recv(me->session_, data, n);
            if (consumed < 0) {
                me->schedule_close("protocol_error");
                return;
            }
            evbuffer_drain(in, static_cast<std::size_t>(consumed));
        }
        me->flush();
    }

    static void on_write(bufferevent * /*socket*/, void *self) { static_cast<impl *>(self)->flush(); }

    static void on_event(bufferevent * /*socket*/, short what, void *self)
    {
        auto *const me = static_cast<impl *>(self);
        if (what & BEV_EVENT_CONNECTED) {
            me->connected_ = true;
            support::tune_socket(bufferevent_getfd(me->socket_));
            return;
        }
        if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
            me->schedule_close(me->client_ && !me->connected_ ? "connect_failed" : "connection_ended");
    }

    static ssize_t read_body(nghttp2_session * /*session*/, std::int32_t id, std::uint8_t *buf,
                             std::size_t length, std::uint32_t *flags, nghttp2_data_source *source,
                             void * /*user*/)
    {
        auto *const me = static_cast<impl *>(source->ptr);
        const auto it = me->streams_.find(id);
        if (it == me->streams_.end())
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        auto &out = it->second.out;
        auto &sent = it->second.out_sent;
        const auto n = std::min(length, out.size() - sent);
        std::copy_n(out.data() + sent, n, buf);
        sent += n;
        if (sent == out.size())
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(n);
    }

    static int on_begin_headers(nghttp2_session * /*session*/, const nghttp2_frame *frame, void *self)
    {
        auto *const me = static_cast<impl *>(self);
        if (!me->client_ && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
            auto &it = me->streams_[frame->hd.stream_id];
            it.owner = me;
            it.id = frame->hd.stream_id;
            if (me->has_room(stream_overhead))
                me->hold(it, 0);
            else
                me->refuse_for_memory(frame->hd.stream_id);
        }
        return 0;
    }

    static int on_header(nghttp2_session * /*session*/, const nghttp2_frame *frame, const std::uint8_t *name,
                         std::size_t name_length, const std::uint8_t *value, std::size_t value_length,
                         std::uint8_t /*flags*/, void *self)
    {
        auto *const me = static_cast<impl *>(self);
        const std::string_view key(reinterpret_cast<const char *>(name), name_length);
        if (me->client_ || key != ":path")
            return 0;
        const std::string_view path(reinterpret_cast<const char *>(value), value_length);
        for (const auto &it : kind_paths) {
            if (path != it.path)
                continue;
            const auto stream = me->streams_.find(frame->hd.stream_id);
            if (stream == me->streams_.end())
                break; // refused
            stream->second.kind = it.kind;
            stream->second.known_kind = true;
        }
        return 0;
    }

    static int on_data(nghttp2_session * /*session*/, std::uint8_t /*flags*/, std::int32_t id,
                       const std::uint8_t *data, std::size_t length, void *self)
    {
        auto *const me = static_cast<impl *>(self);
        const auto it = me->streams_.find(id);
        if (it == me->streams_.end() || me->closed_)
            return 0;
        auto &in = it->second.in;
        const bool proves = it->second.kind == message_kind::hello || it->second.kind == message_kind::prove;
        if (!me->client_ && proves && in.size() + length > max_proof_message) {
            me->close_unproved("proof_too_long");
            return 0;
        }
        if (in.size() + length > max_message) {
            it->second.too_long = true;
            return 0;
        }
        if (!me->has_room(length * copies_of_message)) {
            if (!me->client_) {
                me->refuse_for_memory(id);
                return 0;
            }
            me->limits_.record("answer_dropped");
            it->second.too_long = true;
            in = {};
            me->hold(it->second, 0);
        }
        if (it->second.too_long)
            return 0;
        in.append(reinterpret_cast<const char *>(data), length);
        me->hold(it->second, in.size() * copies_of_message);
        return 0;
    }

    static int on_frame(nghttp2_session * /*session*/, const nghttp2_frame *frame, void *self)
    {
        auto *const me = static_cast<impl *>(self);
        if (frame->hd.type == NGHTTP2_GOAWAY) {
            me->peer_stopping_ = true;
            return 0;
        }
        const bool ends_stream = frame->hd.flags & NGHTTP2_FLAG_END_STREAM;
        const bool has_payload = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        if (!ends_stream || !has_payload)
            return 0;
        const auto it = me->streams_.find(frame->hd.stream_id);
        if (it == me->streams_.end())
            return 0;
        if (me->client_)
            me->end_stream(it->first, {!it->second.too_long, true, std::move(it->second.in)});
        else
            me->handle_message(it->second);
        return 0;
    }

    static int on_stream_close(nghttp2_session * /*session*/, std::int32_t id, std::uint32_t error_code,
                               void *self)
    {
        auto *const me = static_cast<impl *>(self);
        // HTTP/2 guarantees that a refused stream was not processed.
        me->end_stream(id, {false, error_code != NGHTTP2_REFUSED_STREAM, {}});
        return 0;
    }

    void handle_message(stream &it)
    {
        const auto id = it.id;
        if (closed_)
            return;
        if (it.too_long || !it.known_kind) {
            nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_REFUSED_STREAM);
            return;
        }
        const auto body = std::move(it.in);
        if (it.kind == message_kind::hello) {
            handle_hello(id, body);
            return;
        }
        if (it.kind == message_kind::prove) {
            handle_proof(id, body);
            return;
        }
        if (!authenticated_) {
            nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_REFUSED_STREAM);
            return;
        }
        if (hooks_.received)
            hooks_.received(it.kind, body, id);
    }

    void handle_hello(stream_id id, const std::string &body)
    {
        const auto message = decode<hello>(body);
        if (!message) {
            schedule_close("bad_hello");
            return;
        }
        reply(id, encode(hello{protocol_version, process_, nonce_,
                               proof_of(keys_.key, message->nonce, "server")}));
    }

    void handle_proof(stream_id id, const std::string &body)
    {
        const auto message = decode<hello>(body);
        if (!message || !verify(keys_, nonce_, "client", message->proof)) {
            schedule_close("wrong_key");
            return;
        }
        authenticated_ = true;
        set_class(limits::client_class::peers);
        reply(id, {});
    }

    event_base *base_;
    bool client_;
    std::string process_;
    shared_keys keys_;
    hooks hooks_;
    link_limits limits_;
    std::string nonce_;
    bufferevent *socket_ = nullptr;
    nghttp2_session *session_ = nullptr;
    event *close_event_ = nullptr;
    event *proof_timer_ = nullptr;
    std::optional<limits::memory_charge> charge_;
    limits::client_class class_ = limits::client_class::peers; ///< of `charge_`
    std::size_t held_ = 0;                                     ///< sum of the streams' `held`
    std::map<stream_id, stream> streams_; ///< timers point to the entries, whose addresses must stay valid
    std::vector<outgoing> queued_;        ///< until the other side has proved its key
    std::string reason_;
    bool connected_ = false;
    bool authenticated_ = false;
    bool peer_stopping_ = false;
    bool closed_ = false;
};

std::unique_ptr<stream_connection> stream_connection::connect(event_base *base, const support::address &to,
                                                              const std::string &process,
                                                              const shared_keys &keys, hooks connection_hooks,
                                                              link_limits limits)
{
    auto it =
        std::make_unique<impl>(base, true, process, keys, std::move(connection_hooks), std::move(limits));
    it->start_client(to);
    return std::unique_ptr<stream_connection>(new stream_connection(std::move(it)));
}

std::unique_ptr<stream_connection> stream_connection::accept(event_base *base, int socket,
                                                             const std::string &process,
                                                             const shared_keys &keys, hooks connection_hooks,
                                                             link_limits limits)
{
    auto it =
        std::make_unique<impl>(base, false, process, keys, std::move(connection_hooks), std::move(limits));
    it->start_server(socket);
    return std::unique_ptr<stream_connection>(new stream_connection(std::move(it)));
}

stream_connection::stream_connection(std::unique_ptr<impl> it) : impl_(std::move(it)) {}
stream_connection::~stream_connection() = default;

void stream_connection::send(message_kind kind, std::string body, std::chrono::milliseconds timeout,
                             outcome_hook done)
{
    impl_->send(kind, std::move(body), timeout, std::move(done));
}

bool stream_connection::reply(stream_id stream, std::string body)
{
    return impl_->reply(stream, std::move(body));
}
void stream_connection::discard()
{
    impl_->discard();
}
void stream_connection::announce_stop()
{
    impl_->announce_stop();
}
bool stream_connection::ready() const
{
    return impl_->ready();
}
bool stream_connection::proved() const
{
    return impl_->proved();
}
bool stream_connection::stopping() const
{
    return impl_->stopping();
}
std::size_t stream_connection::outstanding() const
{
    return impl_->outstanding();
}

} // namespace baobabport::inner
