// Admission of sessions and statements by the key that the caller presented, and its removal.

#include "proxy/caller_task.h"
#include "support/boot_clock.h"

#include "support/json_log.h"

namespace baobabport::proxy {

using session::answer_code;
using session::transaction_state;

void caller_task::open_session()
{
    awaits_routes_ = false;
    if (environment_.shutdown->sessions_end(support::boot_clock::now()))
        return refuse_session(answer_code::busy, "the process stops; connect again");
    const auto destination = route();
    if (!destination) {
        const bool loaded = environment_.routes->loaded();
        return refuse_session(loaded ? answer_code::no_database : answer_code::busy,
                              loaded ? "no route has this database" : "routes are not known yet");
    }
    if (environment_.keys->required() && !destination->is_public) {
        if (!environment_.keys_are_current())
            return refuse_session(answer_code::busy, keys_outdated);
        const auto owner = environment_.keys->find(key_hash_);
        if (!owner)
            return refuse_session(answer_code::denied, "no workspace has this key");
        workspace_ = owner->name;
    }
    phase_ = phase::ready;
    std::string out;
    platform::write_prompt(transaction_state::none, out);
    reply(out);
}

void caller_task::refuse_session(answer_code code, const std::string &reason)
{
    support::log_event("session_refused", {{"database", database_},
                                           {"code", std::string(platform::code_word(code))},
                                           {"key_hash", workspace::short_hash(key_hash_)},
                                           {"reason", reason},
                                           {"version", std::to_string(environment_.routes->version())}});
    environment_.metrics->count("baobabport_sessions_refused_total",
                                support::label("reason", platform::code_word(code)));
    std::string out;
    platform::write_failure(code, reason, out);
    reply(out);
    close_after_write();
}

bool caller_task::admit(const directory::route &destination, bool ends)
{
    const auto &keys = *environment_.keys;
    if (!keys.required() || destination.is_public)
        return true;
    if (!environment_.keys_are_current()) {
        const bool in_transaction = transaction_ != nullptr;
        ends ? release_transaction() : end_transaction(keys_outdated);
        reply_failure(in_transaction ? answer_code::aborted : answer_code::busy, keys_outdated);
        return false;
    }
    // A session that began without workspaces, or on a public route, has not been assigned to one yet.
    if (workspace_.empty()) {
        const auto owner = keys.find(key_hash_);
        if (!owner) {
            handle_denied();
            return false;
        }
        workspace_ = owner->name;
    }
    return true;
}

void caller_task::check_key()
{
    if (phase_ != phase::ready || key_removed_ || !open())
        return;
    if (!environment_.keys->required()) {
        workspace_.clear();
        return;
    }
    const auto destination = route();
    if (workspace_.empty() && (!destination || destination->is_public))
        return; // no key is needed so far
    const auto owner = environment_.keys->find(key_hash_);
    if (owner && workspace_.empty())
        end_transaction("keys are needed now"); // it is open under the name of the process
    if (owner && (workspace_.empty() || owner->name == workspace_)) {
        workspace_ = owner->name;
        return;
    }
    key_removed_ = true;
    support::log_event("key_removed", {{"database", database_},
                                       {"workspace", workspace_},
                                       {"key_hash", workspace::short_hash(key_hash_)},
                                       {"version", std::to_string(environment_.routes->version())}});
    if (run_) {
        const auto run = run_; // released when it finishes
        run->revoke(answer_code::denied, "the key is no longer valid");
    } else if (transaction_) {
        end_transaction("the key was removed");
    }
    if (open() && idle())
        close_after_write();
}

void caller_task::handle_denied()
{
    release_transaction();
    reply_failure(answer_code::denied, "the key is not valid");
    close_after_write();
}

} // namespace baobabport::proxy
