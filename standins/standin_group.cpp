// Stand-in program for one database group: serves each instance over HTTP on its own port, with faults.

#include "group_model.h"
#include "http/http_server.h"
#include "support/address.h"

#include <chrono>
#include <deque>
#include <docopt/docopt.h>
#include <event2/event.h>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace {

using namespace baobabport;
using clock_type = std::chrono::steady_clock;
using consistency::instance_id;
using nlohmann::json;

constexpr const char *usage = R"(A stand-in for a database group.

Usage:
  standin-group --listen IP:PORT [--instances N] [--slots N] [--connections N]
                [--lag MS] [--latency MS] [--short MS] [--sheet MS] [--long MS]
  standin-group (-h | --help)

Options:
  --listen IP:PORT  Control address; instance N, counted from 0, listens on its port + N + 1.
  --instances N     Instances of the group [default: 3].
  --slots N         Statements that an instance runs at the same time [default: 2].
  --connections N   Connections that an instance accepts [default: 16].
  --lag MS          Replication lag [default: 0].
  --latency MS      Network round trip, added to each answer [default: 0].
  --short MS        Duration of insert, update and select [default: 2].
  --sheet MS        Duration of a route sheet [default: 6].
  --long MS         Duration of a long scan [default: 100].
  -h --help         Show this text.
)";

constexpr std::size_t max_body = 1024UL * 1024;
constexpr std::chrono::milliseconds open_time{12};
constexpr long tick_microseconds = 500;

struct group_options
{
    support::address listen;
    std::size_t instances = 3;
    std::size_t slots = 2;
    std::size_t connections = 16;
    std::chrono::milliseconds lag{0};
    std::chrono::milliseconds latency{0};
    std::chrono::milliseconds short_time{2};
    std::chrono::milliseconds sheet_time{6};
    std::chrono::milliseconds long_time{100};
};

/// A statement that runs or waits for a slot.
struct job
{
    http::server_request request;
    std::shared_ptr<http::responder> answer;
    home::upstream_call call;
    clock_type::time_point done_at;
};

/// A status request that waits for a log position.
struct position_wait
{
    consistency::position target;
    clock_type::time_point until;
    std::shared_ptr<http::responder> answer;
};

struct delayed_answer
{
    clock_type::time_point at;
    http::server_reply reply;
    std::shared_ptr<http::responder> answer;
};

json to_json(const consistency::instance_status &status)
{
    return {{"role", status.role == consistency::instance_role::primary ? "primary" : "replica"},
            {"promised_term", status.promised_term},
            {"log_term", status.log.term},
            {"log_offset", status.log.offset}};
}

/// One instance's listener, slots and waiting requests.
class instance_server
{
public:
    instance_server(event_base *base, const group_options &options, instance_id id,
                    standin::group_model &model)
        : base_(base), options_(options), id_(id), model_(model)
    {
        listen();
    }

    void listen()
    {
        auto at = options_.listen;
        at.port = static_cast<std::uint16_t>(at.port + id_ + 1);
        server_ = std::make_unique<http::http_server>(
            base_, at, max_body,
            [this](const auto &request, auto answer) { handle(request, std::move(answer)); });
        server_->on_connection_end([this](std::uint64_t connection) {
            model_.end_session(id_, connection);
            open_connections_.erase(connection);
        });
    }

    void crash()
    {
        model_.crash(id_);
        waiting_.clear();
        running_.clear();
        position_waits_.clear();
        delayed_.clear();
        open_connections_.clear();
        if (server_) {
            server_->stop_listening();
            server_->abort_connections();
        }
        crashed_server_ = std::move(server_);
    }

    void restart()
    {
        model_.restart(id_);
        crashed_server_.reset();
        listen();
    }

    void silence(const std::string &process, bool on)
    {
        if (on) {
            unresponsive_to_.insert(process);
            return;
        }
        unresponsive_to_.erase(process);
        // Requests received meanwhile are answered now; this also detects clients that have disconnected.
        for (const auto &it : std::exchange(unanswered_, {}))
            it->send({503, R"({"error":"was silent"})", {}});
    }

    void lose_answers(int n) { lose_answers_ = n; }

