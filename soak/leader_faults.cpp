// Faults around the failover leadership; during each of them at least one primary crashes.

#include "soak_site.h"

#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>

namespace soak {

using std::chrono::milliseconds;

namespace {

/// Longer than any time for which a process retains information about its peers.
constexpr milliseconds max_leader_fault{15000};
/// A process removes a peer from its membership after this time without a message from it:
/// `membership_tracker::member_retention`.
constexpr milliseconds member_expiry{10000};
/// A primary crashes within this span after `member_expiry`, which reveals a former leader that still acts.
constexpr milliseconds member_expiry_span{4000};

} // namespace

milliseconds soak_site::random_time(milliseconds shortest, milliseconds longest)
{
    return shortest + milliseconds(random(static_cast<std::uint64_t>((longest - shortest).count()) + 1));
}

soak_site::proxy_process &soak_site::current_leader()
{
    constexpr const char *key = "baobabport/failover/holder";
    if (store_->has(key)) {
        const auto fields = nlohmann::json::parse(store_->value(key), nullptr, false);
        const auto name = fields.is_object() ? fields.value("vm", "") : "";
        for (auto &it : proxies_) {
            if (it->name == name)
                return *it;
        }
    }
    return pick_random(proxies_);
}

void soak_site::leader_fault()
{
    const auto now = std::chrono::steady_clock::now();
    if (now < leader_fault_until_)
        return;
    const auto longest = std::clamp(options_.faults_for / 2, short_fault, max_leader_fault);
    // The longer of two random times, so that the retention times of the processes often expire.
    const auto time = std::max(random_time(short_fault, longest), random_time(short_fault, longest));
    leader_fault_until_ = now + time;
    if (random(2) == 0)
        next_fault_at_ = now + time; // no other fault begins meanwhile
    constexpr std::uint64_t kinds = 4;
    switch (random(kinds)) {
    case 0:
        return store_outage(time);
    case 1:
        return kill_leaders(time);
    default:
        return block_store_access(random(4) == 0 ? pick_random(proxies_) : current_leader(), time);
    }
}

void soak_site::block_store_access(proxy_process &it, milliseconds time)
{
    if (it.stopping || it.suspended || it.store_inaccessible)
        return;
    auto &other = pick_random(proxies_);
    if (&other != &it && random(2) == 0)
        kill_process(other);
    auto &link = *it.store;
    const bool refuses = random(2) == 0;
    const bool without_peers = random(3) == 0;
    auto what = "the store turns " + it.name + (refuses ? " away" : " away in silence");
    if (without_peers)
        what += ", which also loses its links to its peers";
    begin_fault(
        what, time,
        [this, &it, &link, refuses, without_peers] {
            it.store_inaccessible = true;
            if (without_peers)
                peers_.disconnect(it.name);
            link.faults.refuses = refuses;
            link.faults.drops_to_target = !refuses;
            link.reset();
            mark_disturbed(it);
        },
        [this, &it, &link] {
            it.store_inaccessible = false;
            peers_.reconnect(it.name);
            link.faults = {};
            link.reset();
        });
    crash_primaries(time);
}

void soak_site::store_outage(milliseconds time)
{
    auto &faults = store_->faults;
    bool &kind = random(2) == 0 ? faults.refuses : faults.unresponsive;
    begin_fault(
        "the store is unavailable", time,
        [this, &kind] {
            kind = true;
            store_unavailable_ = true;
        },
        [this, &kind] {
            kind = false;
            store_unavailable_ = false;
        });
    crash_primaries(time);
    const auto what = random(4);
    schedule(random_time({}, time), [this, what] {
        auto &it = current_leader();
        if (it.stopping || it.suspended || what == 0)
            return;
        if (what == 1)
            return kill_process(it);
        if (what == 2)
            return suspend(it);
        log_event(it.name + " gets SIGTERM");
        stop(it, SIGTERM);
    });
}

void soak_site::kill_leaders(milliseconds time)
{
    constexpr milliseconds shortest{1000}; // the next leader may or may not be elected by then
    constexpr milliseconds longest{4500};
    for (auto at = milliseconds(0); at < time; at += random_time(shortest, longest)) {
        schedule(at, [this] {
            auto &it = current_leader();
            if (!it.stopping && !it.suspended)
                kill_process(it);
        });
    }
    crash_primaries(time);
}

void soak_site::crash_primaries(milliseconds time)
{
    const auto &one = pick_random(members_).group->service();
    schedule(random_time({}, time), [this, one] { crash_primary(one); });
    if (time <= member_expiry)
        return;
    for (const auto &it : groups_) {
        schedule(random_time(member_expiry, std::min(time, member_expiry + member_expiry_span)),
                 [this, service = it.first] { crash_primary(service); });
    }
}

void soak_site::crash_primary(const std::string &service)
{
    member *primary = nullptr;
    for (auto &it : members_) {
        const auto &instance = it->group->at(it->id);
        const bool is_primary = it->group->service() == service && instance.primary;
        if (is_primary && (!primary || instance.term > primary->group->at(primary->id).term))
            primary = it.get();
    }
    constexpr milliseconds shortest{1500}; // long enough for the primary to be replaced
    if (primary && !primary->draining_since && !primary->group->at(primary->id).crashed())
        crash(*primary, random_time(shortest, short_fault));
}

} // namespace soak
