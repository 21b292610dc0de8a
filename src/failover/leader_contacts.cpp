#include "failover/leader_contacts.h"

#include <algorithm>

namespace baobabport::failover {

leader_contacts::contact *leader_contacts::find(std::uint64_t generation)
{
    const auto it = std::find_if(contacts_.begin(), contacts_.end(),
                                 [generation](const auto &one) { return one.generation == generation; });
    return it == contacts_.end() ? nullptr : &*it;
}

void leader_contacts::record_answer(std::uint64_t generation, std::uint64_t leader_timestamp,
                                    time_point requested_at)
{
    auto *existing = find(generation);
    if (!existing) {
        contacts_.push_back({generation, leader_timestamp, requested_at, requested_at, std::nullopt});
        if (contacts_.size() > max_leaders)
            contacts_.pop_front();
        return;
    }
    existing->leader_timestamp = std::max(existing->leader_timestamp, leader_timestamp);
    existing->requested_at = std::max(existing->requested_at, requested_at);
}

void leader_contacts::record_agreement(std::uint64_t generation, time_point now)
{
    if (auto *const existing = find(generation))
        existing->agreed_at = now;
}

std::uint64_t leader_contacts::timestamp_of(std::uint64_t generation) const
{
    const auto it = std::find_if(contacts_.begin(), contacts_.end(),
                                 [generation](const auto &one) { return one.generation == generation; });
    return it == contacts_.end() ? 0 : it->leader_timestamp;
}

std::vector<inner::leader_contact> leader_contacts::before(std::uint64_t generation, time_point now) const
{
    std::vector<inner::leader_contact> out;
    for (const auto &it : contacts_) {
        if (it.generation >= generation)
            continue;
        inner::leader_contact contact;
        contact.generation = it.generation;
        contact.first_answered_ago = std::chrono::floor<milliseconds>(now - it.first_requested_at);
        contact.answered_ago = std::chrono::ceil<milliseconds>(now - it.requested_at);
        if (it.agreed_at)
            contact.agreed_ago = std::chrono::floor<milliseconds>(now - *it.agreed_at);
        out.push_back(contact);
    }
    return out;
}

} // namespace baobabport::failover
