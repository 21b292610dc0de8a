// Reads the messages of a caller, writes the answers, and closes the session.

#include "proxy/caller_task.h"

#include "support/boot_clock.h"
#include "support/json_log.h"
#include "support/socket_options.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>
#include <utility>
#include <variant>

namespace baobabport::proxy {

using clock_type = support::boot_clock;
using session::answer_code;
using session::transaction_state;

caller_task::caller_task(const session_environment &environment, int socket, std::uint64_t number,
                         std::function<void(std::uint64_t)> ended)
    : environment_(environment), accepted_(socket), number_(number), ended_(std::move(ended)),
      session_(std::make_shared<session::session_context>()), last_message_(clock_type::now())
{
}

caller_task::~caller_task() = default;

void caller_task::start()
{
    buffers_ = std::make_unique<caller_buffers>(environment_.base, accepted_, environment_.limits,
                                                [weak = weak_from_this()] {
                                                    if (const auto me = weak.lock())
                                                        me->shed("memory");
                                                });
    bufferevent_setcb(buffers_->socket(), on_read, on_write, on_event, this);
    buffers_->start();
}

void caller_task::on_read(bufferevent * /*socket*/, void *self)
{
    const auto me = static_cast<caller_task *>(self)->shared_from_this();
    try {
        me->buffers_->note_arrival(clock_type::now());
        me->process_lines();
        me->charge();
    } catch (const std::bad_alloc &) {
        me->shed("no_memory");
    }
}

void caller_task::on_write(bufferevent * /*socket*/, void *self)
{
    const auto me = static_cast<caller_task *>(self)->shared_from_this();
    if (me->phase_ == phase::closing) {
        me->end();
        return;
    }
    try {
        me->process_lines(); // the output buffer has drained; statements may start again
        me->charge();
    } catch (const std::bad_alloc &) {
        me->shed("no_memory");
    }
}

void caller_task::on_event(bufferevent * /*socket*/, short what, void *self)
{
    const auto me = static_cast<caller_task *>(self)->shared_from_this();
    if (what & BEV_EVENT_TIMEOUT)
        me->shed("answers_unread");
    else if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
        me->end();
}

void caller_task::process_lines()
{
    if (processing_lines_)
        return; // a statement completed synchronously; the outer call continues its loop
    processing_lines_ = true;
    // One statement at a time; pipelined statements stay in the input buffer.
    while (open() && !run_ && !awaits_routes_ && phase_ != phase::closing && !buffers_->output_is_full()) {
        const auto line = buffers_->next_line();
        if (!line)
            break;
        handle_message(platform::read_caller_line(*line));
    }
    processing_lines_ = false;
    if (open() && phase_ != phase::closing && buffers_->overflowed()) {
        std::string out;
        platform::write_failure(answer_code::malformed, "the message is too long", out);
        reply(out);
        close_after_write();
    }
}

void caller_task::charge()
{
    if (!open())
        return;
    const bool waits_for_message =
        !run_ && !awaits_routes_ && phase_ != phase::closing && !buffers_->output_is_full();
    buffers_->charge(session_->held_bytes(), run_ ? statement_bytes_ : 0, waits_for_message,
                     clock_type::now());
}

std::optional<time_point> caller_task::resting_since() const
{
    if (run_ || (transaction_ && !failed_transaction_))
        return std::nullopt;
    return last_message_;
}

void caller_task::shed(const char *reason)
{
    if (!open())
        return;
    environment_.limits->record(limits::client_class::callers, reason);
    end();
}

void caller_task::handle_message(const session::caller_message &message)
{
    last_message_ = clock_type::now();
    if (const auto *const open = std::get_if<session::open_session>(&message)) {
        handle_message(*open);
    } else if (const auto *const statement = std::get_if<session::statement_request>(&message)) {
        handle_message(*statement);
    } else if (std::holds_alternative<session::close_session>(message)) {
        end();
    } else {
        std::string out;
        platform::write_failure(answer_code::malformed, std::get<session::unreadable>(message).reason, out);
        if (phase_ == phase::ready)
            platform::write_prompt(state(), out);
        reply(out);
        if (phase_ != phase::ready)
            close_after_write();
    }
}

void caller_task::handle_message(const session::open_session &message)
{
    std::string out;
    if (phase_ != phase::opening) {
        platform::write_failure(answer_code::malformed, "the session is open already", out);
        platform::write_prompt(state(), out);
        reply(out);
        return;
    }
    database_ = message.database;
    key_hash_ = workspace::hash_of_key(message.caller);
    if (!environment_.routes->loaded()) {
        awaits_routes_ = true; // `tick` continues
        environment_.directory_needed();
        return;
    }
    open_session();
}

void caller_task::reply_success()
{
    std::string out;
    platform::write_success({}, out);
    platform::write_prompt(state(), out);
    reply(out);
    if (close_when_idle_ && idle())
        close_after_write();
}

void caller_task::reply_failure(answer_code code, const std::string &text)
{
    std::string out;
    platform::write_failure(code, text, out);
    platform::write_prompt(state(), out);
    reply(out);
}

void caller_task::reply(const std::string &bytes)
{
    if (open())
        buffers_->write(bytes);
}

void caller_task::tick(time_point now)
{
    if (!open())
        return; // it ended within the loop that calls this
    if (buffers_->awaits_memory())
        charge();
    if (!open())
        return; // it was shed
    if (const auto *const reason = buffers_->expired(now)) {
        shed(reason);
        return;
    }
    if (awaits_routes_ && (environment_.routes->loaded() || now - last_message_ > routes_timeout)) {
        open_session();
        process_lines();
    }
    if (phase_ == phase::opening && now - last_message_ > open_timeout) {
        end();
        return;
    }
    if (run_) {
        const auto run = run_; // released when it finishes
        if (run->needs_key() && !environment_.keys_are_current())
            run->revoke(answer_code::busy, keys_outdated);
        run->tick(now);
        return;
    }
    if (transaction_ && now - last_message_ > environment_.routes->state().transaction_idle)
        end_transaction("idle for too long");
}

void caller_task::close_when_idle()
{
    close_when_idle_ = true;
    if (idle() && phase_ != phase::closing)
        close_after_write();
}

void caller_task::close_after_write()
{
    phase_ = phase::closing;
    if (!open())
        return;
    buffers_->stop_reading();
    if (evbuffer_get_length(bufferevent_get_output(buffers_->socket())) == 0)
        end();
}

void caller_task::end()
{
    if (!open())
        return;
    buffers_->close();
    if (run_) {
        run_->abandon();
        run_.reset();
    }
    release_transaction();
    ended_(number_); // may destroy this object
}

transaction_state caller_task::state() const
{
    if (!transaction_)
        return transaction_state::none;
    return failed_transaction_ ? transaction_state::failed : transaction_state::open;
}

std::shared_ptr<const directory::route> caller_task::route()
{
    return environment_.routes->find(database_);
}

} // namespace baobabport::proxy
