#include "proxy/proxy_task.h"

#include "support/boot_clock.h"
#include "support/json_log.h"

#include <algorithm>
#include <event2/util.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <utility>

namespace baobabport::proxy {

using clock_type = support::boot_clock;
using nlohmann::json;
using support::log_event;

namespace {

constexpr std::size_t max_admin_body = 4096; ///< bytes
/// A session that has rested for less is not closed for a new one.
constexpr std::chrono::seconds min_rest{5};
constexpr std::size_t max_admin_request = std::size_t{32} * 1024; ///< bytes of head and body
/// Bytes of unsent answers at which a connection's next request closes it; a page has fewer at one VM.
constexpr std::size_t max_admin_output = std::size_t{64} * 1024;
/// Without a byte sent or received. A balancer probes every second, scrapers every few; others connect anew.
constexpr std::chrono::seconds admin_timeout{60};

std::string text_of(const std::optional<support::address> &at)
{
    return at ? at->text() : "none";
}

/// Returns the names of settings that differ and take effect only when the process starts.
std::string restart_only_changes(const proxy_settings &current, const proxy_settings &requested)
{
    std::string out;
    const auto compare = [&out](const char *name, const std::string &is, const std::string &to) {
        if (is != to)
            out += (out.empty() ? "" : ", ") + std::string(name);
    };
    compare("process", current.process, requested.process);
    compare("data_centre", current.data_centre, requested.data_centre);
    compare("callers", current.callers.text(), requested.callers.text());
    compare("probe", current.probe.text(), requested.probe.text());
    compare("admin", text_of(current.admin), text_of(requested.admin));
    compare("metrics", text_of(current.metrics), text_of(requested.metrics));
    compare("peers", current.peers.text(), requested.peers.text());
    compare("memory_mb", std::to_string(current.memory_mb), std::to_string(requested.memory_mb));
    compare("max_fds", std::to_string(current.max_fds), std::to_string(requested.max_fds));
    compare("shortest_store_lease_ms", std::to_string(current.shortest_store_lease.count()),
            std::to_string(requested.shortest_store_lease.count()));
    if (current.promotion_orders.has_value() != requested.promotion_orders.has_value())
        compare("promotion_orders", text_of(current.promotion_orders), text_of(requested.promotion_orders));
    return out;
}

} // namespace

proxy_task::proxy_task(event_base *base, proxy_settings settings, std::function<void()> stopped)
    : base_(base), settings_(std::move(settings)), stopped_(std::move(stopped)),
      limits_(std::make_shared<client_limits>(settings_.memory_mb, settings_.max_fds, metrics_)),
      store_(base, settings_.store), instances_(settings_.drain_bound),
      desired_state_(base, store_, [this](auto state) { apply(std::move(state)); }),
      instance_list_(
          base, store_, [this](auto records) { apply(std::move(records)); },
          [this] { instances_.record_listing_failure(clock_type::now()); }),
      lease_source_(settings_.process), local_executor_([this](const auto &service, const auto &instance) {
          const auto group = groups_.find(service);
          return group == groups_.end() ? nullptr
                                        : group->second->pool_for_statements(instance, clock_type::now());
      }),
      quotas_(base, settings_.process, quota_links()), executor_(make_executor()),
      timer_(base, [this] { tick(); })
{
    environment_ = {base_,
                    &routes_,
                    &keys_,
                    [this] {
                        const auto age = clock_type::now() - desired_state_.confirmed_at();
                        return !settings_.strict_revocation || age <= settings_.revocation_bound;
                    },
                    &metrics_,
                    &executor_,
                    [this](const auto &service) { return group_of(service); },
                    [this] {
                        desired_state_.read_now();
                        instance_list_.list_now();
                    },
                    [this](const auto &workspace, auto done) { quotas_.take(workspace, std::move(done)); },
                    [this](const auto &workspace) { quotas_.account().return_token(workspace); },
                    limits_,
                    &shutdown_};
    quotas_.account().set_tolerance(settings_.quotas, clock_type::now());
    if (settings_.promotion_orders) {
        promotion_client_.emplace(base_, *settings_.promotion_orders);
        election_.emplace(base_, store_, settings_);
        election_->set_agreement_check([this](time_point now) { return membership_.all_agree(now); });
        election_->start();
    }
    store_.on_new_era([this] {
        if (election_)
            election_->handle_new_era();
        desired_state_.read_now();
        instance_list_.list_now();
    });
    listen();
    leases_.emplace(
        base_, settings_.peers,
        lease_task::hooks{
            [this] { return lease_receiver(); },
            [this](const auto &request, const auto &from) { return answer_request(request, from); },
            [this](auto &request) { fill_request(request); },
            [this](const auto &answer, auto at) { handle_lease_answer(answer, at); }});
    desired_state_.set_bound(settings_.configuration_bound);
    desired_state_.set_peer_read(peer_read_of(inner::directory_part::desired_state));
    instance_list_.set_peer_read(peer_read_of(inner::directory_part::instances));
    desired_state_.start(election_.has_value());
    instance_list_.start(election_.has_value());
    timer_.repeat(tick_interval);
    log_event("started", {{"callers", settings_.callers.text()}, {"data_centre", settings_.data_centre}});
}

void proxy_task::listen()
{
    http::server_limits bounds;
    bounds.max_connections = limits_->connections().operators;
    bounds.max_request = max_admin_request;
    bounds.max_output = max_admin_output;
    bounds.timeout = admin_timeout;
    bounds.account = limits_->account();
    bounds.record = [limits = limits_](const char *reason) {
        limits->record(limits::client_class::operators, reason);
    };
    listener_.emplace(base_, settings_.callers, [this](int socket) { accept(socket); });
    const auto probe = [this](const auto &, const auto &answer) {
        answer->send({ready() ? 200 : 503, "{}", {}});
    };
    probe_.emplace(base_, settings_.probe, max_admin_body, probe, bounds);
    const auto admin = [this](const auto &request, const auto &answer) { answer_admin(request, *answer); };
    if (settings_.admin)
        admin_.emplace(base_, *settings_.admin, max_admin_body, admin, bounds);
    if (settings_.metrics)
        metrics_server_.emplace(base_, *settings_.metrics, max_admin_body, admin, bounds);
}

bool proxy_task::make_room()
{
    if (callers_.size() < limits_->connections().callers)
        return true;
    // A caller names its database at once; the oldest session without one is most likely a stranger's.
    // Otherwise one that has rested longest ends, so that sessions which are left open do not keep all others
    // out.
    std::shared_ptr<caller_task> leaves;
    auto resting_since = clock_type::now() - min_rest;
    for (const auto &[number, it] : callers_) {
        if (it->silent()) {
            leaves = it;
            break;
        }
        const auto since = it->resting_since();
        if (since && *since <= resting_since) {
            resting_since = *since;
            leaves = it;
        }
    }
    if (!leaves) {
        limits_->record(limits::client_class::callers, "connections");
        return false;
    }
    leaves->shed("connections");
    return true;
}

void proxy_task::accept(int socket)
{
    if (!make_room()) {
        // The answer fits into the buffer of a new socket; if it is lost, the caller sees the connection end.
        std::string out;
        platform::write_failure(session::answer_code::busy, "the process has no room for more sessions", out);
        (void)::send(socket, out.data(), out.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        evutil_closesocket(socket);
        return;
    }
    const auto number = ++last_caller_;
    auto it = std::make_shared<caller_task>(environment_, socket, number,
                                            [this](std::uint64_t ended) { callers_.erase(ended); });
    callers_.emplace(number, it);
    it->start();
}

std::vector<std::shared_ptr<caller_task>> proxy_task::sessions() const
{
    std::vector<std::shared_ptr<caller_task>> out;
    for (const auto &it : callers_)
        out.push_back(it.second);
    return out;
}

void proxy_task::apply(directory::desired_state state)
{
    const auto version = state.version;
    const auto routes = state.routes.size();
    if (!routes_.apply(std::move(state)))
        return;
    log_event("desired_state_applied",
              {{"version", std::to_string(version)}, {"routes", std::to_string(routes)}});
    keys_.apply(routes_.state());
    quotas_.account().apply(routes_.state().workspaces, clock_type::now());
    update_groups();
    for (const auto &it : sessions())
        it->check_key();
}

void proxy_task::apply(std::vector<directory::instance_record> records)
{
    const auto change = instances_.apply_listing(std::move(records), clock_type::now());
    for (const auto &it : change.joined)
        log_event("instance_joined", {{"instance", it}, {"service", instances_.find(it)->service}});
    for (const auto &it : change.left)
        log_event("instance_left", {{"instance", it}});
    for (const auto &it : change.draining)
        log_event("instance_draining", {{"instance", it}});
    for (const auto &it : change.restarted) {
        log_event("instance_restarted", {{"instance", it}});
        for (const auto &group : groups_)
            group.second->member_restarted(it);
    }
    update_groups();
}

std::uint32_t proxy_task::connection_limit(const std::string &service) const
{
    const auto *const config = routes_.find_service(service);
    admission::connection_share share;
    share.max_connections = config ? config->max_connections : 1;
    share.fleet_size = election_ ? election_->recorded_fleet_size() : 0;
    share.homes_known = !known_members_.empty();
    return share.limit(std::chrono::duration_cast<milliseconds>(clock_type::now() - started_at_));
}

void proxy_task::update_groups()
{
    for (const auto &it : routes_.state().services)
        group_of(it.name);
    for (const auto &[name, group] : groups_)
        group->set_members(instances_.of_service(name), connection_limit(name));
}

std::shared_ptr<group_task> proxy_task::group_of(const std::string &service)
{
    auto &group = groups_[service];
    if (!group) {
        group = std::make_shared<group_task>(
            base_, executor_,
            group_identity{service, settings_.process, settings_.data_centre, limits_->account()});
        group->set_members(instances_.of_service(service), connection_limit(service));
        if (election_ && promotion_client_)
            failovers_[service] = std::make_unique<failover_task>(
                group, *promotion_client_, *election_, grantor_, [this, service] {
                    const auto *const config = routes_.find_service(service);
                    return config ? config->sync_replicas : 0;
                });
    }
    return group;
}

bool proxy_task::ready() const
{
    return !shutdown_.begun() && routes_.loaded() && instances_.listed() && !instances_.all().empty();
}

void proxy_task::tick()
{
    const auto now = clock_type::now();
    tick_leadership(now);
    tick_peers(now);
    tick_quotas(now);
    const bool urgent = std::any_of(groups_.begin(), groups_.end(),
                                    [](const auto &it) { return it.second->waits_for_primary(); });
    const bool list_changes = !member_log_.complete() || now - members_changed_at_ < list_change_period;
    leases_->tick(now, urgent || relays_named_ || list_changes || relay_.report_pending());
    for (const auto &it : groups_)
        it.second->tick(now);
    for (const auto &it : failovers_)
        it.second->tick(now);
    for (const auto &it : sessions())
        it->tick(now);
    if (shutdown_.begun())
        tick_drain(now);
}

statement_executor proxy_task::make_executor()
{
    statement_executor out;
    out.home_of = [this](const auto &instance, const auto &data_centre) {
        return peers_ ? peers_->home_of(instance, data_centre, clock_type::now()) : std::string();
    };
    out.execute = [this](const auto &vm, inner::execute_request request, local_executor::answer_hook done) {
        if (peers_)
            peers_->execute(vm, std::move(request), std::move(done));
        else
            local_executor_.execute(0, std::move(request), std::move(done));
    };
    out.end_transaction = [this](const auto &vm, std::uint64_t transaction) {
        if (peers_)
            peers_->end_transaction(vm, transaction);
        else
            local_executor_.end_transaction(transaction);
    };
    return out;
}

milliseconds proxy_task::store_unresponsive_for(time_point now) const
{
    return std::chrono::duration_cast<milliseconds>(now - store_.last_served_call_at());
}

void proxy_task::drain()
{
    if (shutdown_.begun())
        return;
    shutdown_.begin(settings_.shutdown_time, clock_type::now());
    log_event("draining", {{"sessions", std::to_string(callers_.size())}});
    if (election_)
        election_->resign();
}

void proxy_task::tick_drain(time_point now)
{
    if (!shutdown_.sessions_end(now))
        return;
    for (const auto &it : sessions()) {
        if (shutdown_.transactions_end(now))
            it->end_transaction("the process stops");
        if (shutdown_.statements_end(now))
            it->stop_statement();
        it->close_when_idle();
    }
    const bool busy = !callers_.empty() || local_executor_.busy();
    if (busy && !shutdown_.process_ends(now))
        return;
    log_event("stopped", {{"sessions", std::to_string(callers_.size())}});
    timer_.stop();
    stopped_();
}

bool proxy_task::is_draining() const
{
    return shutdown_.begun();
}

void proxy_task::reload(const proxy_settings &settings)
{
    settings_.shutdown_time = settings.shutdown_time;
    shutdown_.set_total(settings.shutdown_time);
    settings_.configuration_bound = settings.configuration_bound;
    settings_.drain_bound = settings.drain_bound;
    settings_.strict_revocation = settings.strict_revocation;
    settings_.revocation_bound = settings.revocation_bound;
    settings_.quotas = settings.quotas;
    quotas_.account().set_tolerance(settings.quotas, clock_type::now());
    desired_state_.set_bound(settings.configuration_bound);
    instances_.set_drain_bound(settings.drain_bound);
    if (settings.store.text() != settings_.store.text()) {
        store_.set_address(settings.store);
        settings_.store = settings.store;
    }
    if (promotion_client_ && settings.promotion_orders) {
        promotion_client_->set_address(*settings.promotion_orders);
        settings_.promotion_orders = settings.promotion_orders;
    }
    if (const auto ignored = restart_only_changes(settings_, settings); !ignored.empty())
        support::log_warning("settings_need_restart", {{"settings", ignored}});
    log_event("settings_reloaded", {{"store", settings_.store.text()},
                                    {"shutdown_ms", std::to_string(settings_.shutdown_time.count())}});
}

void proxy_task::answer_admin(const http::server_request &request, http::responder &answer)
{
    if (request.path == "/metrics") {
        refresh_gauges();
        answer.send({200, metrics_.text(), {}, "text/plain; version=0.0.4"});
    } else if (request.path == "/v1/state") {
        answer.send({200, state_dump(), {}});
    } else {
        answer.send({404, R"({"error":"no such page; /metrics and /v1/state are there"})", {}});
    }
}

void proxy_task::refresh_gauges()
{
    const auto now = clock_type::now();
    limits_->refresh_gauges();
    metrics_.set("baobabport_sessions", "", static_cast<double>(callers_.size()));
    metrics_.set("baobabport_desired_state_version", "", static_cast<double>(routes_.version()));
    metrics_.set("baobabport_store_calls", "", static_cast<double>(store_.calls()));
    metrics_.set("baobabport_store_era", "", static_cast<double>(store_.era().number));
    metrics_.set("baobabport_malformed_store_eras", "", static_cast<double>(store_.malformed_eras()));
    metrics_.set("baobabport_store_silent_seconds", "",
                 std::chrono::duration<double>(store_unresponsive_for(now)).count());
    metrics_.set("baobabport_unusable_instance_records", "", static_cast<double>(instance_list_.unusable()));
    metrics_.set("baobabport_unreadable_datagrams", "", static_cast<double>(leases_->unreadable()));
    metrics_.set("baobabport_open_transactions", "",
                 static_cast<double>(local_executor_.open_transactions()));
    metrics_.set("baobabport_holds_failover_duty", "",
                 election_ && election_->acting_generation(now) ? 1 : 0);
    quotas_.write_metrics(metrics_, now);
    for (const auto &[service, group] : groups_) {
        const auto labels = support::label("service", service);
        metrics_.set("baobabport_group_term", labels, static_cast<double>(group->state().term()));
        metrics_.set("baobabport_group_has_primary", labels, group->state().primary() ? 1 : 0);
        metrics_.set("baobabport_waiting_confirmations", labels,
                     static_cast<double>(group->waiting_confirmations()));
        for (const auto &it : group->snapshot(now).members) {
            const auto instance = support::label("instance", it.id);
            metrics_.set("baobabport_instance_ejected", instance, group->is_ejected(it.id, now) ? 1 : 0);
            if (const auto limit = local_executor_.concurrency_limit(it.id, now))
                metrics_.set("baobabport_instance_concurrency_limit", instance, *limit);
        }
    }
}

std::string proxy_task::state_dump()
{
    json out{{"process", settings_.process},  {"ready", ready()},
             {"draining", shutdown_.begun()}, {"desired_state_version", routes_.version()},
             {"sessions", callers_.size()},   {"store_calls", store_.calls()},
             {"groups", json::array()}};
    for (const auto &[name, group] : groups_) {
        json members = json::array();
        for (const auto &it : group->snapshot(clock_type::now()).members)
            members.push_back({{"instance", it.id},
                               {"leaving", it.leaving},
                               {"refuses", it.refuses},
                               {"ejected", group->is_ejected(it.id, clock_type::now())}});
        out["groups"].push_back({{"service", name},
                                 {"primary", group->state().primary().value_or("")},
                                 {"term", group->state().term()},
                                 {"members", members}});
    }
    if (!quotas_.account().empty())
        out["quotas"] = quotas_.state(clock_type::now());
    return out.dump();
}

} // namespace baobabport::proxy