    void tick(clock_type::time_point now)
    {
        for (auto it = running_.begin(); it != running_.end();) {
            const bool done = it->done_at <= now;
            if (done)
                finish(*it, now);
            it = done ? running_.erase(it) : std::next(it);
        }
        start(now);
        for (auto it = position_waits_.begin(); it != position_waits_.end();) {
            const bool completed = model_.status(id_).log >= it->target || it->until <= now;
            if (completed)
                send_later(it->answer, {200, to_json(model_.status(id_)).dump(), {}}, now);
            it = completed ? position_waits_.erase(it) : std::next(it);
        }
        for (auto it = delayed_.begin(); it != delayed_.end();) {
            const bool due = it->at <= now;
            if (due)
                it->answer->send(it->reply);
            it = due ? delayed_.erase(it) : std::next(it);
        }
    }

    [[nodiscard]] json dump() const
    {
        return {{"status", to_json(model_.status(id_))},
                {"up", model_.up(id_)},
                {"waiting", waiting_.size()},
                {"most_waiting", max_waiting_},
                {"connections", open_connections_.size()},
                {"most_connections", max_connections_},
                {"refused_connections", refused_},
                {"served", served_}};
    }

private:
    void handle(const http::server_request &request, std::shared_ptr<http::responder> answer)
    {
        const auto now = clock_type::now();
        if (unresponsive_to_.contains("*") || unresponsive_to_.contains(request.user_agent)) {
            unanswered_.push_back(std::move(answer));
            return;
        }
        if (request.path == "/hello") {
            hello(request, answer, now);
        } else if (request.path == "/status") {
            status(request, answer, now);
        } else if (request.path == "/fence" || request.path == "/promote") {
            command(request, answer, now);
        } else if (request.path == "/statement") {
            statement(request, std::move(answer), now);
        } else {
            answer->send({404, R"({"error":"no such path"})", {}});
        }
    }

    void send_later(std::shared_ptr<http::responder> answer, http::server_reply reply,
                    clock_type::time_point now)
    {
        if (options_.latency.count() == 0) {
            answer->send(reply);
            return;
        }
        delayed_.push_back({now + options_.latency, std::move(reply), std::move(answer)});
    }

    void hello(const http::server_request &request, const std::shared_ptr<http::responder> &answer,
               clock_type::time_point now)
    {
        if (open_connections_.size() >= options_.connections) {
            ++refused_;
            answer->send({503, R"({"error":"too many connections"})", {}});
            return;
        }
        open_connections_.insert(request.connection);
        max_connections_ = std::max(max_connections_, open_connections_.size());
        delayed_.push_back({now + open_time, {200, "{}", {}}, answer});
    }

    void status(const http::server_request &request, const std::shared_ptr<http::responder> &answer,
                clock_type::time_point now)
    {
        const auto term = std::strtoull(request.query_value("wait_term").c_str(), nullptr, 10);
        const auto offset = std::strtoull(request.query_value("wait_offset").c_str(), nullptr, 10);
        const auto wait = std::chrono::milliseconds(std::atoi(request.query_value("wait_ms").c_str()));
        const consistency::position target{term, offset};
        if (model_.status(id_).log < target) {
            position_waits_.push_back({target, now + wait, answer});
            return;
        }
        send_later(answer, {200, to_json(model_.status(id_)).dump(), {}}, now);
    }

    void command(const http::server_request &request, const std::shared_ptr<http::responder> &answer,
                 clock_type::time_point now)
    {
        const auto body = json::parse(request.body, nullptr, false);
        const auto term = body.is_object() ? body.value("term", std::uint64_t{0}) : 0;
        const bool accepted =
            request.path == "/fence" ? model_.fence(id_, term) : model_.promote(id_, term, now);
        auto out = to_json(model_.status(id_));
        out["accepted"] = accepted;
        send_later(answer, {200, out.dump(), {}}, now);
    }

