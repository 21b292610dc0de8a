#include "load/load_task.h"

#include <algorithm>
#include <cstdlib>
#include <event2/http.h>
#include <nlohmann/json.hpp>

namespace baobabport::load {

using consistency::verdict;
using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::chrono::milliseconds tick_interval{1};
constexpr std::chrono::milliseconds answer_grace_period{2000};
constexpr std::chrono::seconds control_timeout{2};

double ms(microseconds value)
{
    return static_cast<double>(value.count()) / 1000.0;
}

std::string encoded(const std::string &name)
{
    char *const raw = evhttp_uriencode(name.data(), static_cast<ev_ssize_t>(name.size()), 0);
    std::string out(raw);
    std::free(raw); // NOLINT(cppcoreguidelines-no-malloc): libevent allocates with malloc
    return out;
}

std::size_t primary_in(const json &state)
{
    std::size_t out = 0;
    std::uint64_t term = 0;
    const auto &instances = state.at("instances");
    for (std::size_t n = 0; n < instances.size(); ++n) {
        const auto &status = instances[n].at("status");
        if (status.at("role") == "primary" && status.at("promised_term").get<std::uint64_t>() > term) {
            term = status.at("promised_term").get<std::uint64_t>();
            out = n;
        }
    }
    return out;
}

} // namespace

load_task::load_task(event_base *base, workload_plan plan, std::vector<support::address> entries,
                     std::vector<group_endpoint> groups, finished_hook finished)
    : base_(base), plan_(std::move(plan)), entries_(std::move(entries)), groups_(std::move(groups)),
      finished_(std::move(finished)), idle_(entries_.size()), random_(plan_.seed),
      timer_(base, [this] { tick(); }), began_(steady_clock::now())
{
    for (const auto &it : plan_.streams) {
        auto &stream = streams_.emplace_back();
        stream.plan = it;
        if (stream.plan.to.count() == 0)
            stream.plan.to = plan_.duration;
    }
    std::sort(plan_.faults.begin(), plan_.faults.end(),
              [](const auto &a, const auto &b) { return a.at < b.at; });
    timer_.repeat(tick_interval);
}

void load_task::tick()
{
    const auto now = steady_clock::now();
    const auto elapsed = now - began_;
    for (std::size_t n = 0; n < streams_.size(); ++n) {
        auto &it = streams_[n];
        while (true) {
            const auto offset = it.plan.from + microseconds(1000000 * it.next / it.plan.rate);
            if (offset >= it.plan.to || offset > elapsed)
                break;
            start_request(n, began_ + offset);
        }
    }
    while (faults_begun_ < plan_.faults.size() && plan_.faults[faults_begun_].at <= elapsed)
        begin_fault(plan_.faults[faults_begun_++]);
    if (elapsed > plan_.duration && in_progress_ == 0) {
        timer_.stop();
        finished_();
    }
}

void load_task::start_request(std::size_t stream, time_point planned)
{
    auto &it = streams_[stream];
    pending_request out;
    out.stream = stream;
    out.number = it.next++;
    out.planned = planned;
    out.database = it.plan.databases[out.number % it.plan.databases.size()];
    if (it.plan.write) {
        const auto key = it.plan.keys == 0 ? out.number : random_() % it.plan.keys;
        out.key = it.plan.name + '/' + std::to_string(key);
        out.request_id = it.plan.name + '-' + std::to_string(out.number);
    } else if (it.plan.statement == "route_sheet") {
        out.key = "sheet-" + std::to_string(random_() % it.plan.sheet_keys);
    } else {
        out.key = "key-" + std::to_string(random_() % std::max<std::uint32_t>(1, it.plan.keys));
    }
    ++it.result.sent;
    send(out);
}

std::shared_ptr<http::http_client> load_task::client_of(std::size_t entry)
{
    auto &idle = idle_[entry];
    if (idle.empty())
        return std::make_shared<http::http_client>(base_, entries_[entry]);
    auto out = std::move(idle.back());
    idle.pop_back();
    return out;
}

void load_task::send(const pending_request &it)
{
    const auto &plan = streams_[it.stream].plan;
    json body{{"class", it.read_back ? plan.read_back_class : plan.class_name},
              {"statement", it.read_back ? "select" : plan.statement},
              {"deadline_ms", plan.deadline.count()}};
    if (plan.statement == "route_sheet")
        body["arguments"] = {{"prefix", it.key}};
    else
        body["arguments"] = {{"key", it.key}, {"value", std::to_string(it.number)}};
    if (!it.request_id.empty() && !it.read_back)
        body["request_id"] = it.request_id;
    http::client_request request;
    request.method = http::method_kind::post;
    request.path = "/v1/databases/" + encoded(it.database) + "/statements";
    request.body = body.dump();
    request.timeout = plan.deadline + answer_grace_period;
    if (!it.token.empty())
        request.headers.push_back({http::session_header, it.token});
    const auto entry = next_entry_++ % entries_.size();
    const auto client = client_of(entry);
    ++in_progress_;
    client->send(request, [this, it, entry, client](const http::client_answer &answer) {
        --in_progress_;
        if (answer.failure == http::client_failure::none)
            idle_[entry].push_back(client);
        handle_answer(it, answer);
    });
}

