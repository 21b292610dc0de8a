#include "pooler/pooler_task.h"

#include "document/override_rules.h"
#include "inner/message_codec.h"
#include "support/json_log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace baobabport::pooler {

using consistency::verdict;
using inner::message_kind;
using inner::statement_answer;
using std::chrono::steady_clock;

namespace {

constexpr std::chrono::milliseconds housekeeping_interval{20};
constexpr std::chrono::milliseconds peer_timeout{150};
constexpr std::chrono::milliseconds document_timeout{500};
constexpr std::chrono::milliseconds store_timeout{1000};
constexpr std::chrono::milliseconds default_deadline{2000};

/// A home without requests for this long is destroyed. Longer than the time between two requests of one team.
constexpr std::chrono::seconds idle_home_retention{60};

} // namespace

pooler_task::pooler_task(event_base *base, settings::process_settings settings, stopped_hook stopped)
    : base_(base), settings_(std::move(settings)), stopped_(std::move(stopped)),
      store_(base, settings_.store),
      links_(base, settings_.process, {settings_.keys.inner, settings_.keys.former_inner}),
      housekeeping_(base, [this] { housekeeping(); })
{
    for (const auto &it : settings_.poolers)
        links_.set_address(it.name, it.inner);
    for (const auto &config : settings_.databases) {
        auto &state = databases_[config.name];
        state.config = &config;
        const auto name = config.name;
        document_task::hooks hooks;
        hooks.changed = [this, name] { document_changed(name); };
        hooks.request_from_peers = [this, name] { request_document_from_peers(name); };
        state.document = std::make_unique<document_task>(
            base, store_, name, seed_of(settings_) ^ std::hash<std::string>{}(name), std::move(hooks));
    }
    vm_list_task_ =
        std::make_unique<store::vm_list_task>(base, store_, seed_of(settings_), [this](const auto &list) {
            vm_list_ = list;
            for (auto &[name, state] : databases_)
                apply_vm_list(state);
        });
    http::operator_server::hooks hooks;
    hooks.healthy = [this] { return !draining_; };
    hooks.state = [this] { return dump(); };
    hooks.metrics = [this] { return metrics_text(); };
    hooks.drain = [this] { drain(); };
    operators_ = std::make_unique<http::operator_server>(base, settings_.operators, settings_.keys.operators,
                                                         settings_.keys.former_operators, std::move(hooks));
    listener_.emplace(base_, *settings_.inner, [this](int socket) { accept(socket); });
    housekeeping_.repeat(housekeeping_interval);
    support::log_event("started", {{"inner", settings_.inner->text()}});
}

pooler_task::~pooler_task() = default;

void pooler_task::accept(int socket)
{
    const auto id = next_connection_++;
    inner::stream_connection::hooks hooks;
    hooks.received = [this, id](auto kind, const auto &body, auto stream) {
        received(id, kind, body, stream);
    };
    hooks.closed = [this, id](const std::string &reason) {
        if (reason != "connection_ended")
            support::log_warning("inner_connection_closed", {{"reason", reason}});
        connections_.erase(id);
    };
    connections_[id] = inner::stream_connection::accept(base_, socket, settings_.process,
                                                        {settings_.keys.inner, settings_.keys.former_inner},
                                                        std::move(hooks));
}

void pooler_task::received(std::uint64_t connection, message_kind kind, const std::string &body,
                           inner::stream_connection::stream_id stream)
{
    switch (kind) {
    case message_kind::statement:
        handle_statement_request(connection, body, stream);
        return;
    case message_kind::view:
        handle_view_request(connection, body, stream);
        return;
    case message_kind::document:
        handle_document_request(connection, body, stream);
        return;
    case message_kind::hello:
    case message_kind::prove:
    case message_kind::execute_statement:
    case message_kind::rollback_transaction:
    case message_kind::read_directory:
    case message_kind::deposit_tokens:
    case message_kind::withdraw_tokens:
        return; // handled by the connection itself, or sent between proxies only
    }
}

