// The duty's calls to the store: taking it, keeping it and giving it back.

#include "proxy/duty_task.h"
#include "support/boot_clock.h"
#include "support/json_log.h"
#include "support/keys.h"

#include <nlohmann/json.hpp>
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
    if (now - store_.last_call_at() < check_interval)
        return;
    store_.read_stale(record_key, store_timeout, [](const auto &) {
        // The client remembers whether the store answers.
    });
}

void election_task::look()
{
    if (resigned_)
        return;
    timer_.stop();
    take_timer_.stop();
    ++watch_number_;
    looking_ = true;
    const auto requested_at = support::boot_clock::now();
    store_.list(prefix, {}, store_timeout, [this, requested_at](const auto &reply) {
        looking_ = false;
        if (reply.outcome != call_outcome::done) {
            doubted_ = true;
            again(backoff_.after_failure());
            return;
        }
        backoff_.succeeded();
        if (changed_at_ > requested_at) { // the listing may be from before the change
            again(std::chrono::milliseconds(0));
            return;
        }
        revision_ = reply.revision;
        leader_revision_ = 0;
        record_revision_ = 0; // the generation itself is kept: it never falls
        leader_.clear();
        read_keys(reply);
        decide(requested_at);
    });
}

void election_task::decide(std::optional<time_point> requested_at)
{
    if (resigned_)
        return;
    const bool named = leader_revision_ != 0 && lease_ != 0 && leader_lease_ == lease_ && leader_ == vm_;
    if (holding_ && !named) {
        lose(leader_revision_ == 0 ? "its key is gone" : "another process holds it");
    } else if (holding_) {
        if (requested_at) {
            doubted_ = false;
            validity_.confirmed(*requested_at);
        }
        watch();
    } else if (!record_readable_) {
        again(store_retry_longest);
    } else if (leader_revision_ == 0) {
        take_soon();
    } else if (named && requested_at) {
        auto before = record_; // the answer to taking it was lost
        --before.generation;
        taken(before, *requested_at);
    } else if (leader_is_responsive(support::boot_clock::now())) {
        listening_ = true;
    } else {
        watch();
    }
}

void election_task::read_keys(const platform::store_reply &reply)
{
    for (const auto &it : reply.items) {
        if (it.removed) {
            if (it.key == leader_key)
                leader_revision_ = 0;
            continue;
        }
        if (it.key == leader_key) {
            const auto fields = nlohmann::json::parse(it.value, nullptr, false);
            if (!fields.is_object())
                support::log_warning("failover_duty_unreadable", {{"key", it.key}});
            leader_revision_ = it.revision;
            leader_ = fields.is_object() ? fields.value("vm", "") : "";
            leader_peer_ = support::parse_address(fields.is_object() ? fields.value("peer", "") : "")
                               .value_or(support::address{});
            leader_data_centre_ = fields.is_object() ? fields.value("data_centre", "") : "";
            leader_lease_ = it.lease;
        } else if (it.key == record_key) {
            const auto record = failover::decode_leadership_record(it.value);
            record_readable_ = record.has_value();
            if (!record)
                support::log_warning("failover_duty_unreadable", {{"key", it.key}});
            else if (record->generation >= record_.generation)
                record_ = *record;
            record_revision_ = it.revision;
        }
    }
}

void election_task::watch()
{
    const auto number = ++watch_number_;
    store_.watch(prefix, revision_, holding_ ? leader_watch_time : watch_time,
                 [this, number](const auto &reply) {
                     if (number != watch_number_)
                         return;
                     if (reply.outcome == call_outcome::history_gone) {
                         look();
                     } else if (reply.outcome != call_outcome::done) {
                         doubted_ = true;
                         again(backoff_.after_failure());
                     } else {
                         revision_ = std::max(revision_, reply.revision);
                         read_keys(reply);
                         take_timer_.stop();   // another process may have taken the duty
                         decide(std::nullopt); // a watch may be behind
                     }
                 });
}

void election_task::take_soon()
{
    // Meanwhile a watch tells whether another process was first.
    const auto part = std::hash<std::string>{}(vm_ + std::to_string(record_.generation));
    take_timer_.start(std::chrono::milliseconds(part % take_spread.count()));
    watch();
}

void election_task::open_lease()
{
    ++watch_number_;
    lease_ = 0;
    store_.open_lease(store_lease_time_, store_timeout, [this](const auto &reply) {
        if (reply.outcome != call_outcome::done) {
            again(backoff_.after_failure());
            return;
        }
        lease_ = reply.lease;
        if (!resigned_)
            take_key();
    });
}

