#include "pooler/home_task.h"

#include "pooler/upstream_json.h"

#include <nlohmann/json.hpp>

namespace baobabport::pooler {

using home::command_kind;
using std::chrono::steady_clock;

namespace {

constexpr std::chrono::milliseconds tick_interval{5};
constexpr std::chrono::milliseconds idle_interval{100};
constexpr std::chrono::milliseconds open_timeout{1000};

home::home_settings home_settings_for(const settings::process_settings &settings,
                                      const settings::database_config &config)
{
    home::home_settings out;
    out.database = config.name;
    for (const auto &it : config.instances)
        out.instances.push_back(it.name);
    out.slots = config.slots;
    out.connection_limit = config.connections;
    out.vm_number = settings.vm_number;
    out.seed = std::hash<std::string>{}(config.name) ^ settings.vm_number;
    out.policy = settings.policy;
    out.plain_share_divisor = static_cast<std::uint32_t>(std::max<std::size_t>(1, settings.poolers.size()));
    return out;
}

} // namespace

home_task::home_task(event_base *base, const settings::process_settings &settings,
                     const settings::database_config &config, hooks task_hooks,
                     std::shared_ptr<const document::service_document> document)
    : base_(base), settings_(settings), config_(config), hooks_(std::move(task_hooks)),
      controls_(config.instances.size()),
      home_(home_settings_for(settings, config), make_hooks(), std::move(document), steady_clock::now()),
      timer_(base, [this] { tick(); })
{
    update_tick_interval();
}

home::home_hooks home_task::make_hooks()
{
    home::home_hooks out;
    out.call = [this](const auto &call) { send_call(call); };
    out.open_connection = [this](auto id, auto instance) { open_connection(id, instance); };
    out.close_connection = [this](auto id) { close_connection(id); };
    out.command = [this](const auto &command) { send_command(command); };
    out.answer = [this](auto key, const auto &answer) { hooks_.answer(key, answer); };
    out.request_peer_view = [this](const auto &request) { hooks_.request_peer_view(request); };
    out.publish = [this](const auto &record) { hooks_.publish(record); };
    return out;
}

void home_task::submit(home::request_key key, const inner::statement_request &request)
{
    const auto now = steady_clock::now();
    home_.submit(key, request, now);
    if (current_interval_ == idle_interval)
        home_.tick(now); // sends the status requests and opens the connections that the request needs
    update_tick_interval();
}

void home_task::handle_answer(const inner::view_answer &answer)
{
    home_.handle_answer(answer, steady_clock::now());
}

void home_task::tick()
{
    home_.tick(steady_clock::now());
    update_tick_interval();
}

void home_task::update_tick_interval()
{
    const auto interval = home_.is_idle() ? idle_interval : tick_interval;
    if (interval == current_interval_)
        return;
    current_interval_ = interval;
    timer_.repeat(current_interval_);
}

std::unique_ptr<http::http_client> home_task::make_client(home::instance_id instance) const
{
    return std::make_unique<http::http_client>(base_, config_.instances[instance].at);
}

http::client_request home_task::with_user_agent(http::client_request request) const
{
    request.headers.push_back({"User-Agent", settings_.process});
    return request;
}

void home_task::open_connection(home::connection_id id, home::instance_id instance)
{
    auto &client = connections_[id];
    client = make_client(instance);
    client->on_closed([this, id] {
        connections_.erase(id);
        home_.connection_lost(id, steady_clock::now());
    });
    client->send(with_user_agent({http::method_kind::get, "/hello", {}, {}, open_timeout}),
                 [this, id](const auto &answer) {
                     const auto now = steady_clock::now();
                     if (answer.failure == http::client_failure::none && answer.status == 200) {
                         home_.connection_opened(id, now);
                         return;
                     }
                     connections_.erase(id);
                     home_.connection_failed(id, answer.failure == http::client_failure::broken, now);
                 });
}

void home_task::close_connection(home::connection_id id)
{
    connections_.erase(id);
}

void home_task::send_call(const home::upstream_call &call)
{
    const auto it = connections_.find(call.connection);
    if (it == connections_.end())
        return;
    ++statements_;
    const auto connection = call.connection;
    const auto id = call.call;
    it->second->send(with_user_agent(statement_request_for(call)),
                     [this, connection, id](const auto &answer) {
                         const auto result = read_statement_answer(answer, id);
                         home_.handle_answer(connection, result, steady_clock::now());
                     });
}

void home_task::send_command(const home::instance_command &command)
{
    auto &links = controls_[command.instance];
    const bool waits = command.wait_for != consistency::position{};
    ++(waits ? wait_commands_ : control_commands_);
    auto &client = command.kind != command_kind::status ? links.command : waits ? links.wait : links.status;
    // A connection whose last command is unanswered is closed, and the command is abandoned.
    if (!client || client->busy())
        client = make_client(command.instance);
    home::command_result result;
    result.command = command;
    result.requested_at = steady_clock::now();
    client->send(with_user_agent(command_request_for(command)), [this, result](const auto &answer) mutable {
        read_command_answer(answer, result);
        home_.handle_answer(result, steady_clock::now());
    });
}

nlohmann::json home_task::dump() const
{
    using nlohmann::json;
    const auto now = steady_clock::now();
    const auto &view = home_.monitor().view();
    json instances = json::array();
    for (home::instance_id it = 0; it < view.size(); ++it) {
        const auto status = view.status_of(it);
        const auto age = view.staleness(it, now);
        instances.push_back({{"name", config_.instances[it].name},
                             {"primary", view.primary() == it},
                             {"healthy", home_.monitor().healthy(it)},
                             {"leaving", home_.monitor().leaving(it)},
                             {"promised_term", status.promised_term},
                             {"log_term", status.log.term},
                             {"log_offset", status.log.offset},
                             {"staleness_ms", age ? json(age->count()) : json()},
                             {"connections", home_.connections().count(it)},
                             {"slots_in_use", home_.connections().running(it)}});
    }
    json classes = json::object();
    for (const auto &it : home_.document().classes)
        classes[it.name] = {{"queued", home_.queue().length_of(it.name)}};
    const auto &counters = home_.counters();
    return {
        {"database", config_.name},
        {"term", view.primary_term()},
        {"instances", instances},
        {"classes", classes},
        {"queue_length", home_.queue().length()},
        {"queue_bytes", home_.queue().bytes()},
        {"held_answers", home_.held()},
        {"open_transactions", home_.open_transactions()},
        {"document_revision", home_.document().revision},
        {"acknowledged",
         {{"term", home_.acknowledged_floor().term}, {"offset", home_.acknowledged_floor().offset}}},
        {"failover",
         {{"phase", static_cast<int>(home_.monitor().controller().current())},
          {"last_reason", home_.monitor().controller().last_reason()},
          {"promotions", counters.promotions}}},
        {"reads",
         {{"by_replica", counters.reads_by_replica},
          {"by_primary", counters.reads_by_primary},
          {"shared", counters.reads_shared}}},
        {"retries", counters.retries},
        {"messages", {{"status", control_commands_}, {"wait", wait_commands_}, {"statement", statements_}}},
        {"verdicts",
         {{"ran", counters.verdicts[0]},
          {"not_run", counters.verdicts[1]},
          {"unknown", counters.verdicts[2]}}},
        {"reasons", counters.refusals}};
}

} // namespace baobabport::pooler
