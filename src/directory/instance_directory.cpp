#include "directory/instance_directory.h"

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace baobabport::directory {

namespace {

bool same_process(const instance_record &left, const instance_record &right)
{
    return left.id == right.id && left.started_at == right.started_at && left.at == right.at;
}

} // namespace

bool instance_directory::accepts_statements(const instance_record &record, time_point now)
{
    return !record.accepts_until || now < *record.accepts_until;
}

std::optional<time_point> instance_directory::accepts_until(const instance_record &record,
                                                            time_point now) const
{
    if (record.state != instance_state::draining)
        return std::nullopt;
    const auto previous = records_.find(record.id);
    if (previous != records_.end() && same_process(previous->second, record))
        return previous->second.state == instance_state::draining
                   ? previous->second.accepts_until
                   : std::min(now + drain_bound_ / 2, seen_at_.at(record.id) + drain_bound_ - delivery_time);
    // It may have begun to drain at any time while it was not listed.
    const auto removed = removed_.find(record.id);
    if (removed != removed_.end() && same_process(removed->second.record, record))
        return removed->second.record.accepts_until.value_or(now);
    return now;
}

directory_change instance_directory::apply_listing(std::vector<instance_record> records, time_point now)
{
    directory_change out;
    if (unavailable_at_ || (listed() && now - last_listed_at_ > outage_threshold))
        available_since_ = now;
    unavailable_at_.reset();
    last_listed_at_ = now;
    digest_.reset();

    std::erase_if(removed_,
                  [now](const auto &it) { return now - it.second.removed_at >= removed_record_retention; });

    std::set<std::string> listed_ids;
    for (auto &it : records) {
        listed_ids.insert(it.id);
        it.accepts_until = accepts_until(it, now);
        seen_at_[it.id] = now;
        removed_.erase(it.id);
        const auto previous = records_.find(it.id);
        if (previous == records_.end()) {
            out.joined.push_back(it.id);
            if (it.state == instance_state::draining)
                out.draining.push_back(it.id);
            records_.emplace(it.id, std::move(it));
            continue;
        }
        const bool other_process = !same_process(previous->second, it);
        if (other_process)
            out.restarted.push_back(it.id);
        const bool was_draining = previous->second.state == instance_state::draining && !other_process;
        if (it.state == instance_state::draining && !was_draining)
            out.draining.push_back(it.id);
        previous->second = std::move(it);
    }

    if (is_recovering(now))
        return out;
    for (auto it = records_.begin(); it != records_.end();) {
        if (listed_ids.count(it->first)) {
            ++it;
            continue;
        }
        out.left.push_back(it->first);
        removed_[it->first] = {std::move(it->second), now};
        seen_at_.erase(it->first);
        it = records_.erase(it);
    }
    return out;
}

void instance_directory::record_peer_listing(time_point listed_at)
{
    last_listed_at_ = std::max(last_listed_at_, listed_at);
    if (unavailable_at_ && listed_at > *unavailable_at_) {
        available_since_ = listed_at;
        unavailable_at_.reset();
    }
    // Until the end of the recovery, the other process also keeps records that its listing lacked.
    if (is_recovering(listed_at))
        return;
    for (auto &it : seen_at_)
        it.second = std::max(it.second, listed_at);
}

bool instance_directory::is_recovering(time_point now) const
{
    return available_since_ != time_point{} && now - available_since_ < recovery_grace_period;
}

std::uint64_t instance_directory::digest() const
{
    if (digest_)
        return *digest_;
    std::string text;
    for (const auto &[id, it] : records_) {
        text += id + ' ' + it.service + ' ' + it.data_centre + ' ' + it.at.text() + ' ' +
                std::to_string(static_cast<int>(it.state)) + ' ' + std::to_string(it.slots) + ' ' +
                std::to_string(it.started_at.count()) + '\n';
    }
    digest_ = XXH3_64bits(text.data(), text.size());
    return *digest_;
}

const instance_record *instance_directory::find(const std::string &id) const
{
    const auto it = records_.find(id);
    return it == records_.end() ? nullptr : &it->second;
}

std::vector<instance_record> instance_directory::of_service(const std::string &service) const
{
    std::vector<instance_record> out;
    for (const auto &it : records_) {
        if (it.second.service == service)
            out.push_back(it.second);
    }
    return out;
}

} // namespace baobabport::directory
