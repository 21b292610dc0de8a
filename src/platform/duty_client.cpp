#include "platform/duty_client.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace baobabport::platform {

duty_client::duty_client(event_base *base, support::address at) : base_(base), at_(std::move(at)) {}

void duty_client::promote(const promotion_order &order, std::chrono::milliseconds timeout, outcome_hook done)
{
    const nlohmann::json body{{"backend", order.service}, {"id", order.instance}};
    http::client_request request;
    request.method = http::method_kind::post;
    request.path = "/promote";
    request.body = body.dump();
    request.headers = {{"X-Lease-Holder", order.holder},
                       {"X-Fencing-Token", std::to_string(order.generation)}};
    request.timeout = timeout;
    // Promotions are rare: a connection each.
    auto client = std::make_shared<http::http_client>(base_, at_);
    auto *const raw = client.get();
    raw->send(request, [client, done = std::move(done)](const http::client_answer &answer) {
        if (answer.failure != http::client_failure::none)
            return done(promotion_outcome::no_answer, "no answer");
        const auto reason = "status " + std::to_string(answer.status);
        if (answer.status == 200)
            return done(promotion_outcome::accepted, reason);
        if (answer.status == 409)
            return done(promotion_outcome::instance_absent, reason);
        return done(promotion_outcome::refused, reason);
    });
}

} // namespace baobabport::platform
