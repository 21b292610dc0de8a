// Setup of a connection for a statement: values and prepared statements of its session.

#include "proxy/statement_execution.h"

#include "support/json_log.h"

#include <utility>

namespace baobabport::proxy {

using inner::execute_outcome;
using session::transaction_state;

namespace {

/// Returns why a statement that prepares a connection failed; empty if it succeeded.
std::string preparation_failure(const char *what, const std::optional<session::statement_answer> &answer)
{
    if (!answer)
        return "the connection was lost";
    if (!answer->error)
        return {};
    return std::string(what) + " got " + std::string(platform::code_word(answer->error->code)) + ' ' +
           answer->error->text;
}

/// Returns true if the code of a refused value says that another instance would refuse it, too.
bool refuses_value(session::answer_code code)
{
    return code == session::answer_code::read_only || code == session::answer_code::malformed;
}

/// Returns the refusal under a code that is not taken for the statement's own: after READONLY, the caller's
/// VM would look for another primary.
session::statement_answer as_malformed(session::statement_answer answer, const std::string &what)
{
    answer.error =
        session::failure{session::answer_code::malformed, preparation_failure(what.c_str(), answer)};
    return answer;
}

} // namespace

void statement_execution::prepare()
{
    auto &it = *connection_;
    it.deadline = deadline_;
    struct progress
    {
        int outstanding = 1; ///< outstanding answers, and 1 until this function has sent all its statements
        std::string failure; ///< of the first statement that failed; empty: none
        std::optional<session::statement_answer> refused; ///< first refusal of a value or the shape
        bool shape_refused = false;
    };
    const auto state = std::make_shared<progress>();
    const auto one_done = [self = shared_from_this(), state](const std::string &failure) {
        if (state->failure.empty())
            state->failure = failure;
        if (--state->outstanding > 0)
            return;
        if (!state->failure.empty()) {
            self->fail_connection(execute_outcome::not_run,
                                  "the connection could not be prepared: " + state->failure);
            return;
        }
        if (state->shape_refused)
            self->connection_->session_state.forget(*self->request_.prepared);
        if (state->refused)
            self->handle_answer(state->refused);
        else
            self->begin();
    };
    const auto send = [&it, state, one_done](const char *what, const std::string &text) {
        ++state->outstanding;
        it.send(platform::own_statement_id, text,
                [one_done, what](const auto &answer) { one_done(preparation_failure(what, answer)); });
    };
    const auto send_value = [&it, state, one_done](const std::string &name, const std::string &text) {
        ++state->outstanding;
        const bool in_transaction = it.state() != transaction_state::none;
        it.send(platform::own_statement_id, text, [=, connection = it.weak_from_this()](const auto &answer) {
            const auto still_open = connection.lock();
            if (!answer || !answer->error || !refuses_value(answer->error->code) || in_transaction ||
                !still_open)
                return one_done(preparation_failure("session value", answer));
            still_open->session_state.refuse_value();
            if (!state->refused)
                state->refused = as_malformed(*answer, "SET " + name);
            one_done({});
        });
    };
    const auto send_shape = [&it, state, one_done](const std::string &text) {
        ++state->outstanding;
        it.send(platform::own_statement_id, text, [state, one_done](const auto &answer) {
            // Another instance would refuse it, too.
            if (answer && answer->error && answer->error->code == session::answer_code::malformed) {
                state->shape_refused = true;
                if (!state->refused)
                    state->refused = answer;
                one_done({});
            } else
                one_done(preparation_failure("prepared statement", answer));
        });
    };
    if (request_.id == platform::own_statement_id) { // needs no session state
        one_done({});
        return;
    }
    const auto setup =
        it.session_state.require(request_.values, request_.prepared, it.state() != transaction_state::none);
    if (setup.reset)
        send("reset", platform::reset_text());
    for (const auto &name : setup.close)
        send("closing a name", platform::close_text(name));
    for (const auto &[name, value] : setup.values)
        send_value(name, platform::set_text(name, value));
    if (setup.prepare) {
        const auto text = platform::prepare_text(*setup.prepare);
        too_long_ = !platform::statement_fits(platform::own_statement_id, text);
        if (too_long_)
            it.session_state.forget(*request_.prepared);
        else
            send_shape(text);
    }
    too_long_ = too_long_ || !platform::statement_fits(request_.id, statement_text());
    if (!setup.empty())
        log_setup(setup);
    one_done({});
}

void statement_execution::log_setup(const session::connection_setup &setup) const
{
    constexpr std::size_t shape_bytes = 64;
    const auto &prepare = setup.prepare;
    support::log_routine("connection_prepared",
                         {{"id", request_.id},
                          {"instance", request_.instance},
                          {"connection", std::to_string(connection_->number)},
                          {"reset", setup.reset ? "yes" : "no"},
                          {"values", std::to_string(setup.values.size())},
                          {"prepared", prepare ? prepare->name : ""},
                          {"shape", prepare ? prepare->prepared.shape.substr(0, shape_bytes) : ""}});
}

} // namespace baobabport::proxy
