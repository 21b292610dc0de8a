#include "support/fault_matrix.h"

namespace fake {

namespace {

constexpr milliseconds load_time{2500};
constexpr milliseconds fault_time{1200};
constexpr milliseconds recovery_time{4000};

/// The fault begins at this occurrence of its step, when there are writes that it could lose.
constexpr int occurrence = 6;

instance_id primary_or_first(const fake_site &site)
{
    return site.primary().value_or(0);
}

instance_id some_replica(const fake_site &site)
{
    return (primary_or_first(site) + 1) % 3;
}

/// Begins a fault and ends it after `fault_time`.
void set_temporarily(fake_site &site, const std::function<void(bool)> &set)
{
    set(true);
    site.after(fault_time, [set] { set(false); });
}

/// Appends writes of other callers to the primary's log that are never acknowledged.
void append_unreplicated_entries(fake_site &site, instance_id primary)
{
    constexpr int entries = 40;
    for (int n = 0; n < entries; ++n) {
        home::upstream_call call;
        call.term = site.group().status(primary).promised_term;
        call.write = true;
        call.statement = "update";
        call.arguments = R"({"key":"tail","value":"0"})";
        call.request_id = "tail-" + std::to_string(n);
        site.group().execute(primary, 0, call, site.now());
    }
}

/// Calls the hook 120 ms after another instance has become primary.
void after_next_promotion(fake_site &site, instance_id old, const std::function<void(instance_id)> &then)
{
    constexpr milliseconds poll{10};
    site.after(poll, [&site, old, then] {
        if (site.healed())
            return;
        const auto next = primary_or_first(site);
        if (next == old) {
            after_next_promotion(site, old, then);
            return;
        }
        constexpr milliseconds time_for_writes{120};
        site.after(time_for_writes, [&site, next, then] {
            if (!site.healed())
                then(next);
        });
    });
}

std::vector<fault> make_faults()
{
    std::vector<fault> out;
    const auto add = [&](const char *name, std::function<void(fake_site &)> begin) {
        out.push_back({name, std::move(begin)});
    };
    add("crash_primary", [](fake_site &site) {
        const auto it = primary_or_first(site);
        set_temporarily(site, [&site, it](bool on) { on ? site.crash(it) : site.restart(it); });
    });
    add("crash_replica", [](fake_site &site) {
        const auto it = some_replica(site);
        set_temporarily(site, [&site, it](bool on) { on ? site.crash(it) : site.restart(it); });
    });
    add("isolate_primary", [](fake_site &site) {
        const auto it = primary_or_first(site);
        set_temporarily(site, [&site, it](bool on) { site.isolate(it, on); });
    });
    add("cut_primary_from_replicas", [](fake_site &site) {
        const auto it = primary_or_first(site);
        set_temporarily(site, [&site, it](bool on) {
            site.disconnect_instances(it, (it + 1) % 3, on);
            site.disconnect_instances(it, (it + 2) % 3, on);
        });
    });
    add("home_alone_with_primary", [](fake_site &site) {
        const auto it = primary_or_first(site);
        set_temporarily(site, [&site, it](bool on) {
            for (instance_id other = 0; other < 3; ++other) {
                site.disconnect_home(other == it ? 1 : 0, other, on);
                if (other != it)
                    site.disconnect_instances(it, other, on);
            }
        });
    });
    add("cut_home_from_primary", [](fake_site &site) {
        const auto it = primary_or_first(site);
        set_temporarily(site, [&site, it](bool on) { site.disconnect_home(0, it, on); });
    });
    add("cut_home_from_all", [](fake_site &site) {
        set_temporarily(site, [&site](bool on) { site.disconnect_home_from_all(0, on); });
    });
    add("pause_home", [](fake_site &site) {
        set_temporarily(site, [&site](bool on) { on ? site.pause(0) : site.resume(0); });
    });
    add("pause_home_and_crash_primary", [](fake_site &site) {
        const auto it = primary_or_first(site);
        set_temporarily(site, [&site, it](bool on) {
            on ? site.pause(0) : site.resume(0);
            on ? site.crash(it) : site.restart(it);
        });
    });
    add("kill_home", [](fake_site &site) { site.after(milliseconds(0), [&site] { site.kill(0); }); });
    add("lose_answer", [](fake_site &site) { site.lose_next_answer(); });
    add("late_answer", [](fake_site &site) { site.delay_next_answer(milliseconds(900)); });
    add("repeated_answer", [](fake_site &site) { site.repeat_next_answer(); });
    add("connections_end", [](fake_site &site) { site.end_connections(0); });
    add("replicas_lag", [](fake_site &site) {
        set_temporarily(site, [&site](bool on) { site.set_lag(milliseconds(on ? 3000 : 20)); });
    });
    add("lag_and_crash_primary", [](fake_site &site) {
        const auto it = primary_or_first(site);
        site.set_lag(milliseconds(300));
        set_temporarily(site, [&site, it](bool on) {
            on ? site.crash(it) : site.restart(it);
            if (!on)
                site.set_lag(milliseconds(20));
        });
    });
    add("primary_leaves", [](fake_site &site) {
        const auto it = primary_or_first(site);
        set_temporarily(site, [&site, it](bool on) { site.set_leaving(it, on); });
    });
    add("old_primary_returns_as_next_fails", [](fake_site &site) {
        // Before it is replaced, the old primary's log becomes longer, in its own term, than that of the next
        // one.
        const auto old = primary_or_first(site);
        site.disconnect_instances(old, (old + 1) % 3, true);
        site.disconnect_instances(old, (old + 2) % 3, true);
        site.after(milliseconds(250), [&site, old] {
            if (site.healed())
                return;
            append_unreplicated_entries(site, old);
            site.isolate(old, true);
        });
        after_next_promotion(site, old, [&site, old](instance_id next) {
            site.crash(next);
            site.isolate(old, false);
        });
    });
    add("crash_two", [](fake_site &site) {
        const auto it = primary_or_first(site);
        const auto other = some_replica(site);
        set_temporarily(site, [&site, it, other](bool on) {
            on ? site.crash(it) : site.restart(it);
            on ? site.crash(other) : site.restart(other);
        });
    });
    return out;
}

/// Begins a fault at a given occurrence of a step.
struct trigger
{
    std::string step;
    const fault *what = nullptr;
    int remaining = occurrence;
    bool done = false;
};

const fault *find_fault(const std::string &name)
{
    for (const auto &it : all_faults()) {
        if (it.name == name)
            return &it;
    }
    return nullptr;
}

} // namespace

const std::vector<fault> &all_faults()
{
    static const auto faults = make_faults();
    return faults;
}

const std::vector<std::string> &all_steps()
{
    static const std::vector<std::string> steps = {
        "sent_write",     "executed_write",  "answered_write",     "sent_read",
        "executed_read",  "answered_read",   "sent_begin",         "executed_begin",
        "answered_begin", "sent_statement",  "executed_statement", "answered_statement",
        "sent_commit",    "executed_commit", "answered_commit",    "asked_peer",
        "sent_fence",     "fenced",          "sent_promote",       "promoted",
        "published",      "takeover"};
    return steps;
}

cell_result run_cell(const matrix_cell &cell, const home::home_defects &home_defects,
                     const failover::failover_defects &failover_defects)
{
    site_options options;
    options.seed = cell.seed;
    options.home_defects = home_defects;
    options.failover_defects = failover_defects;
    fake_site site(options);
    workload load(site, cell.seed);
    load.split_homes = cell.split_homes;
    load.without_tokens = cell.without_tokens;
    load.alternates_homes = cell.alternates_homes;

    std::vector<trigger> triggers;
    triggers.push_back({cell.step, find_fault(cell.fault)});
    if (!cell.second_fault.empty())
        triggers.push_back({cell.second_step, find_fault(cell.second_fault)});
    site.on_step = [&](const std::string &step) {
        for (auto &it : triggers) {
            const bool rare = step == "asked_peer" || step == "sent_fence" || step == "fenced" ||
                              step == "sent_promote" || step == "promoted" || step == "published";
            if (it.done || it.step != step || (!rare && --it.remaining > 0))
                continue;
            it.done = true;
            it.what->begin(site);
        }
    };
    const bool needs_failover = cell.step == "asked_peer" || cell.step == "sent_fence" ||
                                cell.step == "fenced" || cell.step == "sent_promote" ||
                                cell.step == "promoted" || cell.step == "published";
    if (needs_failover) {
        site.at(milliseconds(600), [&] { site.crash(primary_or_first(site)); });
        site.at(milliseconds(1500), [&] {
            for (instance_id it = 0; it < 3; ++it)
                site.restart(it);
        });
    }
    if (cell.step == "takeover") {
        site.at(milliseconds(600), [&] {
            site.kill(0);
            site.on_step("takeover");
        });
        triggers.front().remaining = 1;
    }
    load.start();
    site.run_for(load_time);
    load.stop();
    site.heal();
    site.run_for(recovery_time);

    cell_result out;
    out.fault_happened = triggers.front().done;
    out.acknowledged = load.acknowledged();
    out.longest_gap = load.longest_gap();
    // Service must have recovered: a new write through either home is acknowledged.
    for (std::size_t n = 0; n < 2; ++n) {
        inner::statement_request probe;
        probe.database = "db";
        probe.class_name = "booking";
        probe.statement = "update";
        probe.arguments = R"({"key":"probe","value":"1"})";
        probe.request_id = "probe-" + std::to_string(n);
        probe.caller = "probe";
        probe.time_left = milliseconds(2000);
        bool ran = false;
        site.submit(n, probe, [&](const auto &answer) { ran = answer.outcome == consistency::verdict::ran; });
        site.run_for(milliseconds(2500));
        if (!ran)
            out.violations.push_back("no service through home " + std::to_string(n) +
                                     " after all faults ended");
    }
    const auto found = load.check();
    out.violations.insert(out.violations.end(), found.begin(), found.end());
    return out;
}

std::string read_through_replaced_primary(const home::home_defects &defects)
{
    site_options options;
    options.home_defects = defects;
    fake_site site(options);
    inner::statement_request write;
    write.database = "db";
    write.class_name = "booking";
    write.statement = "update";
    write.arguments = R"({"key":"k","value":"1"})";
    write.caller = "caller";
    write.time_left = milliseconds(800);
    auto read = write;
    read.class_name = "visit";
    read.statement = "select";
    const auto send = [&](std::size_t home, const inner::statement_request &request) {
        inner::statement_answer out;
        site.submit(home, request, [&out](const auto &answer) { out = answer; });
        site.run_for(milliseconds(1000));
        return out;
    };
    send(0, write);
    const auto old = site.primary().value_or(0);
    for (instance_id it = 0; it < 3; ++it) {
        site.disconnect_home(it == old ? 1 : 0, it, true);
        if (it != old)
            site.disconnect_instances(old, it, true);
    }
    write.arguments = R"({"key":"k","value":"2"})";
    // The first attempts make the second home check the group and promote; one of them is acknowledged.
    for (int n = 0; n < 4; ++n) {
        if (send(1, write).outcome == consistency::verdict::ran)
            break;
    }
    const auto answer = send(0, read);
    return answer.outcome == consistency::verdict::ran ? answer.rows : std::string();
}

std::string to_string(const matrix_cell &cell)
{
    auto out = cell.fault + " at " + cell.step;
    if (!cell.second_fault.empty())
        out += ", then " + cell.second_fault + " at " + cell.second_step;
    out += ", seed " + std::to_string(cell.seed);
    if (cell.split_homes)
        out += ", two homes at once";
    if (cell.alternates_homes)
        out += ", alternating homes";
    if (cell.without_tokens)
        out += ", without tokens";
    return out;
}

} // namespace fake
