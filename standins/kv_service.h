// The platform's key-value service and its call to promote, in the process of a test.

#pragma once

#include "http/http_server.h"
#include "inner/timer.h"
#include "platform/promotion_client.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

struct event_base;

namespace standin {

/// What is wrong with the service; the call to promote works all the while.
struct kv_faults
{
    bool refuses = false;               ///< answers 503 to every call
    bool unresponsive = false;          ///< answers nothing
    bool history_gone = false;          ///< the next watch gets 410
    std::chrono::milliseconds delay{0}; ///< before each call is served
    int lose_answers = 0;               ///< the next changes take effect and are not answered
};

/// What is wrong at one address of the service; the call to promote works all the while.
struct endpoint_faults
{
    bool refuses = false;            ///< answers 503 to every call
    bool unresponsive = false;       ///< answers nothing
    bool closes_connections = false; ///< closes the connection of each call
};

/// An address of the service with faults of its own.
struct kv_endpoint
{
    baobabport::support::address at;
    endpoint_faults faults;
    std::unique_ptr<baobabport::http::http_server> server;
};

/**
 * Keys with revisions, leases and watches over HTTP. `POST /control` sets faults: `down` (no answers),
 * `refuses`, `delay_ms` and `lose_answers`.
 */
class kv_service
{
public:
    /// Takes an order to promote and returns the status.
    using promote_hook = std::function<int(const baobabport::platform::promotion_order &)>;

    kv_service(event_base *base, const baobabport::support::address &at, promote_hook promote);

    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    [[nodiscard]] const baobabport::support::address &address() const { return endpoints_.front().at; }
    [[nodiscard]] bool has(const std::string &key) const { return items_.count(key) > 0; }
    [[nodiscard]] std::string value(const std::string &key) const { return items_.at(key).value; }

    /// Ends all leases, as an outage does that lets them run out.
    void expire_leases();

    /**
     * Takes away what a VM keeps under a lease, before the lease's time; a key's value names its VM. Returns
     * false if there was nothing. `keep_leases`: the lease itself stays.
     */
    bool remove_leased_keys(const std::string &vm, bool keep_leases = false);

    /// Listens on one more address, whose callers alone meet its faults.
    kv_endpoint &add_endpoint(const baobabport::support::address &at);
    /// Returns the service's own address as a door.
    [[nodiscard]] kv_endpoint &main_endpoint() { return endpoints_.front(); }
    [[nodiscard]] std::list<kv_endpoint> &endpoints() { return endpoints_; }

    /// Called with the path of each call and the time that it may wait.
    std::function<void(const std::string &path, const std::string &wait_ms)> on_call;

    kv_faults faults;
    std::uint64_t calls = 0;

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
    };
    struct event_record
    {
        std::string key;
        std::uint64_t revision = 0;
    };
    struct waiting_watch
    {
        std::string prefix;
        std::uint64_t after = 0;
        std::shared_ptr<baobabport::http::responder> answer;
        std::unique_ptr<baobabport::inner::timer> wait_timer;
    };
    using request = baobabport::http::server_request;
    using responder = std::shared_ptr<baobabport::http::responder>;

    void handle_call(kv_endpoint &endpoint, const request &req, const responder &answer);
    void serve(const request &req, const responder &answer);
    void control(const request &req, const responder &answer);
    void list(const request &req, const responder &answer);
    void watch(const request &req, const responder &answer);
    void change(const request &req, const responder &answer);
    void promote(const request &req, const responder &answer);
    void grant_lease(const request &req, const responder &answer);
    void expire_lease(std::uint64_t number);
    void remove_keys(std::uint64_t lease);
    void record_event(const std::string &key);
    void answer_watches();
    [[nodiscard]] std::string events(const std::string &prefix, std::uint64_t after, bool &any) const;
    [[nodiscard]] std::string item_text(const std::string &key) const;

    event_base *base_;
    promote_hook promote_;
    std::map<std::string, item> items_;
    std::list<event_record> history_;
    std::list<waiting_watch> watches_;
    std::list<responder> unanswered_;
    std::list<std::unique_ptr<baobabport::inner::timer>> delayed_;
    std::uint64_t revision_ = 100;
    std::uint64_t last_lease_ = 0;
    struct lease
    {
        std::chrono::milliseconds time{0};
        std::unique_ptr<baobabport::inner::timer> end;
    };
    std::map<std::uint64_t, lease> leases_;
    std::list<kv_endpoint> endpoints_; ///< the first one is the service's own address
};

} // namespace standin
