// The statements of a caller's session: which are answered locally, which are forwarded, and what becomes of
// its transaction.

#include "proxy/caller_task.h"
#include "support/boot_clock.h"
#include "support/json_log.h"

#include <utility>

namespace baobabport::proxy {

using clock_type = support::boot_clock;
using session::answer_code;
using session::statement_kind;
using session::transaction_state;

namespace {

constexpr const char *no_memory = "no memory is left for a statement of this size; retry in 1000 ms";

} // namespace

bool caller_task::has_room(std::size_t bytes)
{
    if (buffers_->has_room(bytes))
        return true;
    environment_.limits->record(limits::client_class::callers, "statement_refused");
    failed_transaction_ = transaction_ != nullptr;
    reply_failure(transaction_ ? answer_code::aborted : answer_code::busy, no_memory);
    return false;
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
    if (environment_.shutdown->transactions_end(last_message_))
        end_transaction("the process stops");
    const bool ends = parsed->kind == statement_kind::commit || parsed->kind == statement_kind::rollback;
    if (state() == transaction_state::failed && !ends) {
        if (std::exchange(end_unreported_, false)) {
            reply_failure(answer_code::aborted, "the transaction is rolled back");
            return;
        }
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

void caller_task::answer_locally(const session::statement &what, const session::statement_request &message)
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
        if (!has_room(message.text.size()))
            return;
        if (!session_->set_value(what.name, what.argument))
            return reply_failure(answer_code::malformed, session_->last_reason());
        break;
    case statement_kind::prepare:
        if (!has_room(message.text.size()))
            return;
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
    if (what.kind != statement_kind::commit && !has_room(message.text.size()))
        return;
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
    statement_bytes_ = message.text.size();
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
    charge();
}

void caller_task::release_transaction()
{
    const auto ended = std::move(transaction_);
    transaction_.reset();
    failed_transaction_ = false;
    end_unreported_ = false;
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
    end_unreported_ = true;
}

void caller_task::stop_statement()
{
    if (const auto run = run_) // released when it finishes
        run->stop();
}

} // namespace baobabport::proxy