void election_task::take_key()
{
    const auto before = record_;
    auto record = before;
    ++record.generation;
    record.released = false;
    if (before.generation == 0) { // there is nobody to wait for
        record.autonomous_generation = record.generation;
        record.autonomous_leader = self();
    }
    if (record.peer_key.empty())
        record.peer_key = support::to_base64(support::random_bytes(peer_key_bytes));
    platform::key_change change;
    const nlohmann::json leader{{"vm", vm_}, {"peer", peer_.text()}, {"data_centre", data_centre_}};
    change.conditions = {{leader_key, 0}, {record_key, record_revision_}};
    change.writes = {{leader_key, leader.dump(), lease_}, {record_key, failover::encode(record), 0}};
    const auto requested_at = support::boot_clock::now();
    store_.change(change, store_timeout,
                  [this, before, record, requested_at, lease = lease_](const auto &reply) {
                      if (reply.outcome != call_outcome::done) {
                          // Another process was first, or the answer is lost: the keys tell.
                          again(reply.outcome == call_outcome::conflict ? std::chrono::milliseconds(0)
                                                                        : backoff_.after_failure());
                          return;
                      }
                      record_ = record;
                      record_revision_ = reply.revision;
                      leader_revision_ = reply.revision;
                      lease_ = lease;
                      leader_lease_ = lease;
                      leader_ = vm_;
                      revision_ = std::max(revision_, reply.revision);
                      taken(before, requested_at);
                      if (resigned_)
                          give_back();
                  });
}

void election_task::taken(const leadership_record &before, time_point confirmed_at)
{
    const auto now = support::boot_clock::now();
    holding_ = true;
    own_generation_ = record_.generation;
    doubted_ = false;
    clearing_ = false;
    ordering_at_.reset();
    validity_.end();
    validity_.confirmed(confirmed_at);
    takeover_.begin(before, self(), now);
    takeover_.record_follower(self(), contacts_.before(own_generation_, now), now, now);
    log_event("failover_duty_taken",
              {{"generation", std::to_string(own_generation_)}, {"waits", takeover_.summary(now)}});
    if (resigned_)
        return;
    renew_timer_.start(renew_interval);
    watch();
}

void election_task::renew()
{
    if (!holding_ || resigned_)
        return;
    renew_timer_.start(renew_interval); // whether or not this one is answered
    const auto requested_at = support::boot_clock::now();
    store_.renew_lease(lease_, store_timeout, [this, requested_at, lease = lease_](const auto &reply) {
        if (!holding_ || resigned_ || lease != lease_)
            return;
        if (reply.outcome == call_outcome::missing) {
            lose("the lease has ended");
        } else if (reply.outcome != call_outcome::done) {
            doubted_ = true;
            verify();
        } else if (doubted_) {
            verify(); // the key may have been taken away meanwhile, with its lease left
        } else {
            validity_.confirmed(requested_at);
        }
    });
}

void election_task::verify()
{
    if (!looking_)
        look();
}

leadership_record election_task::wanted_record(time_point now) const
{
    auto out = record_;
    if (takeover_.exclusive(now)) {
        out.autonomous_generation = own_generation_;
        out.autonomous_leader = self();
    }
    const bool ordering =
        ordering_at_ && now - *ordering_at_ < leadership_takeover::order_separation + order_time;
    if (ordering)
        out.ordered_by = self();
    else if (takeover_.may_promote(now))
        out.ordered_by.clear();
    else if (takeover_.exclusive(now) && out.ordered_by.empty())
        out.ordered_by = takeover_.earlier_leader(); // without the store it could not note its orders
    return out;
}

void election_task::keep_record(time_point now)
{
    if (writing_ || !holding_ || resigned_ || validity_.basis(false, now) == leadership_basis::none)
        return;
    const auto wanted = wanted_record(now);
    // An answered write after a clearing one keeps that from taking effect later.
    if ((wanted == record_ && !clearing_) || now - written_at_ < store_retry_first)
        return;
    writing_ = true;
    clearing_ = clearing_ || (record_.ordered_by == self() && wanted.ordered_by.empty());
    written_at_ = now;
    platform::key_change change;
    change.conditions = {{leader_key, leader_revision_}, {record_key, record_revision_}};
    change.writes = {{record_key, failover::encode(wanted), 0}};
    store_.change(change, store_timeout, [this, wanted, now, lease = lease_](const auto &reply) {
        writing_ = false;
        if (!holding_ || resigned_ || lease != lease_)
            return;
        if (reply.outcome != call_outcome::done) {
            doubted_ = true;
            verify();
            return;
        }
        record_ = wanted;
        record_revision_ = reply.revision;
        revision_ = std::max(revision_, reply.revision);
        changed_at_ = support::boot_clock::now();
        clearing_ = false;
        validity_.confirmed(now);
    });
}

void election_task::lose(const char *reason)
{
    holding_ = false;
    validity_.end();
    renew_timer_.stop();
    lease_ = 0;
    log_event("failover_duty_lost", {{"generation", std::to_string(own_generation_)}, {"reason", reason}});
    again(std::chrono::milliseconds(0));
}

void election_task::again(std::chrono::milliseconds delay)
{
    if (!resigned_)
        timer_.start(delay);
}

void election_task::give_back()
{
    holding_ = false;
    log_event("failover_duty_resigned", {{"generation", std::to_string(own_generation_)}});
    auto record = wanted_record(support::boot_clock::now());
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
        // An answer changes nothing: without one the lease ends by itself.
    });
}

} // namespace baobabport::proxy
