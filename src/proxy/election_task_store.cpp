// The store calls of the leader election: acquiring, renewing and releasing the leadership.

#include "failover/generation_number.h"
#include "proxy/election_task.h"
#include "support/boot_clock.h"
#include "support/json_log.h"
#include "support/keys.h"

#include <utility>

namespace baobabport::proxy {

using failover::leadership_record;
using failover::leadership_takeover;
using platform::call_outcome;
using support::log_event;

namespace {

constexpr const char *prefix = "baobabport/failover/";
constexpr const char *leader_key = "baobabport/failover/holder";
constexpr const char *record_key = "baobabport/failover/generation";

constexpr std::size_t peer_key_bytes = 32;

} // namespace

void election_task::check_store(time_point now)
{
    if (now - store_.last_call_at() < store_check_interval)
        return;
    store_.read_stale(record_key, store_timeout, [](const auto &) {
        // Only `metadata_client::unanswered_for` matters, which the client updates.
    });
}

void election_task::read_leadership()
{
    if (resigned_)
        return;
    timer_.stop();
    election_timer_.stop();
    ++watch_number_;
    reading_ = true;
    const auto requested_at = support::boot_clock::now();
    store_.list(prefix, {}, store_timeout, [this, requested_at](const auto &reply) {
        reading_ = false;
        if (reply.outcome != call_outcome::done) {
            leader_key_unverified_ = true;
            schedule_retry(backoff_.after_failure());
            return;
        }
        backoff_.succeeded();
        if (record_changed_at_ > requested_at) { // the listing may be older than the change
            schedule_retry(std::chrono::milliseconds(0));
            return;
        }
        position_ = reply.position();
        leader_revision_ = 0;
        replaceable_key_revision_ = 0;
        record_revision_ = 0; // the generation itself is kept: it never decreases
        leader_.clear();
        read_keys(reply);
        update_role(requested_at);
    });
}

void election_task::update_role(std::optional<time_point> requested_at)
{
    if (resigned_)
        return;
    const bool owns_leader_key =
        leader_revision_ != 0 && lease_ != 0 && leader_lease_ == lease_ && leader_ == vm_;
    if (is_leader_ && !owns_leader_key) {
        lose_leadership(leader_revision_ == 0 ? "its leader key no longer exists"
                                              : "another process holds the leader key");
    } else if (is_leader_) {
        if (requested_at) {
            leader_key_unverified_ = false;
            validity_.record_confirmation(*requested_at);
        }
        watch();
    } else if (!record_readable_) {
        schedule_retry(store_retry_longest);
    } else if (leader_revision_ == 0) {
        schedule_election();
    } else if (owns_leader_key && requested_at) {
        become_leader(replaced_record_, *requested_at); // acquiring the key succeeded, its answer was lost
    } else if (awaits_leader(support::boot_clock::now())) {
        relies_on_answers_ = true;
    } else {
        watch();
    }
}

bool election_task::awaits_leader(time_point now)
{
    if (leader_revision_ != awaited_leader_) {
        awaited_leader_ = leader_revision_;
        leader_awaited_from_ = now;
    }
    return now - std::max(leader_answered_at_, leader_awaited_from_) < leader_answer_lifetime;
}

void election_task::read_keys(const platform::store_reply &reply)
{
    for (const auto &it : reply.items) {
        if (it.removed) {
            if (it.key == leader_key)
                leader_revision_ = replaceable_key_revision_ = 0;
            continue;
        }
        if (it.key == leader_key) {
            read_leader_key(it);
        } else if (it.key == record_key) {
            const auto record = failover::decode_leadership_record(it.value);
            record_readable_ = record.has_value();
            if (!record)
                support::log_warning("failover_duty_unreadable", {{"key", it.key}});
            else if (record->generation >= record_.generation)
                record_ = *record;
            if (record)
                stored_generation_ = record->generation;
            record_revision_ = it.revision;
        }
    }
}

void election_task::read_leader_key(const platform::stored_item &item)
{
    const auto key = failover::decode_leader_key(item.value);
    if (!key || item.lease == 0)
        support::log_warning("failover_duty_unreadable", {{"key", item.key}});
    const auto leader = key.value_or(failover::leader_key{});
    // This process's predecessor at the same VM and address has ended: there is no need to wait for its
    // lease.
    const bool of_predecessor =
        !is_leader_ && leader.vm == vm_ && leader.peer == peer_.text() && item.lease != lease_;
    const bool replaceable = item.lease == 0 || of_predecessor;
    leader_revision_ = replaceable ? 0 : item.revision;
    replaceable_key_revision_ = replaceable ? item.revision : 0;
    leader_ = leader.vm;
    leader_peer_ = support::parse_address(leader.peer).value_or(support::address{});
    leader_data_centre_ = leader.data_centre;
    leader_lease_ = item.lease;
}

void election_task::watch()
{
    const auto number = ++watch_number_;
    store_.watch(prefix, position_, is_leader_ ? leader_watch_time : watch_time,
                 [this, number](const auto &reply) {
                     if (number != watch_number_)
                         return;
                     if (reply.outcome == call_outcome::history_gone) {
                         read_leadership();
                     } else if (reply.outcome != call_outcome::done) {
                         leader_key_unverified_ = true;
                         schedule_retry(backoff_.after_failure());
                     } else {
                         position_ = std::max(position_, reply.position());
                         read_keys(reply);
                         election_timer_.stop();    // another process may have become leader
                         update_role(std::nullopt); // a watch may lag behind, so it confirms nothing
                     }
                 });
}

void election_task::schedule_election()
{
    // During the delay, the watch reports whether another process has become leader.
    const auto hash_value = std::hash<std::string>{}(vm_ + std::to_string(record_.generation));
    const auto jitter = record_.generation == 0 ? first_election_jitter : election_jitter;
    const auto delay = relayed_leader_ ? relayed_election_delay : std::chrono::milliseconds(0);
    election_timer_.start(delay + std::chrono::milliseconds(hash_value % jitter.count()));
    watch();
}

void election_task::open_lease()
{
    ++watch_number_;
    lease_ = 0;
    store_.open_lease(store_lease_time_, store_timeout, [this](const auto &reply) {
        if (reply.outcome != call_outcome::done) {
            schedule_retry(backoff_.after_failure());
            return;
        }
        lease_ = reply.lease;
        if (!resigned_)
            acquire_leader_key();
    });
}

void election_task::acquire_leader_key()
{
    const auto era = store_.era();
    if (position_.era != era) { // the revisions that the change would depend on are of an earlier era
        schedule_retry(std::chrono::milliseconds(0));
        return;
    }
    const auto before = record_;
    auto record = before;
    record.generation = failover::next_generation(before.generation, era);
    record.released = false;
    replaced_record_ = before;
    if (before.generation == 0) { // there was no earlier leader to wait for
        record.autonomous_generation = record.generation;
        record.autonomous_leader = self();
    }
    if (record.peer_key.empty())
        record.peer_key = support::to_base64(support::random_bytes(peer_key_bytes));
    platform::key_change change;
    const failover::leader_key leader{vm_, peer_.text(), data_centre_};
    change.conditions = {{leader_key, replaceable_key_revision_}, {record_key, record_revision_}};
    change.writes = {{leader_key, failover::encode(leader), lease_},
                     {record_key, failover::encode(record), 0}};
    const auto requested_at = support::boot_clock::now();
    store_.change(
        change, store_timeout, [this, before, record, requested_at, era, lease = lease_](const auto &reply) {
            if (reply.outcome != call_outcome::done || reply.era != era) {
                // Another process was first, the answer was lost, or the number is of an earlier era than the
                // change: reading the keys again shows which.
                const bool retry_at_once =
                    reply.outcome == call_outcome::done || reply.outcome == call_outcome::conflict;
                schedule_retry(retry_at_once ? std::chrono::milliseconds(0) : backoff_.after_failure());
                return;
            }
            record_ = record;
            record_revision_ = reply.revision;
            leader_revision_ = reply.revision;
            lease_ = lease;
            leader_lease_ = lease;
            leader_ = vm_;
            position_ = std::max(position_, reply.position());
            become_leader(before, requested_at);
            if (resigned_)
                release_leadership();
        });
}

void election_task::become_leader(const leadership_record &before, time_point confirmed_at)
{
    const auto now = support::boot_clock::now();
    is_leader_ = true;
    own_generation_ = record_.generation;
    stored_generation_ = record_.generation;
    relayed_leader_.reset();
    leader_key_unverified_ = false;
    clear_pending_ = false;
    last_order_at_.reset();
    validity_.end();
    validity_.record_confirmation(confirmed_at);
    takeover_.begin(before, self(), age_of(before), now);
    led_until_return_ = 0;
    takeover_.record_follower(self(), contacts_.before(own_generation_, now), now, now);
    log_event("failover_duty_taken",
              {{"generation", std::to_string(own_generation_)}, {"waits", takeover_.summary(now)}});
    if (resigned_)
        return;
    renew_timer_.start(renew_interval);
    watch();
}

failover::record_age election_task::age_of(const leadership_record &before) const
{
    if (failover::era_of(before.generation) == failover::era_of(own_generation_))
        return failover::record_age::current;
    // An autonomous leader before this process may act even if this process led until the return.
    const bool led_alone =
        before.generation == led_until_return_ && before.autonomous_generation == led_until_return_;
    return led_alone ? failover::record_age::outdated_own : failover::record_age::outdated;
}

void election_task::handle_new_era()
{
    const bool leads =
        is_leader_ && validity_.basis(false, support::boot_clock::now()) != leadership_basis::none;
    led_until_return_ = leads ? own_generation_ : 0;
    lease_ = 0;
    awaited_leader_ = 0;
    ++watch_number_;
    election_timer_.stop();
    if (is_leader_)
        lose_leadership("the store has come back from an older copy");
    else if (!relies_on_answers_)
        schedule_retry(std::chrono::milliseconds(0));
}

void election_task::renew()
{
    if (!is_leader_ || resigned_)
        return;
    renew_timer_.start(renew_interval); // even if this renewal is not answered
    const auto requested_at = support::boot_clock::now();
    store_.renew_lease(lease_, store_timeout, [this, requested_at, lease = lease_](const auto &reply) {
        if (!is_leader_ || resigned_ || lease != lease_)
            return;
        if (reply.outcome == call_outcome::missing) {
            lose_leadership("its store lease has ended");
        } else if (reply.outcome != call_outcome::done) {
            leader_key_unverified_ = true;
            verify_leadership();
        } else if (leader_key_unverified_) {
            verify_leadership(); // the key may have been removed meanwhile while its lease still exists
        } else {
            validity_.record_confirmation(requested_at);
        }
    });
}

void election_task::verify_leadership()
{
    if (!reading_)
        read_leadership();
}

leadership_record election_task::desired_record(time_point now) const
{
    auto out = record_;
    if (fleet_size_ != 0)
        out.fleet_size = fleet_size_;
    if (takeover_.is_exclusive(now)) {
        out.autonomous_generation = own_generation_;
        out.autonomous_leader = self();
    }
    const bool order_pending =
        last_order_at_ && now - *last_order_at_ < leadership_takeover::order_separation + order_timeout;
    if (order_pending)
        out.ordered_by = self();
    else if (takeover_.may_promote(now))
        out.ordered_by.clear();
    else if (takeover_.is_exclusive(now) && out.ordered_by.empty())
        out.ordered_by = takeover_.earlier_leader(); // without the store it could not record its orders
    return out;
}

void election_task::update_record(time_point now)
{
    if (writing_record_ || !is_leader_ || resigned_ || validity_.basis(false, now) == leadership_basis::none)
        return;
    const auto desired = desired_record(now);
    // If the outcome of a write that clears `ordered_by` is unknown, another write is needed: once that one
    // is answered, the first can no longer take effect.
    if ((desired == record_ && !clear_pending_) || now - record_sent_at_ < store_retry_first)
        return;
    writing_record_ = true;
    clear_pending_ = clear_pending_ || (record_.ordered_by == self() && desired.ordered_by.empty());
    record_sent_at_ = now;
    platform::key_change change;
    change.conditions = {{leader_key, leader_revision_}, {record_key, record_revision_}};
    change.writes = {{record_key, failover::encode(desired), 0}};
    store_.change(change, store_timeout, [this, desired, now, lease = lease_](const auto &reply) {
        writing_record_ = false;
        if (!is_leader_ || resigned_ || lease != lease_)
            return;
        if (reply.outcome != call_outcome::done) {
            leader_key_unverified_ = true;
            verify_leadership();
            return;
        }
        record_ = desired;
        record_revision_ = reply.revision;
        position_ = std::max(position_, reply.position());
        record_changed_at_ = support::boot_clock::now();
        clear_pending_ = false;
        validity_.record_confirmation(now);
    });
}

void election_task::lose_leadership(const char *reason)
{
    is_leader_ = false;
    validity_.end();
    renew_timer_.stop();
    lease_ = 0;
    log_event("failover_duty_lost", {{"generation", std::to_string(own_generation_)}, {"reason", reason}});
    schedule_retry(std::chrono::milliseconds(0));
}

void election_task::schedule_retry(std::chrono::milliseconds delay)
{
    if (!resigned_)
        timer_.start(delay);
}

void election_task::release_leadership()
{
    is_leader_ = false;
    log_event("failover_duty_resigned", {{"generation", std::to_string(own_generation_)}});
    auto record = desired_record(support::boot_clock::now());
    record.released = true;
    if (record.autonomous_generation == own_generation_) {
        record.autonomous_generation = 0;
        record.autonomous_leader.clear();
    }
    platform::key_change change;
    change.conditions = {{leader_key, leader_revision_}};
    change.writes = {{record_key, failover::encode(record), 0}};
    change.removals = {leader_key};
    store_.change(change, store_timeout, [](const auto &) {
        // The answer is not needed: without the change the lease expires.
    });
}

} // namespace baobabport::proxy
