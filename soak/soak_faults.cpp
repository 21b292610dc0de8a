// The random choice of faults, and the faults of processes, the store and instances.

#include "soak_site.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace soak {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds shortest_fault{200};
constexpr std::uint64_t planned_seed_interval = 3; ///< seeds divisible by this have planned work only

} // namespace

void soak_site::begin_short_fault(const std::string &what, const action &begin, const action &end)
{
    begin_fault(what, random_time(shortest_fault, short_fault), begin, end);
}

void soak_site::begin_fault(const std::string &what, milliseconds time, const action &begin,
                            const action &end)
{
    log_event(what + " for " + std::to_string(time.count()) + " ms");
    ++active_faults_;
    begin();
    const auto slot = fault_ends_.size();
    fault_ends_.push_back([this, end, what] {
        --active_faults_;
        last_disturbed_at_ = std::chrono::steady_clock::now();
        end();
    });
    timers_.push_back(std::make_unique<baobabport::inner::timer>(base_, [this, slot] {
        if (slot < fault_ends_.size() && fault_ends_[slot])
            std::exchange(fault_ends_[slot], {})();
    }));
    timers_.back()->start(time);
}

void soak_site::schedule(milliseconds time, const action &what)
{
    timers_.push_back(std::make_unique<baobabport::inner::timer>(base_, [this, what] {
        if (faults_on_)
            what();
    }));
    timers_.back()->start(time);
}

void soak_site::next_fault()
{
    constexpr std::uint64_t kinds = 5;
    const bool planned_only = options_.seed % planned_seed_interval == 0;
    switch (planned_only ? 0 : random(kinds)) {
    case 0:
        return planned_fault();
    case 1:
        return proxy_fault();
    case 2:
        return store_fault();
    case 3:
        return leader_fault();
    default:
        return instance_fault();
    }
}

void soak_site::planned_fault()
{
    auto &it = pick_random(proxies_);
    const auto stopping =
        std::count_if(proxies_.begin(), proxies_.end(), [](const auto &one) { return one->stopping; });
    constexpr std::uint64_t kinds = 4;
    switch (random(kinds)) {
    case 0:
        if (stopping > 0 || it.suspended)
            return;
        log_event(it.name + " gets SIGTERM");
        return stop(it, SIGTERM);
    case 1:
        if (!it.has_reported_state)
            return; // its signal handlers may not be installed yet
        log_event(it.name + " gets SIGHUP");
        return it.process->send(SIGHUP);
    case 2:
        configure();
        return log_event("desired state " + std::to_string(version_));
    default:
        break;
    }
    auto &draining = pick_random(members_);
    for (const auto &other : members_) {
        if (other->draining_since && other->group == draining.group)
            return; // at most one instance of a group drains at a time
    }
    log_event(draining.id + " leaves");
    draining.draining_since = std::chrono::steady_clock::now();
    register_member(draining);
    timers_.push_back(std::make_unique<baobabport::inner::timer>(base_, [this, &draining] {
        log_event(draining.id + " is replaced");
        auto &instance = draining.group->at(draining.id);
        const bool was_primary = instance.primary; // without a promotion meanwhile it restarts as primary
        instance.crash();
        draining.draining_since.reset();
        ++draining.started;
        instance.restart(was_primary);
        register_member(draining);
    }));
    constexpr milliseconds draining_time{5500};
    timers_.back()->start(draining_time);
}

void soak_site::proxy_fault()
{
    auto &it = pick_random(proxies_);
    if (it.stopping || it.suspended)
        return;
    if (random(2) == 0)
        return kill_process(it);
    suspend(it);
}

void soak_site::kill_process(proxy_process &it)
{
    log_event(it.name + " is killed");
    last_disturbed_at_ = std::chrono::steady_clock::now();
    stop(it, SIGKILL);
}

void soak_site::suspend(proxy_process &it)
{
    begin_short_fault(
        it.name + " is suspended",
        [this, &it] {
            it.suspended = true;
            it.process->send(SIGSTOP);
            mark_disturbed(it);
        },
        [this, &it] {
            if (it.suspended)
                it.process->send(SIGCONT);
            it.suspended = false;
            mark_disturbed(it);
        });
}

