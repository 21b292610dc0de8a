// A stand-in for the platform's key-value service: compare-and-swap, leases, watches, and its faults.

#include "http/http_server.h"
#include "store_model.h"
#include "support/address.h"

#include <chrono>
#include <cstdlib>
#include <docopt/docopt.h>
#include <event2/event.h>
#include <iostream>
#include <list>
#include <nlohmann/json.hpp>

namespace {

using namespace baobabport;
using clock_type = std::chrono::steady_clock;
using nlohmann::json;

constexpr const char *usage = R"(A stand-in for the platform's key-value service.

Usage:
  standin-store --listen IP:PORT
  standin-store (-h | --help)

Options:
  --listen IP:PORT  Where to listen.
  -h --help         Show this text.
)";

constexpr std::size_t max_value = 1024UL * 1024;
const std::string key_prefix = "/v1/keys/";

/// Faults set over the control path.
struct store_faults
{
    bool down = false;                  ///< no answer at all
    std::chrono::milliseconds delay{0}; ///< before each answer
    int lose_answers = 0;               ///< the next writes take effect, their answers are lost
};

struct waiting_watch
{
    std::string key;
    std::uint64_t after = 0;
    clock_type::time_point until;
    std::shared_ptr<http::responder> answer;
};

class store_program
{
public:
    store_program(event_base *base, const support::address &at)
        : base_(base), server_(base, at, 2 * max_value, [this](const auto &request, auto answer) {
              handle(request, std::move(answer));
          })
    {
        timer_ = event_new(base, -1, EV_PERSIST, on_tick, this);
        const timeval interval{0, 20000};
        event_add(timer_, &interval);
    }
    ~store_program() { event_free(timer_); }
    store_program(const store_program &) = delete;
    store_program &operator=(const store_program &) = delete;

private:
    void handle(const http::server_request &request, std::shared_ptr<http::responder> answer)
    {
        if (request.path == "/control") {
            control(request, *answer);
            return;
        }
        ++calls_;
        if (faults_.down) {
            lost_.push_back(std::move(answer)); // never answered
            return;
        }
        if (faults_.delay.count() > 0) {
            delayed_.push_back({request, std::move(answer), clock_type::now() + faults_.delay});
            return;
        }
        serve(request, answer);
    }

    void serve(const http::server_request &request, const std::shared_ptr<http::responder> &answer)
    {
        if (!request.path.starts_with(key_prefix)) {
            answer->send({404, R"({"error":"no such path"})", {}});
            return;
        }
        const auto key = request.path.substr(key_prefix.size());
        if (request.method == http::method_kind::put)
            put(key, request, answer);
        else
            get(key, request, answer);
    }

    void get(const std::string &key, const http::server_request &request,
             const std::shared_ptr<http::responder> &answer)
    {
        const auto now = clock_type::now();
        const auto after = request.query_value("after");
        const auto it = model_.read(key, now);
        const auto known = after.empty() ? 0 : std::strtoull(after.c_str(), nullptr, 10);
        if (!after.empty() && (!it || it->revision <= known)) {
            const auto wait = std::chrono::milliseconds(std::atoi(request.query_value("wait_ms").c_str()));
            watches_.push_back({key, known, now + wait, answer});
            return;
        }
        send_value(it, *answer);
    }

    static void send_value(const std::optional<standin::store_model::value> &it, http::responder &answer)
    {
        if (!it) {
            answer.send({404, R"({"error":"no such key"})", {}});
            return;
        }
        answer.send({200, json{{"revision", it->revision}, {"value", it->text}}.dump(), {}});
    }

    void put(const std::string &key, const http::server_request &request,
             const std::shared_ptr<http::responder> &answer)
    {
        const auto expected = std::strtoull(request.query_value("expected").c_str(), nullptr, 10);
        const auto lease_text = request.query_value("lease_ms");
        std::optional<std::chrono::milliseconds> lease;
        if (!lease_text.empty())
            lease = std::chrono::milliseconds(std::atoi(lease_text.c_str()));
        if (request.body.size() > max_value) {
            answer->send({413, R"({"error":"value too large"})", {}});
            return;
        }
        const auto revision = model_.compare_and_swap(key, expected, request.body, lease, clock_type::now());
        if (revision)
            wake(key);
        if (faults_.lose_answers > 0) {
            --faults_.lose_answers;
            lost_.push_back(answer);
            return;
        }
        if (!revision) {
            answer->send({409, R"({"error":"another revision"})", {}});
            return;
        }
        answer->send({200, json{{"revision", *revision}}.dump(), {}});
    }

    void wake(const std::string &key)
    {
        const auto now = clock_type::now();
        const auto it = model_.read(key, now);
        for (auto watch = watches_.begin(); watch != watches_.end();) {
            const bool fires = watch->key == key && it && it->revision > watch->after;
            if (fires)
                send_value(it, *watch->answer);
            watch = fires ? watches_.erase(watch) : std::next(watch);
        }
    }

    void control(const http::server_request &request, http::responder &answer)
    {
        const auto wanted = json::parse(request.body.empty() ? "{}" : request.body, nullptr, false);
        if (!wanted.is_object()) {
            answer.send({400, R"({"error":"not an object"})", {}});
            return;
        }
        faults_.down = wanted.value("down", faults_.down);
        faults_.delay = std::chrono::milliseconds(wanted.value("delay_ms", faults_.delay.count()));
        faults_.lose_answers = wanted.value("lose_answers", faults_.lose_answers);
        if (faults_.down) {
            for (auto &it : watches_)
                lost_.push_back(it.answer);
            watches_.clear();
        }
        answer.send({200, json{{"calls", calls_}, {"watches", watches_.size()}}.dump(), {}});
    }

    static void on_tick(int /*socket*/, short /*what*/, void *self)
    {
        static_cast<store_program *>(self)->tick();
    }

    void tick()
    {
        const auto now = clock_type::now();
        for (auto it = watches_.begin(); it != watches_.end();) {
            const bool over = it->until <= now;
            if (over)
                it->answer->send({204, "", {}});
            it = over ? watches_.erase(it) : std::next(it);
        }
        for (auto it = delayed_.begin(); it != delayed_.end();) {
            const bool due = it->at <= now;
            if (due)
                serve(it->request, it->answer);
            it = due ? delayed_.erase(it) : std::next(it);
        }
    }

    struct delayed_request
    {
        http::server_request request;
        std::shared_ptr<http::responder> answer;
        clock_type::time_point at;
    };

    event_base *base_;
    standin::store_model model_;
    store_faults faults_;
    std::uint64_t calls_ = 0;
    std::list<waiting_watch> watches_;
    std::list<delayed_request> delayed_;
    std::list<std::shared_ptr<http::responder>> lost_;
    http::http_server server_;
    event *timer_ = nullptr;
};

} // namespace

int main(int argc, char **argv)
{
    auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const auto at = support::parse_address(args["--listen"].asString());
    if (!at) {
        std::cerr << "--listen: found " << args["--listen"].asString() << ", allowed: IP:PORT\n";
        return 2;
    }
    auto *const base = event_base_new();
    const store_program program(base, *at);
    event_base_dispatch(base);
    return 0;
}
