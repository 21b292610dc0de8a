#include "http/operator_server.h"

#include "support/json_log.h"
#include "support/keys.h"

#include <utility>

namespace baobabport::http {

namespace {

constexpr std::size_t max_body = 64UL * 1024;
constexpr std::string_view bearer = "Bearer ";

} // namespace

operator_server::operator_server(event_base *base, const support::address &at, std::string key,
                                 std::string former_key, hooks operator_hooks)
    : key_(std::move(key)), former_key_(std::move(former_key)), hooks_(std::move(operator_hooks)),
      server_(base, at, max_body, [this](const auto &request, auto answer) { handle(request, *answer); })
{
}

bool operator_server::has_operator_key(const server_request &request) const
{
    if (!request.authorization.starts_with(bearer))
        return false;
    const auto presented_key = request.authorization.substr(bearer.size());
    if (support::equal_in_constant_time(presented_key, key_))
        return true;
    return !former_key_.empty() && support::equal_in_constant_time(presented_key, former_key_);
}

void operator_server::handle(const server_request &request, responder &answer)
{
    const bool get = request.method == method_kind::get;
    if (get && request.path == "/health") {
        const bool healthy = hooks_.healthy();
        answer.send({healthy ? 200 : 503, healthy ? R"({"healthy":true})" : R"({"healthy":false})", {}});
    } else if (get && request.path == "/state") {
        answer.send({200, hooks_.state(), {}});
    } else if (get && request.path == "/metrics") {
        answer.send({200, hooks_.metrics(), {}, "text/plain; version=0.0.4"});
    } else if (request.method == method_kind::post && request.path == "/drain") {
        if (!has_operator_key(request)) {
            support::log_warning("operator_key_refused", {{"path", request.path}});
            answer.send({401, R"({"error":"this needs the operators' key as a bearer token"})", {}});
            return;
        }
        answer.send({200, R"({"draining":true})", {}});
        hooks_.drain();
    } else {
        answer.send({404, R"({"error":"no such path"})", {}});
    }
}

} // namespace baobabport::http
