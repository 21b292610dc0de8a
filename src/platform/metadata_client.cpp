// HTTP requests to the store, with a small pool of connections.

#include "platform/metadata_client.h"

#include "support/boot_clock.h"
#include "support/json_log.h"
#include "support/keys.h"

#include <algorithm>
#include <charconv>
#include <event2/http.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace baobabport::platform {

using nlohmann::json;

namespace {

constexpr const char *era_header = "Store-Era";
constexpr std::uint64_t max_era = 0x7fffffff; // the high half of a generation number
constexpr std::size_t max_idle = 4;
constexpr std::chrono::milliseconds watch_grace_period{700}; ///< added to the time-out of a watch

std::string escaped(const std::string &text)
{
    char *const raw = evhttp_encode_uri(text.c_str());
    std::string out(raw);
    std::free(raw); // NOLINT(cppcoreguidelines-no-malloc): libevent allocates with malloc
    return out;
}

stored_item read_item(const json &fields)
{
    stored_item out;
    out.key = fields.at("key").get<std::string>();
    out.revision = fields.at("revision").get<std::uint64_t>();
    out.removed = fields.value("tombstone", false);
    if (out.removed)
        return out;
    // An invalid value is left empty: the reader of the list then reports this item and uses the others.
    const auto value = fields.find("value");
    if (value != fields.end() && value->is_string())
        out.value = support::from_base64(value->get<std::string>()).value_or("");
    out.lease = fields.value("lease_id", std::uint64_t{0});
    return out;
}

void read_body(const json &body, store_reply &out)
{
    for (const auto *const name : {"items", "events"}) {
        if (!body.contains(name))
            continue;
        for (const auto &it : body.at(name))
            out.items.push_back(read_item(it));
    }
    if (body.contains("key"))
        out.items.push_back(read_item(body));
    out.more = body.value("has_more", false);
    // A change answers with `revision`; reads carry the store's own revision in `as_of`.
    out.revision = body.value("as_of", body.value("revision", std::uint64_t{0}));
    out.lease = body.value("lease_id", std::uint64_t{0});
    out.lease_time = std::chrono::milliseconds(body.value("ttl_ms", std::int64_t{0}));
}

call_outcome outcome_of(int status)
{
    switch (status) {
    case 200:
        return call_outcome::done;
    case 404:
        return call_outcome::missing;
    case 412:
        return call_outcome::conflict;
    case 410:
        return call_outcome::history_gone;
    default:
        return call_outcome::refused;
    }
}

} // namespace

store_reply read_reply(const http::client_answer &answer)
{
    store_reply out;
    if (answer.failure != http::client_failure::none) {
        out.reason = answer.failure == http::client_failure::timed_out ? "timed out" : "connection broken";
        return out;
    }
    out.outcome = outcome_of(answer.status);
    if (out.outcome != call_outcome::done)
        out.reason = "status " + std::to_string(answer.status);
    if (out.outcome != call_outcome::done && out.outcome != call_outcome::conflict)
        return out;
    try {
        read_body(json::parse(answer.body), out);
    } catch (const std::exception &ec) {
        out.outcome = call_outcome::no_answer;
        out.reason = std::string("unreadable answer: ") + ec.what();
    }
    return out;
}

std::optional<store_era> read_store_era(const http::client_answer &answer)
{
    const auto text = answer.captured_header(era_header);
    if (!text)
        return std::nullopt;
    store_era out;
    const auto *const end = text->data() + text->size();
    const auto [rest, ec] = std::from_chars(text->data(), end, out.number);
    if (ec != std::errc() || rest != end || out.number > max_era)
        return std::nullopt;
    return out;
}

http::client_request read_call(const std::string &key, std::chrono::milliseconds timeout)
{
    return {http::method_kind::get, "/api/kv-key?key=" + escaped(key), {}, {}, timeout};
}

http::client_request change_call(const key_change &what, std::chrono::milliseconds timeout)
{
    json body{{"precondition", json::array()}, {"writes", json::array()}, {"remove", what.removals}};
    for (const auto &it : what.conditions)
        body["precondition"].push_back({{"key", it.key}, {"revision", it.revision}});
    for (const auto &it : what.writes) {
        body["writes"].push_back(
            {{"key", it.key}, {"value", support::to_base64(it.value)}, {"lease_id", it.lease}});
    }
    return {http::method_kind::post, "/api/kv-txn", body.dump(), {}, timeout};
}

