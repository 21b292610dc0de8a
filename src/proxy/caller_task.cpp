// Parses the messages of a caller, answers them locally or forwards them, and closes the session.

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
using session::statement_kind;
using session::transaction_state;

caller_task::caller_task(const session_environment &environment, int socket, std::uint64_t number,
                         std::function<void(std::uint64_t)> ended)
    : environment_(environment), number_(number), ended_(std::move(ended)),
      session_(std::make_shared<session::session_context>()), last_message_(clock_type::now())
{
    socket_ = bufferevent_socket_new(environment_.base, socket, BEV_OPT_CLOSE_ON_FREE);
    support::tune_socket(socket);
}

caller_task::~caller_task()
{
    if (socket_)
        bufferevent_free(socket_);
}

void caller_task::start()
{
    bufferevent_setcb(socket_, on_read, on_write, on_event, this);
    bufferevent_setwatermark(socket_, EV_READ, 0, max_buffered_input);
    bufferevent_enable(socket_, EV_READ | EV_WRITE);
}

void caller_task::on_read(bufferevent * /*socket*/, void *self)
{
    const auto me = static_cast<caller_task *>(self)->shared_from_this();
    me->process_lines();
}

std::optional<std::string> caller_task::next_line()
{
    if (auto line = reader_.next())
        return line;
    auto *const input = bufferevent_get_input(socket_);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    reader_.append(bytes);
    return reader_.next();
}

void caller_task::on_write(bufferevent * /*socket*/, void *self)
{
    const auto me = static_cast<caller_task *>(self)->shared_from_this();
    if (me->phase_ == phase::closing)
        me->end();
    else
        me->process_lines(); // the output buffer has drained; statements may start again
}

bool caller_task::output_is_full() const
{
    return evbuffer_get_length(bufferevent_get_output(socket_)) > max_buffered_output;
}

void caller_task::on_event(bufferevent * /*socket*/, short what, void *self)
{
    const auto me = static_cast<caller_task *>(self)->shared_from_this();
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
        me->end();
}

