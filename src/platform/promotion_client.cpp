// HTTP requests that order promotions, and their time-outs.

#include "platform/promotion_client.h"

#include "inner/timer.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace baobabport::platform {

struct promotion_client::pending_order
{
    pending_order(event_base *base, const support::address &at, std::function<void()> on_timeout,
                  outcome_hook hook)
        : client(base, at), timeout_timer(base, std::move(on_timeout)), done(std::move(hook))
    {
    }

    http::http_client client;
    inner::timer timeout_timer;
    outcome_hook done;
};

promotion_client::promotion_client(event_base *base, support::address at) : base_(base), at_(std::move(at)) {}

promotion_client::~promotion_client() = default;

void promotion_client::promote(const promotion_order &order, std::chrono::milliseconds timeout,
                               outcome_hook done, std::function<bool()> still_valid)
{
    const nlohmann::json body{{"backend", order.service}, {"id", order.instance}};
    http::client_request request;
    request.method = http::method_kind::post;
    request.path = "/promote";
    request.body = body.dump();
    request.headers = {{"X-Lease-Holder", order.leader},
                       {"X-Fencing-Token", std::to_string(order.generation)}};
    request.timeout = timeout;
    request.may_write = [decided_at = order.decided_at, still_valid = std::move(still_valid)] {
        return support::boot_clock::now() - decided_at <= max_order_age && (!still_valid || still_valid());
    };
    const auto number = ++last_number_;
    auto &it = pending_[number];
    it = std::make_unique<pending_order>(
        base_, at_, [this, number] { finish(number, promotion_outcome::no_answer, "no answer"); },
        std::move(done));
    it->timeout_timer.start(timeout);
    it->client.discard_on_close();
    it->client.send(request, [this, number](const http::client_answer &answer) {
        if (answer.failure == http::client_failure::cancelled)
            return finish(number, promotion_outcome::not_sent, "not sent");
        if (answer.failure != http::client_failure::none)
            return finish(number, promotion_outcome::no_answer, "no answer");
        const auto reason = "status " + std::to_string(answer.status);
        if (answer.status == 200)
            return finish(number, promotion_outcome::accepted, reason);
        if (answer.status == 409)
            return finish(number, promotion_outcome::instance_absent, reason);
        return finish(number, promotion_outcome::refused, reason);
    });
}

void promotion_client::finish(std::uint64_t number, promotion_outcome outcome, const std::string &reason)
{
    const auto it = pending_.find(number);
    if (it == pending_.end())
        return;
    const auto ended = std::move(it->second);
    pending_.erase(it);
    ended->done(outcome, reason);
}

} // namespace baobabport::platform
