// The faults that a seed may bring about.

#include "soak_site.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace soak {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds shortest_fault{200};
constexpr std::uint64_t planned_share = 3; ///< one seed in so many has planned work only

} // namespace

void soak_site::for_a_while(const std::string &what, const action &begin, const action &end)
{
    for_time(what, random_time(shortest_fault, short_fault), begin, end);
}

void soak_site::for_time(const std::string &what, milliseconds time, const action &begin, const action &end)
{
    note(what + " for " + std::to_string(time.count()) + " ms");
    ++disturbances_;
    begin();
    const auto slot = open_ends_.size();
    open_ends_.push_back([this, end, what] {
        --disturbances_;
        disturbed_until_ = std::chrono::steady_clock::now();
        end();
    });
    timers_.push_back(std::make_unique<baobabport::inner::timer>(base_, [this, slot] {
        if (slot < open_ends_.size() && open_ends_[slot])
            std::exchange(open_ends_[slot], {})();
    }));
    timers_.back()->start(time);
}

void soak_site::later(milliseconds time, const action &what)
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
    const bool planned_only = options_.seed % planned_share == 0;
    switch (planned_only ? 0 : random(kinds)) {
    case 0:
        return planned_fault();
    case 1:
        return machine_fault();
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
    auto &it = any(machines_);
    const auto stopping =
        std::count_if(machines_.begin(), machines_.end(), [](const auto &one) { return one->stopping; });
    constexpr std::uint64_t kinds = 4;
    switch (random(kinds)) {
    case 0:
        if (stopping > 0 || it.frozen)
            return;
        note(it.name + " gets SIGTERM");
        return stop(it, SIGTERM);
    case 1:
        if (!it.answers)
            return; // it may not handle signals yet
        note(it.name + " gets SIGHUP");
        return it.process->send(SIGHUP);
    case 2:
        configure();
        return note("desired state " + std::to_string(version_));
    default:
        break;
    }
    auto &leaving = any(members_);
    for (const auto &other : members_) {
        if (other->draining_since && other->group == leaving.group)
            return; // one at a time
    }
    note(leaving.id + " leaves");
    leaving.draining_since = std::chrono::steady_clock::now();
    register_member(leaving);
    timers_.push_back(std::make_unique<baobabport::inner::timer>(base_, [this, &leaving] {
        note(leaving.id + " is replaced");
        auto &instance = leaving.group->at(leaving.id);
        const bool led = instance.primary; // nobody took over: it comes back as it was
        instance.crash();
        leaving.draining_since.reset();
        ++leaving.started;
        instance.restart(led);
        register_member(leaving);
    }));
    constexpr milliseconds serves_on{5500};
    timers_.back()->start(serves_on);
}

void soak_site::machine_fault()
{
    auto &it = any(machines_);
    if (it.stopping || it.frozen)
        return;
    if (random(2) == 0)
        return kill_process(it);
    freeze(it);
}

void soak_site::kill_process(machine &it)
{
    note(it.name + " is killed");
    disturbed_until_ = std::chrono::steady_clock::now();
    stop(it, SIGKILL);
}

void soak_site::freeze(machine &it)
{
    for_a_while(
        it.name + " is frozen",
        [this, &it] {
            it.frozen = true;
            it.process->send(SIGSTOP);
            disturb(it);
        },
        [this, &it] {
            if (it.frozen)
                it.process->send(SIGCONT);
            it.frozen = false;
            disturb(it);
        });
}

void soak_site::store_fault()
{
    auto &cut_off = any(machines_);
    if (store_away_ || cut_off.away)
        return; // a shorter fault would end the longer one
    auto &way = *cut_off.store;
    auto &store = *store_;
    constexpr std::uint64_t kinds = 9;
    switch (random(kinds)) {
    case 0:
        return for_a_while(
            "the store refuses", [&store] { store.faults.refuses = true; },
            [&store] { store.faults.refuses = false; });
    case 1:
        return for_a_while(
            "the store is silent", [&store] { store.faults.silent = true; },
            [&store] { store.faults.silent = false; });
    case 2:
        return for_a_while(
            "the store is slow", [&store] { store.faults.delay = milliseconds(150); },
            [&store] { store.faults.delay = milliseconds(0); });
    case 3:
        return for_a_while(
            "the store loses answers", [&store] { store.faults.lose_answers = 2; },
            [&store] { store.faults.lose_answers = 0; });
    case 4:
        return for_a_while(
            "leases end early", [&store] { store.end_leases(); }, [] {});
    case 5:
        return for_a_while(
            "the store's history is gone", [&store] { store.faults.history_gone = true; },
            [&store] { store.faults.history_gone = false; });
    case 6:
        return for_a_while(
            cut_off.name + " cannot reach the store",
            [this, &cut_off, &way] {
                disturb(cut_off);
                way.faults.refuses = true;
                way.reset();
            },
            [&way] { way.faults.refuses = false; });
    case 7:
        return for_a_while(
            "the store's answers to " + cut_off.name + " are lost",
            [this, &cut_off, &way] {
                disturb(cut_off);
                way.faults.silent_to_caller = true;
            },
            [&way] {
                way.faults.silent_to_caller = false;
                way.reset();
            });
    default:
        return for_a_while(
            cut_off.name + " hears the store late", [&way] { way.faults.delay = milliseconds(300); },
            [&way] { way.faults.delay = milliseconds(0); });
    }
}

void soak_site::instance_fault()
{
    auto &it = any(members_);
    auto &instance = it.group->at(it.id);
    if (it.draining_since || instance.crashed())
        return;
    auto &way = *it.way;
    constexpr std::uint64_t kinds = 6;
    switch (random(kinds)) {
    case 0:
        return crash(it, random_time(shortest_fault, short_fault));
    case 1:
        return for_a_while(
            it.id + " is silent", [&instance] { instance.unresponsive = true; },
            [&instance] { instance.unresponsive = false; });
    case 2:
        return for_a_while(
            "the way to " + it.id + " is reset", [&way] { way.reset(); }, [] {});
    case 3:
        return for_a_while(
            "the answers of " + it.id + " are lost", [&way] { way.faults.silent_to_caller = true; },
            [&way] {
                way.faults.silent_to_caller = false;
                way.reset();
            });
    case 4:
        return for_a_while(
            "what is sent to " + it.id + " is lost", [&way] { way.faults.silent_to_target = true; },
            [&way] {
                way.faults.silent_to_target = false;
                way.reset();
            });
    default:
        return for_a_while(
            "the way to " + it.id + " is slow", [&way] { way.faults.delay = milliseconds(80); },
            [&way] { way.faults.delay = milliseconds(0); });
    }
}

void soak_site::crash(member &it, milliseconds time)
{
    auto &instance = it.group->at(it.id);
    for_time(
        it.id + " crashes", time, [&instance] { instance.crash(); },
        [&it, &instance] {
            bool led_since = false;
            for (const auto &id : it.group->ids())
                led_since = led_since || (it.group->at(id).primary && it.group->at(id).term > instance.term);
            instance.restart(!led_since && instance.primary);
        });
}

} // namespace soak