void soak_site::store_fault()
{
    auto &affected = pick_random(proxies_);
    if (store_unavailable_ || affected.store_inaccessible)
        return; // the end of a shorter fault would also end the longer one
    auto &link = *affected.store;
    auto &store = *store_;
    constexpr std::uint64_t kinds = 9;
    switch (random(kinds)) {
    case 0:
        return begin_short_fault(
            "the store rejects requests", [&store] { store.faults.refuses = true; },
            [&store] { store.faults.refuses = false; });
    case 1:
        return begin_short_fault(
            "the store is unresponsive", [&store] { store.faults.unresponsive = true; },
            [&store] { store.faults.unresponsive = false; });
    case 2:
        return begin_short_fault(
            "the store is slow", [&store] { store.faults.delay = milliseconds(150); },
            [&store] { store.faults.delay = milliseconds(0); });
    case 3:
        return begin_short_fault(
            "the store loses answers", [&store] { store.faults.lose_answers = 2; },
            [&store] { store.faults.lose_answers = 0; });
    case 4:
        return begin_short_fault(
            "store leases expire early", [&store] { store.expire_leases(); }, [] {});
    case 5:
        return begin_short_fault(
            "the store's watch history is gone", [&store] { store.faults.history_gone = true; },
            [&store] { store.faults.history_gone = false; });
    case 6:
        return begin_short_fault(
            affected.name + " cannot reach the store",
            [this, &affected, &link] {
                mark_disturbed(affected);
                link.faults.refuses = true;
                link.reset();
            },
            [&link] { link.faults.refuses = false; });
    case 7:
        return begin_short_fault(
            "the store's answers to " + affected.name + " are lost",
            [this, &affected, &link] {
                mark_disturbed(affected);
                link.faults.drops_to_caller = true;
            },
            [&link] {
                link.faults.drops_to_caller = false;
                link.reset();
            });
    default:
        return begin_short_fault(
            affected.name + " has a slow link to the store",
            [&link] { link.faults.delay = milliseconds(300); },
            [&link] { link.faults.delay = milliseconds(0); });
    }
}

void soak_site::instance_fault()
{
    auto &it = pick_random(members_);
    auto &instance = it.group->at(it.id);
    if (it.draining_since || instance.crashed())
        return;
    auto &link = *it.link;
    constexpr std::uint64_t kinds = 6;
    switch (random(kinds)) {
    case 0:
        return crash(it, random_time(shortest_fault, short_fault));
    case 1:
        return begin_short_fault(
            it.id + " is unresponsive", [&instance] { instance.unresponsive = true; },
            [&instance] { instance.unresponsive = false; });
    case 2:
        return begin_short_fault(
            "the link to " + it.id + " is reset", [&link] { link.reset(); }, [] {});
    case 3:
        return begin_short_fault(
            "the answers of " + it.id + " are lost", [&link] { link.faults.drops_to_caller = true; },
            [&link] {
                link.faults.drops_to_caller = false;
                link.reset();
            });
    case 4:
        return begin_short_fault(
            "requests to " + it.id + " are lost", [&link] { link.faults.drops_to_target = true; },
            [&link] {
                link.faults.drops_to_target = false;
                link.reset();
            });
    default:
        return begin_short_fault(
            "the link to " + it.id + " is slow", [&link] { link.faults.delay = milliseconds(80); },
            [&link] { link.faults.delay = milliseconds(0); });
    }
}

void soak_site::crash(member &it, milliseconds time)
{
    auto &instance = it.group->at(it.id);
    begin_fault(
        it.id + " crashes", time, [&instance] { instance.crash(); },
        [&it, &instance] {
            bool replaced = false;
            for (const auto &id : it.group->ids())
                replaced = replaced || (it.group->at(id).primary && it.group->at(id).term > instance.term);
            instance.restart(!replaced && instance.primary);
        });
}

} // namespace soak
