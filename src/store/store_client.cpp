#include "store/store_client.h"

#include "support/json_log.h"

#include <algorithm>
#include <utility>

namespace baobabport::store {

using platform::call_outcome;

namespace {

/// Time-out of a read that a watch makes; the usual answer takes a few milliseconds.
constexpr std::chrono::milliseconds read_timeout{2000};

/// Returns the reply's item for the key.
store_answer read_answer(const std::string &key, const platform::store_reply &reply)
{
    store_answer out;
    if (reply.outcome == call_outcome::missing)
        out.outcome = store_outcome::no_such_key;
    if (reply.outcome != call_outcome::done)
        return out;
    out.outcome = store_outcome::unchanged;
    for (const auto &it : reply.items) {
        if (it.key != key) // a watch covers all keys with the prefix
            continue;
        out.outcome = it.removed ? store_outcome::no_such_key : store_outcome::done;
        out.revision = it.revision;
        out.value = it.value;
    }
    return out;
}

} // namespace

void store_client::record_reply(const platform::store_reply &reply)
{
    const bool served = reply.outcome != call_outcome::no_answer && reply.outcome != call_outcome::refused;
    if (healthy_ && !served)
        support::log_warning("store_lost", {{"reason", reply.reason}});
    else if (!healthy_ && served)
        support::log_event("store_regained");
    healthy_ = served;
}

void store_client::read(const std::string &key, std::chrono::milliseconds timeout, answer_hook done)
{
    client_.read(key, timeout, [this, key, done = std::move(done)](const auto &reply) {
        record_reply(reply);
        if (reply.outcome == call_outcome::done)
            seen_positions_[key] = std::max(seen_positions_[key], reply.position());
        done(read_answer(key, reply));
    });
}

void store_client::watch(const std::string &key, std::uint64_t after, std::chrono::milliseconds wait,
                         answer_hook done)
{
    if (after == 0) // a watch must start from a revision
        return read(key, std::min(wait, read_timeout), std::move(done));
    auto from = seen_positions_[key];
    from.revision = std::max(after, from.revision);
    client_.watch(key, from, wait, [this, key, after, wait, from, done = std::move(done)](const auto &reply) {
        record_reply(reply);
        if (reply.outcome == call_outcome::history_gone) {
            const bool same_era = reply.era == from.era;
            read(key, std::min(wait, read_timeout), [after, same_era, done](auto answer) {
                if (answer.outcome == store_outcome::done && same_era && answer.revision <= after)
                    answer.outcome = store_outcome::unchanged;
                done(answer);
            });
            return;
        }
        if (reply.outcome == call_outcome::done)
            seen_positions_[key] = std::max(seen_positions_[key], reply.position());
        done(read_answer(key, reply));
    });
}

void store_client::compare_and_swap(const std::string &key, std::uint64_t expected, std::string value,
                                    std::chrono::milliseconds timeout, answer_hook done)
{
    const platform::key_change change{{{key, expected}}, {{key, std::move(value), 0}}, {}};
    client_.change(change, timeout, [this, done = std::move(done)](const auto &reply) {
        record_reply(reply);
        store_answer out;
        if (reply.outcome == call_outcome::conflict)
            out.outcome = store_outcome::revision_mismatch;
        else if (reply.outcome == call_outcome::done)
            out = {store_outcome::done, reply.revision, {}};
        done(out);
    });
}

} // namespace baobabport::store
