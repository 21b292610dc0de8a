#include "soak_site.h"

#include "support/free_address.h"
#include "support/keys.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <event2/event.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace soak {

using namespace baobabport;
using nlohmann::json;
using std::chrono::milliseconds;

std::atomic<bool> interrupted{false};

namespace {

/// Rules with a time bound apply after this time without a disturbance, as on the users' machines.
constexpr milliseconds settling_time{4000};
constexpr milliseconds configuration_bound{3000};
constexpr milliseconds drain_bound{4000};
constexpr milliseconds shutdown_time{4000};
/// Every caller must be served within this time after the last fault; the bound on the users' sites.
constexpr milliseconds recovery_bound{12000};
constexpr milliseconds state_request_interval{400};
constexpr const char *process_prefix = "front-";
const std::vector<std::string> services = {"db0", "db1"};

json route(const std::string &database, const std::string &kind, const std::string &service)
{
    json out{{"name", "r-" + database},   {"database", database}, {"type", kind},      {"timeout_ms", 1500},
             {"target_latency_ms", 1000}, {"priority", 1},        {"backend", service}};
    if (kind != "primary")
        out["max_staleness_ms"] = 2500;
    return out;
}

/// Replaces a text within the base64 values of a store request by one of the same length.
void rename_in_values(std::string &bytes, const std::string &from, const std::string &to)
{
    const std::string name = "\"value\":\"";
    for (auto at = bytes.find(name); at != std::string::npos; at = bytes.find(name, at)) {
        at += name.size();
        const auto length = std::min(bytes.find('"', at), bytes.size()) - at;
        auto value = support::from_base64(bytes.substr(at, length)).value_or("");
        if (const auto found = value.find(from); found != std::string::npos)
            bytes.replace(at, length, support::to_base64(value.replace(found, from.size(), to)));
    }
}

} // namespace

soak_site::soak_site(const soak_options &options)
    : options_(options), random_(options.seed), base_(event_base_new()), plan_(random_),
      keys_({strict_revocation(), options.quotas, process_prefix}),
      begun_at_(std::chrono::steady_clock::now()), peers_(base_)
{
    writes_.on_violation = [this](const auto &text) { log_event("BROKEN " + text); };
    std::filesystem::create_directories(options_.folder);
    store_ =
        std::make_unique<standin::kv_service>(base_, testing::free_address(), [](const auto &.../*order*/) {
            return 404;
        }); // promotion orders go to a separate endpoint for each process
    make_groups();
    configure();
    make_proxies();
    peers_.observe = [this](const auto &bytes) { check_for_keys(bytes, "a message between processes"); };
    caller_keys keys{&keys_, [this] { return plan_.pick_key(); }, {"main", "own", "old"}};
    if (has_workspaces())
        keys.routes.emplace_back("open");
    for (std::size_t n = 0; n < options_.callers; ++n)
        callers_.push_back(std::make_unique<caller>(base_, writes_, account_, entries_, keys,
                                                    "s" + std::to_string(n), services[n % services.size()],
                                                    random_()));
}

soak_site::~soak_site() = default;

void soak_site::make_groups()
{
    for (const auto &service : services) {
        const std::vector<std::string> ids = {service + "-a", service + "-b", service + "-c"};
        auto &group = groups_[service] = std::make_unique<standin::line_group>(base_, service, ids);
        group->traits.slots = 2;
        group->traits.statement_time = milliseconds(2);
        group->traits.lag = milliseconds(20);
        group->traits.promote = milliseconds(200);
        group->traits.max_connections = 40;
        group->rolled_back = [this](const auto &entry, bool only_at_primary) {
            for (const auto &[item, value] : entry.items) {
                std::string text = "rolled back: " + item;
                text.append(" ").append(value).append(only_at_primary ? ", which only the primary had" : "");
                log_event(text);
                if (only_at_primary)
                    writes_.record_loss(item, std::strtoull(value.c_str(), nullptr, 10));
            }
        };
        for (const auto &id : ids) {
            auto it = std::make_unique<member>();
            it->group = group.get();
            it->id = id;
            it->link = std::make_unique<relay>(base_, testing::free_address(), group->at(id).address());
            register_member(*it);
            members_.push_back(std::move(it));
        }
    }
}

void soak_site::register_member(member &it)
{
    const auto &instance = it.group->at(it.id);
    const json record{{"backend", it.group->service()},
                      {"address", it.link->at().text()},
                      {"zone", "erie"},
                      {"version", "1"},
                      {"slots", 2},
                      {"state", it.draining_since ? "draining" : "ready"},
                      {"cold_remaining_ms", 0},
                      {"sequence", 1},
                      {"born", it.started},
                      {"db_role", instance.primary ? "primary" : "replica"}};
    store_->put("servers/" + it.id, record.dump());
}

