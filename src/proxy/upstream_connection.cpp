// Socket of an upstream connection, and assignment of received messages to statements.

#include "proxy/upstream_connection.h"

#include "support/json_log.h"
#include "support/socket_options.h"

#include <cerrno>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <variant>

namespace baobabport::proxy {

upstream_connection::upstream_connection(event_base *base, upstream_target target)
    : base_(base), target_(std::move(target))
{
    if (target_.memory)
        charge_.emplace(target_.memory, limits::client_class::callers, [this] { drop_rows(); });
}

upstream_connection::~upstream_connection()
{
    close_socket();
}

void upstream_connection::open(hooks new_hooks)
{
    hooks_ = std::move(new_hooks);
    socket_ = bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(socket_, on_read, nullptr, on_event, this);
    bufferevent_enable(socket_, EV_READ | EV_WRITE);
    std::string out;
    platform::write_open(target_.service, target_.caller, target_.instance, out);
    bufferevent_write(socket_, out.data(), out.size());
    const auto to_address = support::to_sockaddr(target_.at);
    bufferevent_socket_connect(socket_, reinterpret_cast<const sockaddr *>(&to_address), sizeof(to_address));
    support::tune_socket(bufferevent_getfd(socket_));
}

void upstream_connection::send(std::string_view id, std::string_view text, answer_hook done)
{
    if (!socket_) {
        done(std::nullopt);
        return;
    }
    std::string out;
    platform::write_statement(id, text, out);
    waiting_.push_back({std::move(done), {}, support::boot_clock::now()});
    bufferevent_write(socket_, out.data(), out.size());
    if (hooks_.sent)
        hooks_.sent();
}

void upstream_connection::abandon()
{
    hooks_ = {};
    close_socket();
    waiting_.clear();
}

void upstream_connection::on_read(bufferevent *socket, void *self)
{
    const auto me = static_cast<upstream_connection *>(self)->shared_from_this();
    auto *const input = bufferevent_get_input(socket);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    me->reader_.append(bytes);
    while (me->socket_) {
        const auto line = me->reader_.next();
        if (!line)
            break;
        me->handle_message(platform::read_instance_line(*line));
    }
    if (me->socket_ && me->reader_.overflowed())
        me->end(std::nullopt);
    me->charge();
}

void upstream_connection::on_event(bufferevent * /*socket*/, short what, void *self)
{
    const auto me = static_cast<upstream_connection *>(self)->shared_from_this();
    if ((what & BEV_EVENT_ERROR) && !me->was_open_ && EVUTIL_SOCKET_ERROR() == ECONNREFUSED)
        me->no_listener_ = true;
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
        me->end(me->refusal_);
}

void upstream_connection::handle_message(const session::instance_message &message)
{
    if (const auto *const bad = std::get_if<session::unreadable>(&message)) {
        support::log_warning("upstream_message_unreadable",
                             {{"instance", target_.instance}, {"reason", bad->reason}});
        end(std::nullopt);
        return;
    }
    if (!open_) {
        if (const auto *const refusal = std::get_if<session::failure>(&message)) {
            refusal_ = *refusal;
            end(refusal_);
        } else if (std::holds_alternative<session::prompt>(message)) {
            open_ = true;
            was_open_ = true;
            if (const auto hook = hooks_.opened)
                hook();
        }
        return;
    }
    if (waiting_.empty()) {
        // A message without a statement: later messages on this connection could be assigned to wrong
        // statements.
        end(std::nullopt);
        return;
    }
    auto &first = waiting_.front().answer;
    if (const auto *const data = std::get_if<session::row>(&message)) {
        first.add_row(data->data);
        charge();
    } else if (const auto *const done = std::get_if<session::success>(&message))
        first.receipt = done->receipt;
    else if (const auto *const error = std::get_if<session::failure>(&message))
        first.error = *error;
    else if (const auto *const prompt = std::get_if<session::prompt>(&message))
        finish_answer(*prompt);
}

void upstream_connection::charge()
{
    if (!charge_)
        return;
    std::size_t bytes = socket_ ? reader_.held_bytes() : 0;
    for (const auto &it : waiting_)
        bytes += it.answer.rows.empty() ? 0 : it.answer.size;
    charge_->resize(bytes);
}

void upstream_connection::drop_rows()
{
    for (auto &it : waiting_)
        it.answer.drop_rows();
    charge_->resize(socket_ ? reader_.held_bytes() : 0);
}

void upstream_connection::finish_answer(const session::prompt &end_of_answer)
{
    auto first = std::move(waiting_.front());
    waiting_.pop_front();
    state_ = end_of_answer.state;
    if (!first.answer.error && first.answer.receipt.empty()) {
        waiting_.push_front(std::move(first));
        end(std::nullopt);
        return;
    }
    first.answer.finish(end_of_answer);
    if (hooks_.answered)
        hooks_.answered();
    first.done(first.answer);
}

void upstream_connection::end(const std::optional<session::failure> &refusal)
{
    if (!socket_)
        return;
    close_socket();
    auto unanswered = std::move(waiting_);
    waiting_.clear();
    const auto closed = std::move(hooks_.closed);
    hooks_ = {};
    for (auto &it : unanswered)
        it.done(std::nullopt);
    if (closed)
        closed(refusal);
}

void upstream_connection::close_socket()
{
    if (!socket_)
        return;
    const auto socket = bufferevent_getfd(socket_);
    // Unsent data of an abandoned statement must not be delivered after a network partition has healed.
    if (socket >= 0 && (!open_ || !waiting_.empty()))
        support::discard_on_close(socket);
    bufferevent_free(socket_);
    socket_ = nullptr;
    open_ = false;
}

} // namespace baobabport::proxy