pooler_task::database_state *pooler_task::find(const std::string &database)
{
    const auto it = databases_.find(database);
    return it == databases_.end() ? nullptr : &it->second;
}

void pooler_task::handle_statement_request(std::uint64_t connection, const std::string &body,
                                           inner::stream_connection::stream_id stream)
{
    const auto now = steady_clock::now();
    const auto request = inner::decode<inner::statement_request>(body);
    const auto key = next_key_++;
    origins_[key] = {connection, stream, request ? request->class_name : std::string(), now};
    if (!request) {
        refuse(key, "unreadable_message", false);
        return;
    }
    auto *const state = find(request->database);
    if (!state) {
        refuse(key, "unknown_database", false);
        return;
    }
    submit(*state, key, *request, now);
}

void pooler_task::submit(database_state &state, home::request_key key,
                         const inner::statement_request &request, time_point now)
{
    if (state.home) {
        state.home->submit(key, request);
        return;
    }
    if (draining_) {
        refuse(key, "draining", true);
        return;
    }
    state.document->start();
    if (state.document->cache().current()) {
        start_home(state);
        state.home->submit(key, request);
        return;
    }
    state.waiting.push_back({key, request, now});
}

void pooler_task::refuse(home::request_key key, const std::string &reason, bool use_next_rank)
{
    statement_answer out;
    out.outcome = verdict::not_run;
    out.reason = reason;
    out.use_next_rank = use_next_rank;
    answer(key, out);
}

void pooler_task::answer(home::request_key key, const statement_answer &answer)
{
    const auto it = origins_.find(key);
    if (it == origins_.end())
        return;
    const auto from = it->second;
    origins_.erase(it);
    const auto response_time =
        std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - from.arrived);
    const auto outcome = std::string(consistency::to_string(answer.outcome));
    const auto class_label = support::label("class", from.class_name);
    metrics_.record("baobabport_request_seconds", class_label, response_time);
    metrics_.count("baobabport_requests_total", class_label + ',' + support::label("verdict", outcome));
    reply(from.connection, from.stream, inner::encode(answer));
}

void pooler_task::reply(std::uint64_t connection, inner::stream_connection::stream_id stream,
                        std::string body)
{
    const auto it = connections_.find(connection);
    if (it != connections_.end())
        it->second->reply(stream, std::move(body));
}

void pooler_task::handle_view_request(std::uint64_t connection, const std::string &body,
                                      inner::stream_connection::stream_id stream)
{
    inner::view_answer out;
    const auto request = inner::decode<inner::view_request>(body);
    const auto *const state = request ? find(request->database) : nullptr;
    if (state && state->home)
        out = state->home->home_logic().view_for(*request, steady_clock::now());
    reply(connection, stream, inner::encode(out));
}

void pooler_task::handle_document_request(std::uint64_t connection, const std::string &body,
                                          inner::stream_connection::stream_id stream)
{
    inner::document_answer out;
    const auto request = inner::decode<inner::document_request>(body);
    const auto *const state = request ? find(request->database) : nullptr;
    if (state && state->document->cache().revision() > request->known_revision) {
        out.revision = state->document->cache().revision();
        out.text = state->document->cache().value();
    }
    reply(connection, stream, inner::encode(out));
}

void pooler_task::document_changed(const std::string &database)
{
    auto &state = databases_.at(database);
    if (state.home) {
        state.home->home_logic().set_document(state.document->cache().current());
        return;
    }
    start_home(state);
    const auto now = steady_clock::now();
    for (auto &it : std::exchange(state.waiting, {})) {
        const auto waited = std::chrono::ceil<std::chrono::milliseconds>(now - it.arrived);
        if (it.request.time_left.count() > 0)
            it.request.time_left = std::max(std::chrono::milliseconds(1), it.request.time_left - waited);
        state.home->submit(it.key, it.request);
    }
}