void soak_site::configure()
{
    json routes = json::array();
    json backends = json::array();
    for (const auto &it : services) {
        routes.push_back(route("main" + it, "primary", it));
        routes.push_back(route("own" + it, "read_your_writes", it));
        routes.push_back(route("old" + it, "bounded", it));
        if (has_workspaces()) {
            routes.push_back(route("open" + it, "primary", it));
            routes.back()["public"] = true;
        }
        backends.push_back({{"name", it}, {"max_connections", 40}, {"sync_replicas", 0}});
    }
    version_ += 1 + random(3);
    version_at_ = std::chrono::steady_clock::now();
    json state{{"version", version_},
               {"routes", routes},
               {"backends", backends},
               {"limits", {{"tx_idle_ms", 1000}}}};
    if (has_workspaces())
        state["tenants"] = plan_.tenants();
    keys_.record_state(has_workspaces() ? std::optional(plan_.state()) : std::nullopt, version_at_);
    store_->put("op/config", state.dump());
}

void soak_site::make_proxies()
{
    for (std::size_t n = 0; n < options_.processes; ++n) {
        auto it = std::make_unique<proxy_process>();
        it->name = process_prefix + std::to_string(n + 1);
        it->settings = options_.folder + '/' + it->name + ".json";
        it->callers = testing::free_address();
        it->admin = testing::free_address();
        it->store = std::make_unique<relay>(base_, testing::free_address(), store_->address());
        const auto peers = testing::free_address();
        // The leader key must hold the public address of the process, at which its peers reach it.
        it->store->rewrite = [from = peers.text(), to = peers_.add(it->name, peers).text()](auto &bytes) {
            // Only in the field that peers read: in the leadership record the address is part of a name.
            const std::string field = R"("peer":")";
            rename_in_values(bytes, field + from, field + to);
        };
        const auto orders = testing::free_address();
        it->orders = std::make_unique<order_endpoint>(
            base_, orders, it->name, [this](const auto &order) { return handle_order(order); });
        std::ofstream(it->settings) << json{{"process", it->name},
                                            {"data_centre", "erie"},
                                            {"callers", it->callers.text()},
                                            {"probe", testing::free_address().text()},
                                            {"admin", it->admin.text()},
                                            {"peers", peers.text()},
                                            {"store", it->store->at().text()},
                                            {"promotion_orders", orders.text()},
                                            {"shutdown_s", std::to_string(shutdown_time.count() / 1000)},
                                            {"configuration_bound_ms",
                                             std::to_string(configuration_bound.count())},
                                            {"drain_bound_ms", std::to_string(drain_bound.count())},
                                            {"strict_revocation", strict_revocation() ? "true" : "false"},
                                            {"revoke_ms",
                                             std::to_string(workspace_account::revocation_bound.count())}}
                                           .dump(2);
        entries_.push_back({it->callers, [this] { return quiescent(); },
                            [this](const auto &id) {
                                check_statements();
                                return ran_.count(id) > 0;
                            }});
        start(*it);
        proxies_.push_back(std::move(it));
    }
}

void soak_site::start(proxy_process &it)
{
    it.process =
        std::make_unique<child_process>(std::vector<std::string>{options_.program, "--settings", it.settings},
                                        options_.folder + '/' + it.name + ".log");
    it.stopping = false;
    it.suspended = false;
    it.newest_version_seen = 0;
    it.has_reported_state = false;
    it.started_at = std::chrono::steady_clock::now();
    mark_disturbed(it);
    log_event(it.name + " started");
}

void soak_site::stop(proxy_process &it, int signal)
{
    if (it.suspended)
        it.process->send(SIGCONT);
    it.suspended = false;
    it.stopping = true;
    it.kill_deadline = std::chrono::steady_clock::now() + shutdown_time + milliseconds(500);
    mark_disturbed(it);
    it.process->send(signal);
}

bool soak_site::run_until(const std::function<bool()> &condition, milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    inner::timer wake(base_, [this] { tick(); });
    wake.repeat(milliseconds(20));
    while (!condition() && std::chrono::steady_clock::now() < end) {
        event_base_loop(base_, EVLOOP_ONCE);
        if (interrupted)
            throw std::runtime_error("interrupted");
    }
    return condition();
}

void soak_site::run_for(milliseconds time)
{
    run_until([] { return false; }, time);
}

const std::vector<std::string> &soak_site::run()
{
    run_for(milliseconds(2500)); // enough for every process to find its peers
    faults_on_ = true;
    run_for(options_.faults_for);
    faults_on_ = false;
    end_faults();
    check_recovery();
    if (has_workspaces())
        check_final_removal();
    for (auto &it : callers_)
        it->stop();
    run_for(milliseconds(500));
    check_logs();
    for (const auto &[service, group] : groups_) {
        const standin::line_instance *newest = nullptr;
        for (const auto &id : group->ids()) {
            const auto &it = group->at(id);
            if (it.primary && (!newest || it.term > newest->term))
                newest = &it;
        }
        newest ? writes_.check_log(service, newest->log)
               : writes_.violation(service + " has no primary at the end");
    }
    return writes_.violations();
}

