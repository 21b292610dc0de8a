#include "entry/caller_request.h"

#include "support/json_fields.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <event2/http.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

namespace baobabport::entry {

using consistency::verdict;
using inner::transaction_step;
using nlohmann::json;

namespace {

constexpr std::size_t max_name = 200;
constexpr std::size_t max_argument_levels = 100;
constexpr std::int64_t max_deadline_ms = 600000;
const std::string path_prefix = "/v1/databases/";

std::string decoded(const std::string &part)
{
    std::size_t length = 0;
    char *const raw = evhttp_uridecode(part.c_str(), 0, &length);
    std::string out(raw, length);
    std::free(raw); // NOLINT(cppcoreguidelines-no-malloc): libevent allocates with malloc
    return out;
}

std::vector<std::string> parts_of(const std::string &path)
{
    std::vector<std::string> out;
    std::istringstream in(path);
    std::string part;
    while (std::getline(in, part, '/'))
        out.push_back(decoded(part));
    return out;
}

/// Returns the name without the separator of a request id's parts.
std::string escaped(const std::string &name)
{
    std::string out;
    for (const char it : name) {
        if (it == '/')
            out += "%2F";
        else if (it == '%')
            out += "%25";
        else
            out += it;
    }
    return out;
}

/**
 * Returns a text that differs for every two pairs of caller and request id.
 *
 * The caller's name ends at the first slash; it is empty for the id of a request without a caller.
 */
std::string identity_of(const std::string &caller, const std::string &request_id)
{
    const bool has_separator = request_id.find('/') != std::string::npos;
    if (caller.empty() && !has_separator)
        return request_id;
    return escaped(caller) + '/' + request_id;
}

struct reason_status
{
    const char *reason;
    int status;
};
constexpr std::array<reason_status, 15> not_run_statuses{{{"unknown_database", 404},
                                                          {"unknown_class", 400},
                                                          {"unknown_statement", 400},
                                                          {"bad_arguments", 400},
                                                          {"deadline_passed", 408},
                                                          {"duplicate_key", 409},
                                                          {"transaction_unknown", 409},
                                                          {"transaction_rolled_back", 409},
                                                          {"no_transaction", 409},
                                                          {"queue_full", 429},
                                                          {"cannot_finish_in_time", 429},
                                                          {"shed_by_operator", 429},
                                                          {"entry_busy", 429},
                                                          {"caller_over_share", 429},
                                                          {"replicas_lag", 503}}};

int status_of(const inner::statement_answer &answer)
{
    constexpr int ok = 200;
    constexpr int unavailable = 503;
    constexpr int gateway_timeout = 504;
    if (answer.outcome == verdict::ran)
        return ok;
    if (answer.outcome == verdict::unknown)
        return gateway_timeout;
    const auto *const it = std::find_if(not_run_statuses.begin(), not_run_statuses.end(),
                                        [&](const auto &entry) { return answer.reason == entry.reason; });
    return it == not_run_statuses.end() ? unavailable : it->status;
}

} // namespace

bool caller_request_reader::refuse(int status, std::string reason, std::string detail)
{
    last_refusal_ = {status, std::move(reason), std::move(detail)};
    return false;
}

std::optional<inner::statement_request> caller_request_reader::read(const http::server_request &request)
{
    inner::statement_request out;
    if (!read_path(request.path, out))
        return std::nullopt;
    if (request.method != http::method_kind::post) {
        refuse(405, "wrong_method", "POST is the only method here");
        return std::nullopt;
    }
    if (!read_body(request.body, out))
        return std::nullopt;
    return out;
}

bool caller_request_reader::read_path(const std::string &path, inner::statement_request &out)
{
    if (!path.starts_with(path_prefix))
        return refuse(404, "unknown_path", "paths begin with " + path_prefix);
    const auto parts = parts_of(path.substr(path_prefix.size()));
    if (parts.size() < 2 || parts[0].empty() || parts[0].size() > max_name)
        return refuse(404, "unknown_path", "after the database: statements or transactions");
    out.database = parts[0];
    if (parts.size() == 2 && parts[1] == "statements")
        return true;
    if (parts.size() == 2 && parts[1] == "transactions") {
        out.step = transaction_step::begin;
        return true;
    }
    if (parts.size() == 4 && parts[1] == "transactions" && !parts[2].empty()) {
        out.transaction = parts[2];
        if (parts[3] == "statements")
            out.step = transaction_step::statement;
        else if (parts[3] == "commit")
            out.step = transaction_step::commit;
        else if (parts[3] == "rollback")
            out.step = transaction_step::rollback;
        if (out.step != transaction_step::none)
            return true;
    }
    return refuse(404, "unknown_path",
                  "allowed: statements, transactions, transactions/ID/statements|commit|rollback");
}

bool caller_request_reader::read_body(const std::string &body, inner::statement_request &out)
{
    support::field_error syntax;
    const auto object = support::parse_json_object(body, syntax);
    if (!object)
        return refuse(400, "bad_json", syntax.text());
    std::optional<support::field_error> error;
    support::json_fields fields(*object, "", error);
    const bool needs_statement =
        out.step == transaction_step::none || out.step == transaction_step::statement;
    fields.text("class", out.class_name, true);
    fields.text("statement", out.statement, needs_statement);
    fields.text("request_id", out.request_id, false);
    fields.text("caller", out.caller, false);
    fields.milliseconds("deadline_ms", out.time_left, {0, max_deadline_ms});
    const bool has_deadline = object->contains("deadline_ms");
    fields.object("arguments", [](support::json_fields &nested) { nested.mark_all_read(); });
    fields.finish();
    if (error)
        return refuse(400, "bad_field", error->text());
    if (has_deadline && out.time_left.count() == 0)
        return refuse(408, "deadline_passed", "deadline_ms: 0 leaves no time");
    if (out.request_id.size() > max_name || out.caller.size() > max_name || out.class_name.size() > max_name)
        return refuse(400, "bad_field", "names have at most " + std::to_string(max_name) + " bytes");
    const auto arguments = object->find("arguments");
    if (arguments != object->end() && support::is_nested_beyond(*arguments, max_argument_levels))
        return refuse(400, "bad_field",
                      "arguments have at most " + std::to_string(max_argument_levels) + " levels");
    out.arguments =
        arguments == object->end() ? "{}" : arguments->dump(-1, ' ', false, json::error_handler_t::replace);
    // A caller that gives its name has ids of its own, so that two callers may use the same request id.
    if (!out.request_id.empty())
        out.request_id = identity_of(out.caller, out.request_id);
    return true;
}

http::server_reply write_caller_answer(const inner::statement_answer &answer)
{
    json body{{"verdict", consistency::to_string(answer.outcome)}};
    if (!answer.reason.empty())
        body["reason"] = answer.reason;
    if (answer.outcome == verdict::ran) {
        body["rows"] = answer.rows.empty() ? json::array() : json::parse(answer.rows, nullptr, false);
        body["position"] = {{"term", answer.at.term}, {"offset", answer.at.offset}};
        body["served_by"] = answer.served_by;
        body["by_replica"] = answer.by_replica;
    }
    if (!answer.transaction.empty())
        body["transaction"] = answer.transaction;
    http::server_reply out;
    out.status = status_of(answer);
    if (answer.retry_after.count() > 0) {
        body["retry_after_ms"] = answer.retry_after.count();
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(answer.retry_after).count();
        out.headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    out.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return out;
}

http::server_reply write_caller_refusal(const refusal &why)
{
    http::server_reply out;
    out.status = why.status;
    out.body = json{{"verdict", "not_run"}, {"reason", why.reason}, {"detail", why.detail}}.dump(
        -1, ' ', false, json::error_handler_t::replace);
    return out;
}

} // namespace baobabport::entry