    void statement(const http::server_request &request, std::shared_ptr<http::responder> answer,
                   clock_type::time_point now)
    {
        const auto body = json::parse(request.body, nullptr, false);
        job it;
        it.request = request;
        it.answer = std::move(answer);
        if (!body.is_object()) {
            it.answer->send({400, R"({"error":"not an object"})", {}});
            return;
        }
        it.call.call = body.value("call", std::uint64_t{0});
        it.call.term = body.value("term", std::uint64_t{0});
        it.call.write = body.value("write", false);
        it.call.step = static_cast<inner::transaction_step>(body.value("step", 0));
        it.call.statement = body.value("statement", "");
        it.call.arguments = body.value("arguments", "");
        it.call.request_id = body.value("request_id", "");
        waiting_.push_back(std::move(it));
        start(now);
        max_waiting_ = std::max(max_waiting_, waiting_.size());
    }

    void start(clock_type::time_point now)
    {
        while (!waiting_.empty() && running_.size() < options_.slots) {
            waiting_.front().done_at = now + duration_of(waiting_.front().call.statement);
            running_.push_back(std::move(waiting_.front()));
            waiting_.pop_front();
        }
    }

    [[nodiscard]] std::chrono::milliseconds duration_of(const std::string &statement) const
    {
        if (statement == "long_scan")
            return options_.long_time;
        if (statement == "route_sheet")
            return options_.sheet_time;
        return options_.short_time;
    }

    void finish(const job &it, clock_type::time_point now)
    {
        const auto result = model_.execute(id_, it.request.connection, it.call, now);
        ++served_;
        if (lose_answers_ > 0) {
            --lose_answers_;
            unanswered_.push_back(it.answer);
            return;
        }
        const bool ran = result.outcome == home::call_outcome::ran;
        const json out{{"call", result.call},        {"outcome", ran ? "ran" : "refused"},
                       {"reason", result.reason},    {"rows", result.rows},
                       {"term", result.at.term},     {"offset", result.at.offset},
                       {"repeated", result.repeated}};
        send_later(it.answer, {200, out.dump(), {}}, now);
    }

    event_base *base_;
    const group_options &options_;
    instance_id id_;
    standin::group_model &model_;
    std::unique_ptr<http::http_server> server_;
    std::unique_ptr<http::http_server> crashed_server_; ///< kept until the loop has closed its connections
    std::deque<job> waiting_;
    std::list<job> running_;
    std::list<position_wait> position_waits_;
    std::list<delayed_answer> delayed_;
    std::list<std::shared_ptr<http::responder>> unanswered_;
    std::set<std::string> unresponsive_to_; ///< processes that get no answer; "*" stands for all
    std::set<std::uint64_t> open_connections_;
    std::size_t max_connections_ = 0;
    std::size_t max_waiting_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t served_ = 0;
    int lose_answers_ = 0;
};

class group_program
{
public:
    group_program(event_base *base, group_options options)
        : options_(std::move(options)), model_(options_.instances),
          control_(base, options_.listen, max_body,
                   [this](const auto &request, auto answer) { control(request, *answer); })
    {
        for (instance_id it = 0; it < options_.instances; ++it) {
            model_.set_lag(it, options_.lag);
            servers_.push_back(std::make_unique<instance_server>(base, options_, it, model_));
        }
        timer_ = event_new(base, -1, EV_PERSIST, on_tick, this);
        const timeval interval{0, tick_microseconds};
        event_add(timer_, &interval);
    }
    ~group_program() { event_free(timer_); }
    group_program(const group_program &) = delete;
    group_program &operator=(const group_program &) = delete;

private:
    static void on_tick(int /*socket*/, short /*what*/, void *self)
    {
        static_cast<group_program *>(self)->tick();
    }

    void tick()
    {
        const auto now = clock_type::now();
        model_.replicate(now);
        for (auto &it : servers_)
            it->tick(now);
    }

    void control(const http::server_request &request, http::responder &answer)
    {
        if (request.method == http::method_kind::get) {
            answer.send({200, dump(request.path == "/log").dump(), {}});
            return;
        }
        const auto requested = json::parse(request.body.empty() ? "{}" : request.body, nullptr, false);
        if (!requested.is_object()) {
            answer.send({400, R"({"error":"not an object"})", {}});
            return;
        }
        try {
            apply(requested);
        } catch (const json::exception &ec) {
            answer.send({400, json{{"error", ec.what()}}.dump(), {}});
            return;
        }
        answer.send({200, dump(false).dump(), {}});
    }

