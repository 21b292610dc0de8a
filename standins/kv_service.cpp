#include "kv_service.h"

#include "support/keys.h"

#include <algorithm>
#include <cstdlib>
#include <event2/http.h>
#include <nlohmann/json.hpp>
#include <set>

namespace standin {

using namespace baobabport;
using nlohmann::json;

namespace {

std::string decoded(const std::string &text)
{
    std::size_t length = 0;
    char *const raw = evhttp_uridecode(text.c_str(), 1, &length);
    std::string out(raw, length);
    std::free(raw); // NOLINT(cppcoreguidelines-no-malloc): libevent allocates with malloc
    return out;
}

constexpr const char *leader_header = "X-Lease-Holder";
constexpr const char *generation_header = "X-Fencing-Token";
constexpr const char *era_header = "Store-Era";

constexpr std::size_t max_body = std::size_t{4} * 1024 * 1024;

} // namespace

kv_service::kv_service(event_base *base, const support::address &at, promote_hook promote)
    : base_(base), promote_(std::move(promote))
{
    add_endpoint(at);
}

kv_endpoint &kv_service::add_endpoint(const support::address &at)
{
    auto &out = endpoints_.emplace_back();
    out.at = at;
    out.server = std::make_unique<http::http_server>(
        base_, at, max_body,
        [this, &out](const auto &req, const auto &answer) { handle_call(out, req, answer); });
    out.server->capture_headers({leader_header, generation_header});
    return out;
}

void kv_service::reply(const responder &to, int status, const json &body) const
{
    to->send({status, body.dump(), {{era_header, std::to_string(era_)}}});
}

void kv_service::put(const std::string &key, const std::string &value)
{
    items_[key] = {value, ++revision_, 0};
    record_event(key);
    answer_watches();
}

void kv_service::remove(const std::string &key)
{
    if (items_.erase(key) == 0)
        return;
    ++revision_;
    record_event(key);
    answer_watches();
}

void kv_service::expire_leases()
{
    while (!leases_.empty())
        expire_lease(leases_.begin()->first);
}

void kv_service::grant_lease(const request &req, const responder &answer)
{
    const auto number = ++last_lease_;
    const std::chrono::milliseconds time(json::parse(req.body).at("ttl_ms").get<std::int64_t>());
    start_lease(number, time);
    reply(answer, 200, {{"lease_id", number}, {"ttl_ms", time.count()}});
}

void kv_service::start_lease(std::uint64_t number, std::chrono::milliseconds time)
{
    auto &it = leases_[number];
    it.time = time;
    it.end = std::make_unique<inner::timer>(base_, [this, number] { expire_lease(number); });
    it.end->start(time);
}

std::shared_ptr<const kv_service::copy> kv_service::take_copy() const
{
    auto out = std::make_shared<copy>();
    out->items = items_;
    out->history = history_;
    out->revision = revision_;
    out->last_lease = last_lease_;
    for (const auto &[number, it] : leases_)
        out->leases[number] = it.time;
    return out;
}

void kv_service::come_back_from(const copy &from)
{
    for (const auto &it : watches_)
        reply(it.answer, 503, json::object());
    watches_.clear();
    ++era_;
    items_ = from.items;
    history_ = from.history;
    revision_ = from.revision;
    last_lease_ = from.last_lease;
    leases_.clear();
    for (const auto &[number, time] : from.leases)
        start_lease(number, time);
}

void kv_service::expire_lease(std::uint64_t number)
{
    leases_.erase(number);
    remove_keys(number);
}

void kv_service::remove_keys(std::uint64_t lease)
{
    std::vector<std::string> expired_keys;
    for (const auto &it : items_) {
        if (it.second.lease == lease)
            expired_keys.push_back(it.first);
    }
    for (const auto &it : expired_keys)
        remove(it);
}

bool kv_service::remove_leased_keys(const std::string &vm, bool keep_leases)
{
    std::set<std::uint64_t> leases;
    for (const auto &it : items_) {
        const auto fields = json::parse(it.second.value, nullptr, false);
        if (it.second.lease != 0 && fields.is_object() && fields.value("vm", "") == vm)
            leases.insert(it.second.lease);
    }
    for (const auto it : leases) {
        if (!keep_leases)
            leases_.erase(it);
        remove_keys(it);
    }
    return !leases.empty();
}

void kv_service::handle_call(kv_endpoint &endpoint, const request &req, const responder &answer)
{
    if (req.path == "/control")
        return control(req, answer);
    if (req.path != "/promote") {
        if (endpoint.faults.closes_connections)
            return endpoint.server->abort_connection(req.connection);
        if (endpoint.faults.unresponsive) {
            unanswered_.push_back(answer);
            return;
        }
        if (endpoint.faults.refuses)
            return reply(answer, 503, json::object());
    }
    if (faults.delay.count() == 0)
        return serve(req, answer);
    const auto it = delayed_.emplace(delayed_.end());
    *it = std::make_unique<inner::timer>(base_, [this, it, req, answer] {
        delayed_.erase(it);
        serve(req, answer);
    });
    (*it)->start(faults.delay);
}

void kv_service::control(const request &req, const responder &answer)
{
    const auto requested = json::parse(req.body.empty() ? "{}" : req.body, nullptr, false);
    if (!requested.is_object())
        return reply(answer, 400, {{"error", "not an object"}});
    faults.unresponsive = requested.value("down", faults.unresponsive);
    faults.refuses = requested.value("refuses", faults.refuses);
    faults.delay = std::chrono::milliseconds(requested.value("delay_ms", faults.delay.count()));
    faults.lose_answers = requested.value("lose_answers", faults.lose_answers);
    if (faults.unresponsive) {
        for (auto &it : watches_)
            unanswered_.push_back(it.answer);
        watches_.clear();
    }
    reply(answer, 200, {{"calls", calls}, {"watches", watches_.size()}});
}

void kv_service::serve(const request &req, const responder &answer)
{
    ++calls;
    if (on_call)
        on_call(req.path, req.query_value("wait_ms"));
    if (req.path == "/promote")
        return promote(req, answer);
    if (faults.unresponsive) {
        unanswered_.push_back(answer);
        return;
    }
    if (faults.refuses)
        return reply(answer, 503, json::object());
    const auto &path = req.path;
    if (path == "/api/kv-key") {
        const auto key = decoded(req.query_value("key"));
        if (!has(key))
            return reply(answer, 404, json::object());
        auto body = json::parse(item_text(key));
        body["as_of"] = revision_;
        return reply(answer, 200, body);
    }
    if (path == "/api/kv-range")
        return list(req, answer);
    if (path == "/api/kv-watch")
        return watch(req, answer);
    if (path == "/api/kv-txn")
        return change(req, answer);
    if (path == "/api/kv-lease")
        return grant_lease(req, answer);
    const std::string renewal = "/api/kv-keep/";
    if (path.starts_with(renewal)) {
        const auto it = leases_.find(std::stoull(path.substr(renewal.size())));
        if (it == leases_.end())
            return reply(answer, 404, json::object());
        it->second.end->start(it->second.time);
        return reply(answer, 200, {{"ttl_ms", it->second.time.count()}});
    }
    reply(answer, 404, json::object());
}

void kv_service::list(const request &req, const responder &answer)
{
    const auto prefix = decoded(req.query_value("prefix"));
    json items = json::array();
    for (const auto &it : items_) {
        if (it.first.starts_with(prefix))
            items.push_back(json::parse(item_text(it.first)));
    }
    reply(answer, 200, {{"items", items}, {"has_more", false}, {"as_of", revision_}});
}

void kv_service::watch(const request &req, const responder &answer)
{
    if (std::exchange(faults.history_gone, false) ||
        std::stoull(req.query_value("after")) > revision_) // of an era that is over
        return reply(answer, 410, json::object());
    waiting_watch it{decoded(req.query_value("prefix")), std::stoull(req.query_value("after")), answer,
                     nullptr};
    bool any = false;
    const auto body = events(it.prefix, it.after, any);
    if (any) {
        reply(answer, 200, body);
        return;
    }
    const auto wait = std::chrono::milliseconds(std::stoll(req.query_value("wait_ms")));
    watches_.push_back(std::move(it));
    auto &waiting = watches_.back();
    waiting.wait_timer = std::make_unique<inner::timer>(base_, [this, &waiting] {
        bool found = false;
        reply(waiting.answer, 200, events(waiting.prefix, waiting.after, found));
        watches_.remove_if([&waiting](const auto &other) { return &other == &waiting; });
    });
    waiting.wait_timer->start(wait);
}

void kv_service::change(const request &req, const responder &answer)
{
    const auto body = json::parse(req.body);
    json state = json::array();
    bool all_match = true;
    for (const auto &it : body.at("precondition")) {
        const auto key = it.at("key").get<std::string>();
        const auto current_revision = has(key) ? items_.at(key).revision : 0;
        all_match = all_match && current_revision == it.at("revision").get<std::uint64_t>();
        if (has(key))
            state.push_back(json::parse(item_text(key)));
    }
    if (!all_match)
        return reply(answer, 412, {{"items", state}});
    for (const auto &it : body.at("writes")) {
        const auto lease = it.value("lease_id", std::uint64_t{0});
        if (lease != 0 && !leases_.count(lease))
            return reply(answer, 404, json::object());
    }
    ++revision_;
    for (const auto &it : body.at("writes")) {
        const auto key = it.at("key").get<std::string>();
        const auto value = support::from_base64(it.at("value").get<std::string>());
        items_[key] = {value.value_or(""), revision_, it.value("lease_id", std::uint64_t{0})};
        record_event(key);
    }
    for (const auto &it : body.at("remove")) {
        items_.erase(it.get<std::string>());
        record_event(it.get<std::string>());
    }
    if (faults.lose_answers > 0) {
        --faults.lose_answers;
        unanswered_.push_back(answer);
    } else {
        reply(answer, 200, {{"revision", revision_}});
    }
    answer_watches();
}

void kv_service::promote(const request &req, const responder &answer)
{
    const auto body = json::parse(req.body);
    platform::promotion_order order{body.at("backend"), body.at("id"), req.captured_header(leader_header), 0};
    const auto generation = req.captured_header(generation_header);
    order.generation = generation.empty() ? 0 : std::stoull(generation);
    reply(answer, promote_(order), json::object());
}

void kv_service::record_event(const std::string &key)
{
    history_.push_back({key, revision_});
}

void kv_service::answer_watches()
{
    for (auto it = watches_.begin(); it != watches_.end();) {
        bool any = false;
        const auto body = events(it->prefix, it->after, any);
        if (any)
            reply(it->answer, 200, body);
        it = any ? watches_.erase(it) : std::next(it);
    }
}

json kv_service::events(const std::string &prefix, std::uint64_t after, bool &any) const
{
    json out = json::array();
    for (const auto &it : history_) {
        if (it.revision <= after || !it.key.starts_with(prefix))
            continue;
        any = true;
        if (has(it.key))
            out.push_back(json::parse(item_text(it.key)));
        else
            out.push_back({{"key", it.key}, {"revision", it.revision}, {"tombstone", true}});
    }
    return {{"events", out}, {"as_of", revision_}};
}

std::string kv_service::item_text(const std::string &key) const
{
    const auto &it = items_.at(key);
    return json{{"key", key},
                {"value", support::to_base64(it.value)},
                {"revision", it.revision},
                {"created_at", it.revision},
                {"lease_id", it.lease}}
        .dump();
}

} // namespace standin
