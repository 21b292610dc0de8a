#include "store/store_client.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace baobabport::store {

namespace {

constexpr std::size_t max_idle = 4;
constexpr std::chrono::milliseconds watch_slack{2000};

store_answer read_answer(const http::client_answer &answer)
{
    store_answer out;
    if (answer.failure != http::client_failure::none)
        return out;
    switch (answer.status) {
    case 204:
        out.outcome = store_outcome::unchanged;
        return out;
    case 404:
        out.outcome = store_outcome::no_such_key;
        return out;
    case 409:
        out.outcome = store_outcome::other_revision;
        return out;
    case 200:
        break;
    default:
        return out;
    }
    try {
        const auto body = nlohmann::json::parse(answer.body);
        out.revision = body.at("revision").get<std::uint64_t>();
        out.value = body.value("value", "");
        out.outcome = store_outcome::done;
    } catch (const nlohmann::json::exception &) {
        out.outcome = store_outcome::unknown;
    }
    return out;
}

} // namespace

class store_client::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(event_base *base, support::address at, std::string process)
        : base_(base), at_(std::move(at)), process_(std::move(process))
    {
    }

    void send(http::client_request request, answer_hook done)
    {
        ++calls_;
        request.headers.push_back({"User-Agent", process_});
        std::shared_ptr<http::http_client> client;
        if (idle_.empty()) {
            client = std::make_shared<http::http_client>(base_, at_);
        } else {
            client = std::move(idle_.back());
            idle_.pop_back();
        }
        auto *const raw = client.get();
        raw->send(request, [self = weak_from_this(), client, done = std::move(done)](const auto &answer) {
            const auto me = self.lock();
            if (!me)
                return;
            me->healthy_ = answer.failure == http::client_failure::none;
            if (me->healthy_ && me->idle_.size() < max_idle)
                me->idle_.push_back(client);
            done(read_answer(answer));
        });
    }

    [[nodiscard]] std::uint64_t calls() const { return calls_; }
    [[nodiscard]] bool healthy() const { return healthy_; }

private:
    event_base *base_;
    support::address at_;
    std::string process_;
    std::vector<std::shared_ptr<http::http_client>> idle_;
    std::uint64_t calls_ = 0;
    bool healthy_ = true;
};

store_client::store_client(event_base *base, support::address at, std::string process)
    : impl_(std::make_shared<impl>(base, std::move(at), std::move(process)))
{
}

store_client::~store_client() = default;

void store_client::read(const std::string &key, std::chrono::milliseconds timeout, answer_hook done)
{
    impl_->send({http::method_kind::get, "/v1/keys/" + key, {}, {}, timeout}, std::move(done));
}

void store_client::watch(const std::string &key, std::uint64_t after, std::chrono::milliseconds wait,
                         answer_hook done)
{
    const auto path =
        "/v1/keys/" + key + "?after=" + std::to_string(after) + "&wait_ms=" + std::to_string(wait.count());
    impl_->send({http::method_kind::get, path, {}, {}, wait + watch_slack}, std::move(done));
}

void store_client::compare_and_swap(const std::string &key, std::uint64_t expected, std::string value,
                                    std::chrono::milliseconds timeout, answer_hook done)
{
    const auto path = "/v1/keys/" + key + "?expected=" + std::to_string(expected);
    impl_->send({http::method_kind::put, path, std::move(value), {}, timeout}, std::move(done));
}

std::uint64_t store_client::calls() const
{
    return impl_->calls();
}
bool store_client::healthy() const
{
    return impl_->healthy();
}

} // namespace baobabport::store