    void apply(const json &requested)
    {
        if (requested.contains("crash"))
            servers_.at(requested["crash"].get<std::size_t>())->crash();
        if (requested.contains("restart"))
            servers_.at(requested["restart"].get<std::size_t>())->restart();
        if (requested.value("restart_all", false))
            repair_all();
        if (requested.contains("isolate"))
            isolate(requested["isolate"].get<instance_id>());
        if (requested.contains("lag_ms")) {
            for (instance_id it = 0; it < options_.instances; ++it)
                model_.set_lag(it, std::chrono::milliseconds(requested["lag_ms"].get<int>()));
        }
        if (requested.contains("silence")) {
            const auto &silence = requested["silence"];
            servers_.at(silence.at("instance").get<std::size_t>())
                ->silence(silence.value("process", "*"), silence.value("on", true));
        }
        if (requested.contains("cut")) {
            const auto &cut = requested["cut"];
            model_.set_disconnected(cut.at("a").get<instance_id>(), cut.at("b").get<instance_id>(),
                                    cut.value("on", true));
        }
        if (requested.contains("lose_answers")) {
            const auto &lose = requested["lose_answers"];
            servers_.at(lose.at("instance").get<std::size_t>())->lose_answers(lose.at("count").get<int>());
        }
        if (requested.contains("short_ms"))
            options_.short_time = std::chrono::milliseconds(requested["short_ms"].get<int>());
        if (requested.contains("sheet_ms"))
            options_.sheet_time = std::chrono::milliseconds(requested["sheet_ms"].get<int>());
        if (requested.contains("long_ms"))
            options_.long_time = std::chrono::milliseconds(requested["long_ms"].get<int>());
    }

    /// Disconnects an instance from the other instances and from every process.
    void isolate(instance_id instance)
    {
        for (instance_id it = 0; it < options_.instances; ++it) {
            if (it != instance)
                model_.set_disconnected(instance, it, true);
        }
        servers_.at(instance)->silence("*", true);
    }

    void repair_all()
    {
        for (instance_id it = 0; it < options_.instances; ++it) {
            if (!model_.up(it))
                servers_[it]->restart();
            servers_[it]->silence("*", false);
            for (instance_id other = 0; other < options_.instances; ++other)
                model_.set_disconnected(it, other, false);
        }
    }

    [[nodiscard]] json dump(bool with_log) const
    {
        json out;
        for (instance_id it = 0; it < options_.instances; ++it) {
            auto one = servers_[it]->dump();
            if (with_log)
                one["log"] = log_of(it);
            out["instances"].push_back(one);
        }
        return out;
    }

    [[nodiscard]] json log_of(instance_id instance) const
    {
        json out = json::array();
        for (const auto &it : model_.log(instance))
            out.push_back(
                {{"term", it.term}, {"request_id", it.request_id}, {"key", it.key}, {"value", it.value}});
        return out;
    }

    group_options options_;
    standin::group_model model_;
    std::vector<std::unique_ptr<instance_server>> servers_;
    http::http_server control_;
    event *timer_ = nullptr;
};

} // namespace

int main(int argc, char **argv)
{
    auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const auto listen = support::parse_address(args["--listen"].asString());
    if (!listen) {
        std::cerr << "--listen: found " << args["--listen"].asString() << ", allowed: IP:PORT\n";
        return 2;
    }
    group_options options;
    options.listen = *listen;
    options.instances = static_cast<std::size_t>(args["--instances"].asLong());
    options.slots = static_cast<std::size_t>(args["--slots"].asLong());
    options.connections = static_cast<std::size_t>(args["--connections"].asLong());
    options.lag = std::chrono::milliseconds(args["--lag"].asLong());
    options.latency = std::chrono::milliseconds(args["--latency"].asLong());
    options.short_time = std::chrono::milliseconds(args["--short"].asLong());
    options.sheet_time = std::chrono::milliseconds(args["--sheet"].asLong());
    options.long_time = std::chrono::milliseconds(args["--long"].asLong());
    auto *const base = event_base_new();
    const group_program program(base, options);
    event_base_dispatch(base);
    return 0;
}