void soak_site::tick()
{
    const auto now = std::chrono::steady_clock::now();
    check_proxies();
    check_statements();
    record_leadership();
    if (now >= next_state_request_at_) {
        next_state_request_at_ = now + state_request_interval;
        request_states();
    }
    if (faults_on_ && now >= next_fault_at_) {
        constexpr std::uint64_t max_pause_ms = 900;
        next_fault_at_ = now + milliseconds(100 + random(max_pause_ms));
        next_fault();
    }
    if (faults_on_ && has_workspaces() && now >= next_key_change_at_) {
        // Some times are longer than the bound of a change, so that this is checked, too.
        next_key_change_at_ = now + random_time(milliseconds(500), 2 * configuration_bound);
        change_keys();
    }
}

void soak_site::check_proxies()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto &it : proxies_) {
        if (it->process->alive()) {
            if (it->stopping && now > it->kill_deadline) {
                if (quiescent())
                    writes_.violation(it->name + " did not end in its time after SIGTERM");
                it->process->send(SIGKILL);
            }
            continue;
        }
        if (!it->stopping)
            writes_.violation(it->name + " ended by itself: " + it->process->end());
        log_event(it->name + " ended: " + it->process->end());
        start(*it);
    }
}

void soak_site::check_statements()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto &[service, group] : groups_) {
        for (const auto &it : std::exchange(group->ran, {})) {
            ran_.insert(it.id);
            for (const auto &text : account_.check(it))
                writes_.violation(text);
            for (const auto &text : keys_.check(it, now, quiescent()))
                writes_.violation(text);
            const auto who = it.id.substr(0, it.id.find('-'));
            const auto tag = it.values.find("tag");
            if (tag == it.values.end() || tag->second != who)
                writes_.violation("statement " + it.id + " ran with the values of another session");
            for (const auto &registered : members_) {
                const bool late = registered->id == it.instance && registered->draining_since &&
                                  !it.in_transaction &&
                                  now > *registered->draining_since + drain_bound + milliseconds(100);
                if (late && quiescent())
                    writes_.violation("statement " + it.id + " reached " + it.instance +
                                      " long after it left");
            }
        }
    }
}

void soak_site::record_leadership()
{
    constexpr const char *key = "baobabport/failover/generation";
    if (!store_->has(key))
        return;
    const auto fields = json::parse(store_->value(key), nullptr, false);
    if (fields.is_object())
        orders_.record_generation(fields.value("generation", std::uint64_t{0}),
                                  std::chrono::steady_clock::now());
}

void soak_site::mark_disturbed(const proxy_process &it)
{
    orders_.record_disturbance(it.name, std::chrono::steady_clock::now());
}

int soak_site::handle_order(const promotion_order &order)
{
    constexpr int accepted = 200;
    constexpr int not_running = 409;
    const auto group = groups_.find(order.service);
    const bool is_accepted = group != groups_.end() && group->second->promote(order.instance);
    log_event(order.from + " orders to promote " + order.instance + ", generation " +
              std::to_string(order.generation) + (is_accepted ? "" : ", not running"));
    orders_.record_order(order, std::chrono::steady_clock::now());
    return is_accepted ? accepted : not_running;
}

void soak_site::request_states()
{
    for (auto &it : proxies_) {
        if (it->suspended || it->stopping || !it->process->alive())
            continue;
        it->state_request = std::make_unique<http::http_client>(base_, it->admin);
        it->state_request->send(
            {http::method_kind::get, "/v1/state", {}, {}, milliseconds(1000)},
            [this, raw = it.get(), incarnation = it->started_at,
             requested_at = std::chrono::steady_clock::now()](const auto &answer) {
                const auto state = json::parse(answer.body, nullptr, false);
                if (answer.status != 200 || !state.is_object() || raw->started_at != incarnation)
                    return;
                raw->has_reported_state = true;
                check_for_keys(answer.body, "the state of " + raw->name);
                const auto seen = state.value("desired_state_version", std::uint64_t{0});
                if (seen < raw->newest_version_seen)
                    writes_.violation(raw->name + " went back to version " + std::to_string(seen));
                raw->newest_version_seen = seen;
                const bool due = requested_at - version_at_ > configuration_bound &&
                                 requested_at - raw->started_at > settling_time;
                if (due && quiescent() && seen != version_)
                    writes_.violation(raw->name + " has version " + std::to_string(seen) + ", not " +
                                      std::to_string(version_));
            });
    }
}

bool soak_site::quiescent() const
{
    return active_faults_ == 0 && std::chrono::steady_clock::now() - last_disturbed_at_ > settling_time;
}

void soak_site::log_event(const std::string &text)
{
    const auto at = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begun_at_);
    events_.push_back(std::to_string(at.count()) + " ms: " + text);
}

void soak_site::end_faults()
{
    log_event("all faults end");
    for (auto &it : std::exchange(fault_ends_, {})) {
        if (it)
            it();
    }
}

void soak_site::check_recovery()
{
    const auto served_by_all = [this] {
        std::size_t served = 0;
        for (const auto &it : callers_)
            served += it->served() > 0 ? 1 : 0;
        return served == callers_.size();
    };
    for (auto &it : callers_)
        it->reset_served();
    if (!run_until(served_by_all, recovery_bound))
        writes_.violation("not every caller is served " + std::to_string(recovery_bound.count()) +
                          " ms after the last fault");
}

} // namespace soak