void caller_task::process_lines()
{
    if (processing_lines_)
        return; // a statement completed synchronously; the outer call continues its loop
    processing_lines_ = true;
    // One statement at a time; pipelined statements stay in the input buffer.
    while (socket_ && !run_ && !awaits_routes_ && phase_ != phase::closing && !output_is_full()) {
        const auto line = next_line();
        if (!line)
            break;
        handle_message(platform::read_caller_line(*line));
    }
    processing_lines_ = false;
    if (socket_ && reader_.overflowed()) {
        std::string out;
        platform::write_failure(answer_code::malformed, "the message is too long", out);
        reply(out);
        close_after_write();
    }
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

void caller_task::handle_message(const session::statement_request &message)
{
    if (phase_ != phase::ready) {
        std::string out;
        platform::write_failure(answer_code::malformed, "no database is named yet", out);
        reply(out);
        close_after_write();
        return;
    }
    if (key_removed_)
        return handle_denied();
    if (message.id == platform::own_statement_id) {
        reply_failure(answer_code::malformed, "this id is reserved for the proxy's own statements");
        return;
    }
    const auto parsed = session::parse_statement(message.text);
    if (!parsed) {
        reply_failure(answer_code::malformed, "not a statement");
        return;
    }
    const bool ends = parsed->kind == statement_kind::commit || parsed->kind == statement_kind::rollback;
    if (state() == transaction_state::failed && !ends) {
        reply_failure(answer_code::malformed, "the transaction has failed and must be ended");
        return;
    }
    switch (parsed->kind) {
    case statement_kind::read:
    case statement_kind::write:
    case statement_kind::execute:
    case statement_kind::commit:
        forward(*parsed, message);
        return;
    default:
        answer_locally(*parsed, message);
    }
}

void caller_task::answer_locally(const session::statement &what,
                                 const session::statement_request & /*message*/)
{
    switch (what.kind) {
    case statement_kind::begin:
    case statement_kind::begin_read:
        begin(what.kind == statement_kind::begin_read);
        return;
    case statement_kind::rollback:
        roll_back();
        return;
    case statement_kind::set_value:
        if (!session_->set_value(what.name, what.argument))
            return reply_failure(answer_code::malformed, session_->last_reason());
        break;
    case statement_kind::prepare:
        if (!session_->prepare(what.name, {what.prepares_write, what.argument}))
            return reply_failure(answer_code::malformed, session_->last_reason());
        break;
    case statement_kind::close_prepared:
        if (!session_->close_prepared(what.name))
            return reply_failure(answer_code::unknown_name, "no prepared statement has this name");
        break;
    default:
        break;
    }
    reply_success();
}

void caller_task::begin(bool read_only)
{
    if (transaction_)
        return reply_failure(answer_code::malformed, "a transaction is open already");
    const auto destination = route();
    if (!destination)
        return reply_failure(answer_code::no_database, "no route has this database");
    if (!admit(*destination, false))
        return;
    transaction_ = std::make_shared<transaction>();
    transaction_->route = destination;
    transaction_->group = environment_.group_of(destination->service);
    transaction_->read_only = read_only;
    transaction_->begun_at = clock_type::now();
    reply_success();
}

void caller_task::roll_back()
{
    if (!transaction_)
        return reply_failure(answer_code::malformed, "no transaction is open");
    release_transaction();
    reply_success();
}

void caller_task::forward(const session::statement &what, const session::statement_request &message)
{
    if (what.kind == statement_kind::commit) {
        if (!transaction_)
            return reply_failure(answer_code::malformed, "no transaction is open");
        if (failed_transaction_) {
            release_transaction();
            return reply_failure(answer_code::aborted, "the transaction had failed and is rolled back");
        }
    }
    run_request request;
    request.id = message.id;
    request.text = message.text;
    request.parsed = what;
    request.writes = what.kind == statement_kind::write;
    request.arrived_at = last_message_;
    request.route = transaction_ ? transaction_->route : route();
    if (!request.route)
        return reply_failure(answer_code::no_database, "no route has this database");
    if (!admit(*request.route, what.kind == statement_kind::commit))
        return;
    request.workspace = request.route->is_public ? std::string() : workspace_;
    if (!request.workspace.empty() && environment_.take_token) {
        request.return_token = [give = environment_.return_token, workspace = request.workspace] {
            give(workspace);
        };
        request.take_token = [take = environment_.take_token, workspace = request.workspace](auto done) {
            take(workspace, std::move(done));
        };
    }
    if (what.kind == statement_kind::execute) {
        const auto *const prepared = session_->find_prepared(what.name);
        if (!prepared) {
            failed_transaction_ = transaction_ != nullptr;
            return reply_failure(answer_code::unknown_name, "no prepared statement has this name");
        }
        request.prepared = *prepared;
        request.writes = prepared->writes;
    }
    const auto group = transaction_ ? transaction_->group : environment_.group_of(request.route->service);
    run_ = std::make_shared<statement_run>(environment_.base, environment_.executor, std::move(request),
                                           session_, group, transaction_);
    const std::weak_ptr<caller_task> weak = weak_from_this();
    const auto run = run_; // keeps the object alive: it may finish before `start` returns
    run->start([weak, id = message.id](run_result result) {
        if (const auto me = weak.lock())
            me->handle_result(id, std::move(result));
    });
}

void caller_task::handle_result(const std::string &id, run_result result)
{
    run_.reset();
    const auto took =
        std::chrono::duration_cast<std::chrono::microseconds>(clock_type::now() - last_message_);
    const auto outcome = result.error ? std::string(platform::code_word(result.error->code)) : "ok";
    environment_.metrics->count("baobabport_statements_total", "outcome=\"" + outcome + '"');
    environment_.metrics->record("baobabport_statement_seconds", "", took);
    const auto took_ms = std::to_string(took.count() / 1000);
    if (result.error) {
        support::log_event("statement_failed", {{"id", id},
                                                {"database", database_},
                                                {"instance", result.instance},
                                                {"code", outcome},
                                                {"reason", result.error->text},
                                                {"took_ms", took_ms},
                                                {"version", std::to_string(environment_.routes->version())}});
    } else {
        support::log_routine(
            "statement_served",
            {{"id", id}, {"database", database_}, {"instance", result.instance}, {"took_ms", took_ms}});
    }
    if (result.ends_transaction)
        release_transaction();
    failed_transaction_ = failed_transaction_ || result.fails_transaction;
    std::string out;
    for (const auto &it : result.rows)
        platform::write_row(it, out);
    if (result.error)
        platform::write_failure(result.error->code, result.error->text, out);
    else
        platform::write_success(result.receipt, out);
    platform::write_prompt(state(), out);
    reply(out);
    if (key_removed_)
        release_transaction(); // a caller that does not read its answer would keep it open
    if ((close_when_idle_ && idle()) || key_removed_)
        return close_after_write();
    process_lines();
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
    if (socket_)
        bufferevent_write(socket_, bytes.data(), bytes.size());
}

void caller_task::release_transaction()
{
    const auto ended = std::move(transaction_);
    transaction_.reset();
    failed_transaction_ = false;
    if (ended && ended->id != 0)
        environment_.executor->end_transaction(ended->vm, ended->id);
}

void caller_task::end_transaction(const std::string &reason)
{
    if (!transaction_ || run_ || failed_transaction_)
        return;
    support::log_event("transaction_ended", {{"database", database_}, {"reason", reason}});
    if (transaction_->id != 0)
        environment_.executor->end_transaction(transaction_->vm, transaction_->id);
    transaction_->id = 0;
    failed_transaction_ = true;
}

void caller_task::tick(time_point now)
{
    if (!socket_)
        return; // it ended within the loop that calls this
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
    if (!socket_)
        return;
    bufferevent_disable(socket_, EV_READ);
    if (evbuffer_get_length(bufferevent_get_output(socket_)) == 0)
        end();
}

void caller_task::end()
{
    if (!socket_)
        return;
    bufferevent_free(socket_);
    socket_ = nullptr;
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