void load_task::handle_answer(const pending_request &it, const http::client_answer &answer)
{
    const auto now = steady_clock::now();
    auto &stream = streams_[it.stream];
    auto &result = stream.result;
    const auto body = json::parse(answer.body.empty() ? "{}" : answer.body, nullptr, false);
    const auto text = body.is_object() ? body.value("verdict", "unknown") : "unknown";
    const auto outcome = consistency::verdict_from_string(text).value_or(verdict::unknown);
    if (it.read_back) {
        handle_read_back(it, body);
        return;
    }
    if (stream.plan.write)
        ledger_.record_answer(it.database, it.request_id, outcome);
    if (outcome != verdict::ran) {
        ++(outcome == verdict::unknown ? result.unknown : result.not_run);
        ++result.reasons[body.is_object() ? body.value("reason", "no_answer") : "no_answer"];
        return;
    }
    const auto response_time = std::chrono::duration_cast<microseconds>(now - it.planned);
    ++result.ran;
    result.latency.record(response_time);
    result.max_latency = std::max(result.max_latency, response_time);
    result.late += response_time > stream.plan.deadline ? 1 : 0;
    result.by_replica += body.value("by_replica", false) ? 1 : 0;
    if (stream.last_ran != time_point{})
        result.longest_gap =
            std::max(result.longest_gap, std::chrono::duration_cast<microseconds>(now - stream.last_ran));
    stream.last_ran = now;
    if (stream.plan.write && !stream.plan.read_back_class.empty()) {
        auto read = it;
        read.read_back = true;
        read.token = answer.session_token;
        send(read);
    }
}

void load_task::handle_read_back(const pending_request &it, const json &body)
{
    auto &result = streams_[it.stream].result;
    if (!body.is_object() || body.value("verdict", "") != "ran")
        return;
    ++result.read_backs;
    result.read_backs_by_replica += body.value("by_replica", false) ? 1 : 0;
    const auto &rows = body["rows"];
    const bool saw_own_write =
        rows.is_array() && rows.size() == 1 && rows[0].value("value", "") == std::to_string(it.number);
    if (!saw_own_write && streams_[it.stream].plan.keys == 0)
        ledger_.record_stale_read(it.database + ' ' + it.request_id +
                                  ": its caller read it back and did not see it");
}

void load_task::begin_fault(const timed_fault &it)
{
    const auto group = std::find_if(groups_.begin(), groups_.end(),
                                    [&](const auto &endpoint) { return endpoint.database == it.database; });
    if (group == groups_.end())
        return;
    const auto client = std::make_shared<http::http_client>(base_, group->control);
    const auto endpoint = *group;
    controls_.push_back(client);
    client->send({http::method_kind::get, "/state", {}, {}, control_timeout}, [this, client, it,
                                                                               endpoint](const auto &answer) {
        const auto state = json::parse(answer.body, nullptr, false);
        auto control = json::parse(it.control, nullptr, false);
        if (!state.is_object() || !control.is_object())
            return;
        // "primary" is replaced by the instance that is the primary when the fault begins.
        const auto primary = primary_in(state);
        for (const char *name : {"crash", "restart", "isolate"}) {
            if (control.contains(name) && control[name] == "primary")
                control[name] = primary;
        }
        if (control.contains("silence") && control["silence"].value("instance", json()) == "primary")
            control["silence"]["instance"] = primary;
        const auto second = std::make_shared<http::http_client>(base_, endpoint.control);
        controls_.push_back(second);
        second->send({http::method_kind::post, "/control", control.dump(), {}, control_timeout},
                     [](const auto &) {});
    });
}

void load_task::check_log(const std::string &database, const json &log)
{
    if (!log.is_object())
        return;
    const auto primary = primary_in(log);
    for (const auto &it : log.at("instances")[primary].at("log"))
        ledger_.logged(database, it.at("request_id").get<std::string>());
}

json load_task::report() const
{
    json streams = json::object();
    for (const auto &it : streams_) {
        const auto &result = it.result;
        streams[it.plan.name] = {{"sent", result.sent},
                                 {"ran", result.ran},
                                 {"not_run", result.not_run},
                                 {"unknown", result.unknown},
                                 {"late", result.late},
                                 {"p50_ms", ms(result.latency.quantile(0.5))},
                                 {"p99_ms", ms(result.latency.quantile(0.99))},
                                 {"max_ms", ms(result.max_latency)},
                                 {"by_replica", result.by_replica},
                                 {"read_backs", result.read_backs},
                                 {"read_backs_by_replica", result.read_backs_by_replica},
                                 {"longest_gap_ms", ms(result.longest_gap)},
                                 {"reasons", result.reasons}};
    }
    return {{"streams", streams}, {"writes", ledger_.writes()}, {"breaches", ledger_.violations()}};
}

} // namespace baobabport::load