void pooler_task::start_home(database_state &state)
{
    home_task::hooks hooks;
    hooks.answer = [this](auto key, const auto &out) { answer(key, out); };
    hooks.request_peer_view = [this](const auto &request) { request_view_from_peer(request); };
    hooks.publish = [this](const auto &record) { publish(record); };
    state.home = std::make_unique<home_task>(base_, settings_, *state.config, std::move(hooks),
                                             state.document->cache().current());
    apply_vm_list(state);
    if (draining_)
        state.home->home_logic().drain();
    support::log_event("home_began", {{"database", state.config->name}});
}

void pooler_task::apply_vm_list(database_state &state)
{
    if (!state.home)
        return;
    const auto &names = vm_list_.leaving_instances;
    for (home::instance_id it = 0; it < state.config->instances.size(); ++it) {
        const auto name = state.config->name + '/' + state.config->instances[it].name;
        state.home->home_logic().set_leaving(it, std::find(names.begin(), names.end(), name) != names.end());
    }
}

std::vector<std::string> pooler_task::peers_of(const settings::database_config &config) const
{
    routing::ranked_database database{config.name, {}};
    for (const auto &it : config.instances)
        database.data_centres.push_back(it.data_centre);
    std::vector<routing::candidate> candidates;
    for (const auto &it : settings_.poolers)
        candidates.push_back({it.name, it.data_centre});
    std::vector<std::string> out;
    for (const auto n : routing::rank_homes(database, candidates)) {
        if (candidates[n].name != settings_.process)
            out.push_back(candidates[n].name);
    }
    return out;
}

void pooler_task::request_document_from_peers(const std::string &database)
{
    // The poolers of the next two ranks are the most likely to have served the database.
    constexpr std::size_t max_peers = 2;
    auto peers = peers_of(*databases_.at(database).config);
    peers.resize(std::min(peers.size(), max_peers));
    const auto message = inner::encode(inner::document_request{database, 0});
    for (const auto &it : peers) {
        links_.send(it, message_kind::document, message, document_timeout,
                    [this, database](const auto &outcome) {
                        const auto out = inner::decode<inner::document_answer>(outcome.body);
                        if (outcome.answered && out && out->revision > 0)
                            databases_.at(database).document->offer(out->revision, out->text);
                    });
    }
}

void pooler_task::request_view_from_peer(const inner::view_request &request)
{
    const auto peers = peers_of(*databases_.at(request.database).config);
    const auto deliver = [this, request](const inner::view_answer &answer) {
        auto &state = databases_.at(request.database);
        if (state.home)
            state.home->handle_answer(answer);
    };
    if (peers.empty()) {
        // There is no peer. The failover controller continues after its own time-out.
        return;
    }
    links_.send(peers.front(), message_kind::view, inner::encode(request), peer_timeout,
                [deliver](const auto &outcome) {
                    const auto out = inner::decode<inner::view_answer>(outcome.body);
                    deliver(outcome.answered && out ? *out : inner::view_answer{});
                });
}

void pooler_task::publish(const home::primary_record &record)
{
    const auto &config = *databases_.at(record.database).config;
    const auto name = config.instances[record.primary].name;
    support::log_event(
        "primary_promoted",
        {{"database", record.database}, {"primary", name}, {"term", std::to_string(record.term)}});
    const auto key = "primaries/" + record.database;
    const auto value = nlohmann::json{{"term", record.term}, {"primary", name}}.dump();
    // Informs operators and tools only: the primary is determined by the instances' own terms.
    store_.read(key, store_timeout, [this, key, value](const auto &answer) {
        if (answer.outcome == store::store_outcome::unknown)
            return;
        store_.compare_and_swap(key, answer.revision, value, store_timeout, [](const auto &) {});
    });
}

void pooler_task::drain()
{
    if (draining_)
        return;
    draining_ = true;
    drain_began_ = steady_clock::now();
    support::log_event("draining");
    for (auto &[name, state] : databases_) {
        if (state.home)
            state.home->home_logic().drain();
        for (const auto &it : std::exchange(state.waiting, {}))
            refuse(it.key, "draining", true);
    }
    for (auto &[id, connection] : connections_)
        connection->announce_stop();
}

