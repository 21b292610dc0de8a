// The tokens that a statement's attempts take of its workspace's quota.

#include "proxy/statement_run.h"

#include <utility>

namespace baobabport::proxy {

bool statement_run::take_token(const std::string &instance)
{
    // The first statement of a transaction has taken the token of all.
    if (has_token_ || !request_.take_token || (transaction_ && transaction_->id != 0))
        return true;
    if (awaits_token_)
        return false;
    awaits_token_ = true;
    const auto calling = std::make_shared<bool>(true);
    request_.take_token([self = shared_from_this(), calling, instance](const auto &refusal) {
        self->awaits_token_ = false;
        self->handle_token(refusal);
        if (*calling || !self->has_token_ || self->stage_ != stage::waiting || self->abandoned_)
            return;
        self->offers_.cancel(instance);
        self->choose(); // what was selected before the wait may be outdated
    });
    *calling = false;
    return has_token_;
}

void statement_run::handle_token(const std::optional<std::string> &refusal)
{
    const bool ended = stage_ != stage::waiting || abandoned_;
    if (!refusal && ended && request_.return_token)
        request_.return_token();
    else if (!refusal)
        has_token_ = true;
    else if (!ended)
        fail(session::answer_code::busy, *refusal); // nothing has run, except possibly a read
}

void statement_run::spend_token(const inner::execute_answer &answer)
{
    const bool ran = answer.outcome == inner::execute_outcome::lost ||
                     (answer.outcome == inner::execute_outcome::answered &&
                      (!answer.answer.error || !session::proves_not_run(answer.answer.error->code)));
    if (ran)
        has_token_ = false;
}

void statement_run::return_token()
{
    const bool unused = std::exchange(has_token_, false) && stage_ == stage::waiting;
    if (unused && request_.return_token)
        request_.return_token();
}

} // namespace baobabport::proxy
