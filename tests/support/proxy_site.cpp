#include "support/proxy_site.h"

#include "support/free_address.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>

namespace testing {

using namespace baobabport;
using nlohmann::json;

namespace {

/// Time limit for a condition: several times the longest time-out involved.
constexpr std::chrono::seconds wait_limit{20};

json route(const std::string &database, const std::string &type)
{
    json out{{"name", "r-" + database},   {"database", database}, {"type", type},   {"timeout_ms", 1000},
             {"target_latency_ms", 1000}, {"priority", 1},        {"backend", "db"}};
    if (type != "primary")
        out["max_staleness_ms"] = 2500;
    return out;
}

} // namespace

test_caller::test_caller(event_base *base, const support::address &to)
    : socket_(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE))
{
    bufferevent_setcb(
        socket_,
        [](bufferevent *from, void *arg) {
            auto &me = *static_cast<test_caller *>(arg);
            std::string bytes(evbuffer_get_length(bufferevent_get_input(from)), '\0');
            evbuffer_remove(bufferevent_get_input(from), bytes.data(), bytes.size());
            me.reader_.append(bytes);
            while (const auto line = me.reader_.next())
                me.lines.push_back(*line);
        },
        nullptr,
        [](bufferevent * /*from*/, short what, void *arg) {
            if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
                static_cast<test_caller *>(arg)->closed = true;
        },
        this);
    bufferevent_enable(socket_, EV_READ | EV_WRITE);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(to.port);
    inet_pton(AF_INET, to.ip.c_str(), &at.sin_addr);
    bufferevent_socket_connect(socket_, reinterpret_cast<const sockaddr *>(&at), sizeof(at));
}

test_caller::~test_caller()
{
    bufferevent_free(socket_);
}

void test_caller::send(const std::string &bytes)
{
    bufferevent_write(socket_, bytes.data(), bytes.size());
}

proxy_site::proxy_site() : base(event_base_new()), group(base, "db", {"a", "b", "c"})
{
    settings_.store = free_address();
    settings_.promotion_orders = settings_.store;
    settings_ = settings_of("front-1");
    store.emplace(base, settings_.store, [this](const auto &order) {
        promoted.push_back(order.instance);
        orders.push_back({order.leader, order.generation, std::chrono::steady_clock::now()});
        return group.promote(order.instance) ? 200 : 409;
    });
    configure(1);
    for (const auto &it : group.ids())
        register_instance(it);
    proxy.emplace(base, settings_, [this] { stopped = true; });
    run_until([this] { return store->has("baobabport/failover/holder") && ready_status() == 200; });
}

proxy::proxy_settings proxy_site::settings_of(const std::string &process) const
{
    proxy::proxy_settings out;
    out.process = process;
    out.data_centre = "erie";
    out.callers = free_address();
    out.probe = free_address();
    out.admin = free_address();
    out.peers = free_address();
    out.store = settings_.store;
    out.promotion_orders = settings_.promotion_orders;
    out.shutdown_time = std::chrono::milliseconds(4000);
    out.drain_bound = std::chrono::milliseconds(2000);
    return out;
}

proxy::proxy_settings proxy_site::settings_of(const std::string &process,
                                              const standin::kv_endpoint &endpoint) const
{
    auto out = settings_of(process);
    out.store = endpoint.at;
    out.promotion_orders = endpoint.at;
    return out;
}

void proxy_site::run_for(std::chrono::milliseconds time)
{
    const auto end = std::chrono::steady_clock::now() + time;
    run_until([end] { return std::chrono::steady_clock::now() >= end; });
}

proxy_site::~proxy_site()
{
    proxy.reset();
    store.reset();
    event_base_loop(base, EVLOOP_NONBLOCK); // frees objects whose deletion was deferred to the loop
}

bool proxy_site::run_until(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + wait_limit;
    const auto wake = event_new(
        base, -1, EV_PERSIST, [](int, short, void *) {}, nullptr);
    const timeval interval{0, 5000};
    event_add(wake, &interval);
    bool satisfied = condition();
    while (!satisfied && std::chrono::steady_clock::now() < end) {
        event_base_loop(base, EVLOOP_ONCE);
        satisfied = condition();
    }
    event_free(wake);
    return satisfied;
}

std::unique_ptr<test_caller> proxy_site::session(const std::string &database, const std::string &key)
{
    auto out = std::make_unique<test_caller>(base, callers());
    out->send("CONNECT " + database + ' ' + key + "\r\n");
    run_until([&out] { return !out->lines.empty() || out->closed; });
    return out;
}

std::string proxy_site::ask(test_caller &from, const std::string &text)
{
    from.lines.clear();
    from.send("QUERY id" + std::to_string(++last_id_) + ' ' + text + "\r\n");
    run_until(
        [&from] { return from.closed || (!from.lines.empty() && from.lines.back().starts_with("READY")); });
    std::string out;
    for (const auto &it : from.lines)
        out += (out.empty() ? "" : "|") + it;
    return out;
}

json proxy_site::state(std::uint64_t version, const std::vector<std::string> &more)
{
    json routes =
        json::array({route("main", "primary"), route("old", "bounded"), route("own", "read_your_writes")});
    for (const auto &it : more)
        routes.push_back(route(it, "primary"));
    return {{"version", version},
            {"routes", routes},
            {"backends", {{{"name", "db"}, {"max_connections", 16}, {"sync_replicas", 0}}}},
            {"limits", {{"tx_idle_ms", 300}}}};
}

void proxy_site::configure(std::uint64_t version, const std::vector<std::string> &more)
{
    store->put("op/config", state(version, more).dump());
}

void proxy_site::configure_keys(std::uint64_t version,
                                const std::map<std::string, std::vector<std::string>> &keys)
{
    auto body = state(version, {"open"});
    body["routes"].back()["public"] = true;
    body["tenants"] = json::array();
    body["limits"]["tx_idle_ms"] = 5000; // longer than a test on a busy machine
    for (const auto &[name, own] : keys)
        body["tenants"].push_back({{"name", name}, {"api_keys", own}});
    store->put("op/config", body.dump());
}

void proxy_site::register_instance(const std::string &id, const std::string &state)
{
    auto &it = group.at(id);
    const json record{{"backend", "db"},
                      {"address", it.address().text()},
                      {"zone", "erie"},
                      {"version", "v1"},
                      {"slots", 2},
                      {"state", state},
                      {"cold_remaining_ms", 0},
                      {"db_role", it.primary ? "primary" : "replica"},
                      {"sequence", 1},
                      {"born", 1}};
    store->put("servers/" + id, record.dump());
}

std::string proxy_site::admin_page(const std::string &path)
{
    std::optional<std::string> out;
    http::http_client client(base, *settings_.admin);
    client.send({http::method_kind::get, path, {}, {}, std::chrono::milliseconds(1000)},
                [&out](const auto &answer) { out = answer.body; });
    run_until([&out] { return out.has_value(); });
    return out.value_or("");
}

int proxy_site::ready_status()
{
    int out = 0;
    http::http_client client(base, settings_.probe);
    client.send({http::method_kind::get, "/api/ready", {}, {}, std::chrono::milliseconds(1000)},
                [&out](const auto &answer) { out = answer.status == 0 ? -1 : answer.status; });
    run_until([&out] { return out != 0; });
    return out;
}

} // namespace testing