void pooler_task::housekeeping()
{
    const auto now = steady_clock::now();
    const auto unix_now =
        std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch());
    for (auto &[name, state] : databases_) {
        if (state.home)
            state.home->home_logic().set_shed(
                document::shed_classes(state.home->home_logic().document(), unix_now));
        if (state.home && state.home->home_logic().is_idle_for(now, idle_home_retention)) {
            // Another pooler may be the home now; it does not need this one's state.
            state.home.reset();
            state.document->stop();
            support::log_event("home_ended", {{"database", name}});
        }
        std::vector<home::request_key> expired_keys;
        std::erase_if(state.waiting, [&](const auto &it) {
            const auto remaining = it.request.time_left.count() > 0 ? it.request.time_left : default_deadline;
            const bool expired = it.arrived + remaining <= now;
            if (expired)
                expired_keys.push_back(it.key);
            return expired;
        });
        for (const auto key : expired_keys)
            refuse(key, "no_document", true);
    }
    if (draining_)
        check_stopped(now);
}

void pooler_task::check_stopped(time_point now)
{
    const bool idle =
        origins_.empty() && std::all_of(databases_.begin(), databases_.end(), [](const auto &it) {
            return !it.second.home || it.second.home->home_logic().is_idle();
        });
    constexpr std::chrono::milliseconds linger{200}; // lets the last answers be sent
    const bool expired = now - drain_began_ >= settings_.stop_within;
    if (expired || (idle && now - drain_began_ >= linger)) {
        support::log_event("stopped", {{"idle", idle ? "true" : "false"}});
        stopped_();
    }
}

std::string pooler_task::dump() const
{
    using nlohmann::json;
    json homes = json::array();
    json documents = json::object();
    for (const auto &[name, state] : databases_) {
        if (state.home)
            homes.push_back(state.home->dump());
        const auto &cache = state.document->cache();
        if (!cache.current())
            continue;
        const auto since =
            std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() - cache.since());
        const auto &ids = cache.current()->change_ids;
        documents[name] = {{"revision", cache.revision()},
                           {"in_force_for_ms", since.count()},
                           {"by_change", ids.empty() ? "" : ids.back()},
                           {"last_reason", cache.last_reason()}};
    }
    return json{{"process", settings_.process},
                {"program", "baobabport-pooler"},
                {"version", BAOBABPORT_VERSION},
                {"data_centre", settings_.data_centre},
                {"draining", draining_},
                {"homes", homes},
                {"documents", documents},
                {"store", {{"calls", store_.calls()}, {"healthy", store_.healthy()}}},
                {"leaving", {{"vms", vm_list_.leaving_vms}, {"instances", vm_list_.leaving_instances}}},
                {"inner_connections", connections_.size()},
                {"links", links_.open_links()},
                {"requests_in_progress", origins_.size()}}
        .dump(2);
}

std::string pooler_task::metrics_text()
{
    for (const auto &[name, state] : databases_) {
        if (!state.home)
            continue;
        const auto label = support::label("database", name);
        const auto &home = state.home->home_logic();
        metrics_.set("baobabport_queue_length", label, static_cast<double>(home.queue().length()));
        metrics_.set("baobabport_held_answers", label, static_cast<double>(home.held()));
        metrics_.set("baobabport_document_revision", label, static_cast<double>(home.document().revision));
        metrics_.set("baobabport_reads_by_replica", label,
                     static_cast<double>(home.counters().reads_by_replica));
        metrics_.set("baobabport_reads_by_primary", label,
                     static_cast<double>(home.counters().reads_by_primary));
        metrics_.set("baobabport_promotions", label, static_cast<double>(home.counters().promotions));
    }
    metrics_.set("baobabport_store_calls", "", static_cast<double>(store_.calls()));
    return metrics_.text();
}

} // namespace baobabport::pooler