class metadata_client::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(event_base *base, support::address at) : base_(base), at_(std::move(at)) {}

    /// `waits`: the call is a watch, which the store may answer late.
    void send(http::client_request request, reply_hook done, bool waits = false)
    {
        request.captured_headers = {era_header};
        ++calls_;
        const auto sent_at = support::boot_clock::now();
        if (!waits) {
            last_call_at_ = sent_at;
            unanswered_since_ = unanswered_since_.value_or(sent_at);
        }
        std::shared_ptr<http::http_client> client;
        if (idle_.empty()) {
            client = std::make_shared<http::http_client>(base_, at_);
        } else {
            client = std::move(idle_.back());
            idle_.pop_back();
        }
        auto *const raw = client.get();
        raw->send(request, [self = weak_from_this(), client, sent_at, address_changes = address_changes_,
                            done = std::move(done)](const auto &answer) {
            const auto me = self.lock();
            if (!me)
                return;
            if (answer.failure == http::client_failure::none && me->idle_.size() < max_idle &&
                address_changes == me->address_changes_)
                me->idle_.push_back(client);
            auto reply = read_reply(answer);
            me->follow_era(answer, reply);
            me->record_reply(reply, sent_at);
            done(reply);
        });
    }

    void set_address(const support::address &at)
    {
        at_ = at;
        idle_.clear();
        ++address_changes_;
    }

    void on_new_era(std::function<void()> hook) { new_era_ = std::move(hook); }
    [[nodiscard]] store_era era() const { return era_; }
    [[nodiscard]] std::uint64_t malformed_eras() const { return malformed_eras_; }

    [[nodiscard]] std::uint64_t calls() const { return calls_; }
    [[nodiscard]] std::chrono::steady_clock::time_point last_served_call_at() const
    {
        return last_served_call_at_;
    }
    [[nodiscard]] std::chrono::steady_clock::time_point last_call_at() const { return last_call_at_; }

    [[nodiscard]] std::chrono::milliseconds unanswered_for(std::chrono::steady_clock::time_point now) const
    {
        if (!unanswered_since_ || now - last_call_at_ > metadata_client::max_attempt_age)
            return std::chrono::milliseconds(0);
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - *unanswered_since_);
    }

private:
    /// Sets the reply's era, and records it if it is new.
    void follow_era(const http::client_answer &answer, store_reply &reply)
    {
        reply.era = era_;
        if (answer.failure != http::client_failure::none)
            return;
        const auto named = read_store_era(answer);
        if (!named) {
            if (answer.captured_header(era_header) && malformed_eras_++ == 0)
                support::log_warning("store_era_malformed", {{"value", *answer.captured_header(era_header)}});
            return;
        }
        reply.era = *named;
        if (*named < era_) {
            reply.outcome = call_outcome::no_answer;
            reply.reason = "the answer is of an earlier era of the store";
            return;
        }
        const auto before = std::exchange(era_, *named);
        const bool was_known = std::exchange(era_known_, true);
        if (!was_known || before == era_)
            return;
        support::log_warning("store_era_changed", {{"before", std::to_string(before.number)},
                                                   {"era", std::to_string(era_.number)}});
        if (new_era_)
            new_era_();
    }

    void record_reply(const store_reply &reply, std::chrono::steady_clock::time_point sent_at)
    {
        if (reply.outcome != call_outcome::no_answer && reply.outcome != call_outcome::refused) {
            last_served_call_at_ = std::max(last_served_call_at_, sent_at);
            unanswered_since_.reset();
        } else if (!unanswered_since_) {
            unanswered_since_ = support::boot_clock::now();
        }
    }

    event_base *base_;
    support::address at_;
    std::vector<std::shared_ptr<http::http_client>> idle_;
    std::uint64_t calls_ = 0;
    store_era era_;          ///< never decreases
    bool era_known_ = false; ///< the store has named one
    std::uint64_t malformed_eras_ = 0;
    std::function<void()> new_era_;
    std::uint64_t address_changes_ = 0; ///< connections opened before the last change are not reused
    std::chrono::steady_clock::time_point last_served_call_at_;
    std::chrono::steady_clock::time_point last_call_at_; ///< without watches
    /// Time at which the first unanswered call after the last served one was sent.
    std::optional<std::chrono::steady_clock::time_point> unanswered_since_;
};

