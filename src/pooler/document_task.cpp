#include "pooler/document_task.h"

#include "document/document_envelope.h"
#include "support/json_log.h"

namespace baobabport::pooler {

namespace {

constexpr std::chrono::milliseconds watch_duration{30000};
constexpr std::chrono::milliseconds first_read_timeout{300};
constexpr std::chrono::milliseconds missing_key_delay{1000};

} // namespace

document_task::document_task(event_base *base, store::store_client &store, std::string database,
                             std::uint64_t seed, hooks task_hooks)
    : store_(store), database_(std::move(database)), hooks_(std::move(task_hooks)),
      timer_(base, [this] { watch(); }), retry_policy_(seed)
{
}

void document_task::start()
{
    if (started_)
        return;
    started_ = true;
    watch();
}

void document_task::stop()
{
    started_ = false;
    ++watch_number_;
    timer_.stop();
}

void document_task::watch()
{
    const auto number = ++watch_number_;
    const auto handle_if_current = [this, number](const store::store_answer &answer) {
        if (number == watch_number_)
            handle_answer(answer);
    };
    const auto key = document::document_key(database_);
    if (cache_.revision() == 0) {
        store_.read(key, first_read_timeout, handle_if_current);
        return;
    }
    store_.watch(key, cache_.revision(), watch_duration, handle_if_current);
}

void document_task::handle_answer(const store::store_answer &answer)
{
    using store::store_outcome;
    if (answer.outcome == store_outcome::done)
        offer(answer.revision, answer.value);
    if (answer.outcome == store_outcome::done || answer.outcome == store_outcome::unchanged) {
        retry_policy_.succeeded();
        // A document that cannot be read is not in effect. It is read again after a delay.
        const bool read = cache_.revision() >= answer.revision;
        timer_.start(read ? std::chrono::milliseconds(0) : missing_key_delay);
        return;
    }
    if (cache_.revision() == 0)
        hooks_.request_from_peers();
    if (answer.outcome == store_outcome::no_such_key) {
        timer_.start(missing_key_delay);
        return;
    }
    timer_.start(retry_policy_.after_failure());
}

void document_task::offer(std::uint64_t revision, const std::string &value)
{
    if (cache_.offer(database_, revision, value, std::chrono::steady_clock::now())) {
        support::log_event("document_in_force",
                           {{"database", database_}, {"revision", std::to_string(revision)}});
        hooks_.changed();
        return;
    }
    if (cache_.last_reason() != "not_newer")
        support::log_warning("document_refused", {{"database", database_}, {"reason", cache_.last_reason()}});
}

} // namespace baobabport::pooler
