#include "pooler/upstream_json.h"

#include <nlohmann/json.hpp>

namespace baobabport::pooler {

using nlohmann::json;

namespace {

/// The home enforces a statement's deadline; this time-out only closes dead connections.
constexpr std::chrono::minutes statement_timeout{10};
constexpr std::chrono::milliseconds wait_grace_period{500};

} // namespace

http::client_request statement_request_for(const home::upstream_call &call)
{
    const json body{{"call", call.call},
                    {"term", call.term},
                    {"write", call.write},
                    {"step", static_cast<int>(call.step)},
                    {"statement", call.statement},
                    {"arguments", call.arguments},
                    {"request_id", call.request_id}};
    return {http::method_kind::post, "/statement", body.dump(), {}, statement_timeout};
}

http::client_request command_request_for(const home::instance_command &command)
{
    const json term{{"term", command.term}};
    switch (command.kind) {
    case home::command_kind::fence:
        return {http::method_kind::post, "/fence", term.dump(), {}, command.timeout};
    case home::command_kind::promote:
        return {http::method_kind::post, "/promote", term.dump(), {}, command.timeout};
    case home::command_kind::status:
        break;
    }
    if (command.wait_for == consistency::position{})
        return {http::method_kind::get, "/status", {}, {}, command.timeout};
    const auto query = "/status?wait_term=" + std::to_string(command.wait_for.term) +
                       "&wait_offset=" + std::to_string(command.wait_for.offset) +
                       "&wait_ms=" + std::to_string(command.timeout.count());
    return {http::method_kind::get, query, {}, {}, command.timeout + wait_grace_period};
}

home::upstream_result read_statement_answer(const http::client_answer &answer, home::call_id call)
{
    home::upstream_result out;
    out.call = call;
    if (answer.failure != http::client_failure::none || answer.status != 200)
        return out;
    try {
        const auto body = json::parse(answer.body);
        out.reason = body.at("reason").get<std::string>();
        out.rows = body.at("rows").get<std::string>();
        if (!out.rows.empty() && !json::accept(out.rows))
            return out; // the caller's answer contains the rows as JSON
        out.at = {body.at("term").get<std::uint64_t>(), body.at("offset").get<std::uint64_t>()};
        out.repeated = body.at("repeated").get<bool>();
        out.call = body.at("call").get<std::uint64_t>();
        const auto outcome = body.at("outcome").get<std::string>();
        if (outcome == "ran")
            out.outcome = home::call_outcome::ran;
        else if (outcome == "refused")
            out.outcome = home::call_outcome::refused;
    } catch (const json::exception &) {
        out.outcome = home::call_outcome::lost;
    }
    return out;
}

void read_command_answer(const http::client_answer &answer, home::command_result &out)
{
    if (answer.failure == http::client_failure::broken) {
        out.outcome = home::command_outcome::connection_broken;
        return;
    }
    out.outcome = home::command_outcome::timed_out;
    if (answer.failure != http::client_failure::none || answer.status != 200)
        return;
    try {
        const auto body = json::parse(answer.body);
        out.status.role = body.at("role").get<std::string>() == "primary"
                              ? consistency::instance_role::primary
                              : consistency::instance_role::replica;
        out.status.promised_term = body.at("promised_term").get<std::uint64_t>();
        out.status.log = {body.at("log_term").get<std::uint64_t>(),
                          body.at("log_offset").get<std::uint64_t>()};
        out.accepted = body.value("accepted", false);
        out.outcome = home::command_outcome::answered;
    } catch (const json::exception &) {
        out.outcome = home::command_outcome::timed_out;
    }
}

} // namespace baobabport::pooler
