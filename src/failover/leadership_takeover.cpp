#include "failover/leadership_takeover.h"

#include <algorithm>

namespace baobabport::failover {

void leadership_takeover::begin(const leadership_record &before, const std::string &self, record_age age,
                                time_point now)
{
    before_ = before;
    age_ = age;
    elected_at_ = now;
    stop_known_ = true;
    leases_end_ = now;
    stopped_at_ = now;
    orders_end_.reset();
    if (before.generation == 0)
        return;
    if (age != record_age::current) {
        begin_outdated(age, now);
        return;
    }
    const bool led_by_this_process = before.autonomous_leader == self;
    const bool earlier_has_stopped =
        before.autonomous_generation == 0
            ? before.released
            : led_by_this_process && before.generation == before.autonomous_generation;
    leases_end_ = now + (earlier_has_stopped ? milliseconds(0) : leadership_validity::confirmation_lifetime) +
                  primary_lease_time;
    if (!before.ordered_by.empty() && before.ordered_by != self)
        orders_end_ = now + leadership_validity::confirmation_lifetime;
    if (before.autonomous_generation == 0 || led_by_this_process)
        return;
    stop_known_ = false;
    stopped_at_ = now + leadership_validity::autonomy_limit;
}

void leadership_takeover::begin_outdated(record_age age, time_point now)
{
    leases_end_ = now + leadership_validity::confirmation_lifetime + primary_lease_time;
    orders_end_ = now + leadership_validity::confirmation_lifetime;
    if (age == record_age::outdated_own)
        return;
    stop_known_ = false;
    stopped_at_ = now + leadership_validity::autonomy_limit;
}

bool leadership_takeover::is_awaited(std::uint64_t generation) const
{
    return age_ == record_age::current ? generation == before_.autonomous_generation
                                       : generation >= before_.generation;
}

void leadership_takeover::record_follower(const std::string &vm_and_address,
                                          const std::vector<inner::leader_contact> &contacts,
                                          std::optional<time_point> sent_after, time_point now)
{
    if (stop_known_)
        return;
    if (age_ == record_age::current && vm_and_address == before_.autonomous_leader) {
        record_stop(now, now); // it restarted, or was notified that it is no longer the leader
        return;
    }
    if (!sent_after)
        return;
    for (const auto &it : contacts) {
        const auto answered_at = *sent_after - it.answered_ago;
        if (!is_awaited(it.generation) || answered_at < elected_at_ - evidence_age)
            continue;
        // From its first answer to the process on, the earlier leader needed the process's agreement to any
        // order without the store.
        auto last_order = now - it.first_answered_ago;
        if (it.agreed_ago)
            last_order = std::max(last_order, now - *it.agreed_ago + membership_tracker::agreement_lifetime);
        record_stop(now + membership_tracker::agreement_lifetime, last_order);
        return;
    }
}

void leadership_takeover::record_stop(time_point stop, time_point last_order)
{
    stop_known_ = true;
    stopped_at_ = stop;
    orders_end_ = std::max(orders_end_.value_or(last_order), std::min(last_order, stop));
}

time_point leadership_takeover::exclusive_from() const
{
    const auto autonomous_leases_end =
        stopped_at_ > elected_at_ ? stopped_at_ + primary_lease_time : elected_at_;
    return std::max(leases_end_, autonomous_leases_end);
}

bool leadership_takeover::is_exclusive(time_point now) const
{
    return now >= exclusive_from();
}

std::optional<time_point> leadership_takeover::last_order() const
{
    return stop_known_ ? orders_end_ : stopped_at_;
}

bool leadership_takeover::may_promote(time_point now) const
{
    const auto last = last_order();
    return is_exclusive(now) && (!last || now >= *last + order_separation);
}

std::string leadership_takeover::summary(time_point now) const
{
    const auto in_ms = [now](time_point it) {
        const auto left = std::chrono::ceil<milliseconds>(it - now);
        return std::to_string(std::max<std::int64_t>(0, left.count())) + " ms";
    };
    std::string out = "exclusive in " + in_ms(exclusive_from());
    const auto awaited = age_ == record_age::current ? std::to_string(before_.autonomous_generation)
                                                     : std::to_string(before_.generation) + " or a later one";
    if (!stop_known_)
        out += ", earlier after a request of a process that generation " + awaited + " had answered";
    if (const auto last = last_order())
        out += ", promotion orders in " + in_ms(*last + order_separation);
    return out;
}

} // namespace baobabport::failover
