#include "failover/member_log.h"

#include <algorithm>
#include <set>

namespace baobabport::failover {

void member_log::begin(std::uint64_t generation)
{
    generation_ = generation;
    version_ = 0;
    newest_ = 0;
    entries_.clear();
    addresses_.clear();
}

void member_log::set(const inner::member &process, std::uint64_t version, bool present)
{
    auto &it = entries_[process.address];
    addresses_.erase(it.version);
    it = {process, version, present};
    addresses_[version] = process.address;
}

bool member_log::update(const std::vector<inner::member> &members)
{
    const auto before = version_;
    std::set<std::string> listed;
    for (const auto &it : members) {
        listed.insert(it.address);
        const auto known = entries_.find(it.address);
        if (known == entries_.end() || !known->second.present || known->second.process != it)
            set(it, ++version_, true);
    }
    std::vector<inner::member> left;
    for (const auto &[address, it] : entries_) {
        if (it.present && !listed.count(address))
            left.push_back(it.process);
    }
    for (const auto &it : left)
        set(it, ++version_, false);
    newest_ = version_;
    return version_ != before;
}

inner::member_changes member_log::changes_since(std::uint64_t generation, std::uint64_t version) const
{
    inner::member_changes out;
    out.generation = generation_;
    out.base = generation == generation_ && version <= version_ ? version : 0;
    out.newest = newest_;
    out.version = version_;
    if (generation == generation_ && version > version_) { // this copy is behind the other
        out.base = out.version = out.newest = version;
        return out;
    }
    for (auto it = addresses_.upper_bound(out.base); it != addresses_.end(); ++it) {
        const auto &entry = entries_.at(it->second);
        if (!entry.present && out.base == 0)
            continue; // an empty list does not contain it
        if (out.changes.size() == max_changes) {
            out.version = out.changes.back().version;
            break;
        }
        out.changes.push_back({entry.version, entry.process, entry.present});
    }
    return out;
}

bool member_log::apply(const inner::member_changes &part)
{
    if (part.base == 0 && (part.generation != generation_ || version_ != 0))
        begin(part.generation);
    if (part.generation != generation_ || part.base != version_)
        return false;
    for (const auto &it : part.changes)
        set(it.process, it.version, it.present);
    version_ = part.version;
    newest_ = std::max({newest_, part.newest, part.version});
    return true;
}

std::vector<inner::member> member_log::members() const
{
    std::vector<inner::member> out;
    for (const auto &[address, it] : entries_) {
        if (it.present)
            out.push_back(it.process);
    }
    return out;
}

} // namespace baobabport::failover
