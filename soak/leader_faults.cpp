// Faults around the failover duty, each with a primary that crashes while they last.

#include "soak_site.h"

#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>

namespace soak {

using std::chrono::milliseconds;

namespace {

/// Longer than any time that a process remembers others for.
constexpr milliseconds longest_leader_fault{15000};
/// A process forgets another that it has not heard for this long: `membership_tracker::member_retention`.
constexpr milliseconds forgotten_after{10000};
/// A holder that still acts then is found by a crash in this span.
constexpr milliseconds forgotten_span{4000};

} // namespace

milliseconds soak_site::random_time(milliseconds least, milliseconds most)
{
    return least + milliseconds(random(static_cast<std::uint64_t>((most - least).count()) + 1));
}

soak_site::machine &soak_site::current_leader()
{
    constexpr const char *key = "baobabport/failover/holder";
    if (store_->has(key)) {
        const auto fields = nlohmann::json::parse(store_->value(key), nullptr, false);
        const auto name = fields.is_object() ? fields.value("vm", "") : "";
        for (auto &it : machines_) {
            if (it->name == name)
                return *it;
        }
    }
    return any(machines_);
}

void soak_site::leader_fault()
{
    const auto now = std::chrono::steady_clock::now();
    if (now < leader_fault_until_)
        return;
    const auto most = std::clamp(options_.faults_for / 2, short_fault, longest_leader_fault);
    // The longer of two, since what a process remembers has to run out.
    const auto time = std::max(random_time(short_fault, most), random_time(short_fault, most));
    leader_fault_until_ = now + time;
    if (random(2) == 0)
        next_fault_at_ = now + time; // alone
    constexpr std::uint64_t kinds = 4;
    switch (random(kinds)) {
    case 0:
        return store_outage(time);
    case 1:
        return kill_leaders(time);
    default:
        return turn_away(random(4) == 0 ? any(machines_) : current_leader(), time);
    }
}

void soak_site::turn_away(machine &it, milliseconds time)
{
    if (it.stopping || it.frozen || it.away)
        return;
    auto &other = any(machines_);
    if (&other != &it && random(2) == 0)
        kill_process(other);
    auto &way = *it.store;
    const bool refuses = random(2) == 0;
    const bool alone = random(3) == 0;
    auto what = "the store turns " + it.name + (refuses ? " away" : " away in silence");
    if (alone)
        what += ", which loses its links to the others";
    for_time(
        what, time,
        [this, &it, &way, refuses, alone] {
            it.away = true;
            if (alone)
                peers_.cut(it.name);
            way.faults.refuses = refuses;
            way.faults.silent_to_target = !refuses;
            way.reset();
            disturb(it);
        },
        [this, &it, &way] {
            it.away = false;
            peers_.heal(it.name);
            way.faults = {};
            way.reset();
        });
    crash_primaries(time);
}

void soak_site::store_outage(milliseconds time)
{
    auto &faults = store_->faults;
    bool &kind = random(2) == 0 ? faults.refuses : faults.silent;
    for_time(
        "the store is away", time,
        [this, &kind] {
            kind = true;
            store_away_ = true;
        },
        [this, &kind] {
            kind = false;
            store_away_ = false;
        });
    crash_primaries(time);
    const auto what = random(4);
    later(random_time({}, time), [this, what] {
        auto &it = current_leader();
        if (it.stopping || it.frozen || what == 0)
            return;
        if (what == 1)
            return kill_process(it);
        if (what == 2)
            return freeze(it);
        note(it.name + " gets SIGTERM");
        stop(it, SIGTERM);
    });
}

void soak_site::kill_leaders(milliseconds time)
{
    constexpr milliseconds least{1000}; // a successor may have the duty by then, or not
    constexpr milliseconds most{4500};
    for (auto at = milliseconds(0); at < time; at += random_time(least, most)) {
        later(at, [this] {
            auto &it = current_leader();
            if (!it.stopping && !it.frozen)
                kill_process(it);
        });
    }
    crash_primaries(time);
}

void soak_site::crash_primaries(milliseconds time)
{
    const auto &one = any(members_).group->service();
    later(random_time({}, time), [this, one] { crash_primary(one); });
    if (time <= forgotten_after)
        return;
    for (const auto &it : groups_) {
        later(random_time(forgotten_after, std::min(time, forgotten_after + forgotten_span)),
              [this, service = it.first] { crash_primary(service); });
    }
}

void soak_site::crash_primary(const std::string &service)
{
    member *primary = nullptr;
    for (auto &it : members_) {
        const auto &instance = it->group->at(it->id);
        const bool leads = it->group->service() == service && instance.primary;
        if (leads && (!primary || instance.term > primary->group->at(primary->id).term))
            primary = it.get();
    }
    constexpr milliseconds least{1500}; // long enough to be replaced
    if (primary && !primary->draining_since && !primary->group->at(primary->id).crashed())
        crash(*primary, random_time(least, short_fault));
}

} // namespace soak