metadata_client::metadata_client(event_base *base, support::address at)
    : impl_(std::make_shared<impl>(base, std::move(at)))
{
}

metadata_client::~metadata_client() = default;

void metadata_client::read(const std::string &key, std::chrono::milliseconds timeout, reply_hook done)
{
    impl_->send(read_call(key, timeout), std::move(done));
}

void metadata_client::read_stale(const std::string &key, std::chrono::milliseconds timeout, reply_hook done)
{
    auto call = read_call(key, timeout);
    call.path += "&allow_stale=1";
    impl_->send(call, std::move(done));
}

void metadata_client::list(const std::string &prefix, const std::string &after,
                           std::chrono::milliseconds timeout, reply_hook done)
{
    auto path = "/api/kv-range?prefix=" + escaped(prefix);
    if (!after.empty())
        path += "&after=" + escaped(after);
    impl_->send({http::method_kind::get, path, {}, {}, timeout}, std::move(done));
}

void metadata_client::watch(const std::string &prefix, store_position after, std::chrono::milliseconds wait,
                            reply_hook done)
{
    if (after.era < impl_->era())
        wait = {}; // the answer only shows that the era is another one
    const auto path = "/api/kv-watch?prefix=" + escaped(prefix) + "&after=" + std::to_string(after.revision) +
                      "&wait_ms=" + std::to_string(wait.count());
    const auto check_era = [after, done = std::move(done)](const store_reply &reply) {
        if (reply.outcome != call_outcome::done || reply.era == after.era)
            return done(reply);
        store_reply out;
        out.outcome = call_outcome::history_gone;
        out.reason = "the position is of an earlier era of the store";
        out.era = reply.era;
        done(out);
    };
    impl_->send({http::method_kind::get, path, {}, {}, wait + watch_grace_period}, check_era, true);
}

void metadata_client::change(const key_change &what, std::chrono::milliseconds timeout, reply_hook done)
{
    impl_->send(change_call(what, timeout), std::move(done));
}

void metadata_client::open_lease(std::chrono::milliseconds time, std::chrono::milliseconds timeout,
                                 reply_hook done)
{
    const json body{{"ttl_ms", time.count()}};
    impl_->send({http::method_kind::post, "/api/kv-lease", body.dump(), {}, timeout}, std::move(done));
}

void metadata_client::renew_lease(std::uint64_t lease, std::chrono::milliseconds timeout, reply_hook done)
{
    const auto path = "/api/kv-keep/" + std::to_string(lease);
    impl_->send({http::method_kind::post, path, "{}", {}, timeout}, std::move(done));
}

void metadata_client::end_lease(std::uint64_t lease, std::chrono::milliseconds timeout, reply_hook done)
{
    const auto path = "/api/kv-lease-end/" + std::to_string(lease);
    impl_->send({http::method_kind::remove, path, {}, {}, timeout}, std::move(done));
}

std::chrono::steady_clock::time_point metadata_client::last_served_call_at() const
{
    return impl_->last_served_call_at();
}

std::chrono::milliseconds metadata_client::unanswered_for(std::chrono::steady_clock::time_point now) const
{
    return impl_->unanswered_for(now);
}

std::chrono::steady_clock::time_point metadata_client::last_call_at() const
{
    return impl_->last_call_at();
}

void metadata_client::on_new_era(std::function<void()> hook)
{
    impl_->on_new_era(std::move(hook));
}

store_era metadata_client::era() const
{
    return impl_->era();
}

std::uint64_t metadata_client::malformed_eras() const
{
    return impl_->malformed_eras();
}

void metadata_client::set_address(const support::address &at)
{
    impl_->set_address(at);
}

std::uint64_t metadata_client::calls() const
{
    return impl_->calls();
}

} // namespace baobabport::platform
