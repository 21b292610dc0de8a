// Stand-in for the platform's key-value service and its promotion call; runs inside a test process.

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
#include <nlohmann/json_fwd.hpp>
#include <string>

struct event_base;

namespace standin {

/// Faults of the whole service. They do not affect promotion calls, apart from `delay`.
struct kv_faults
{
    bool refuses = false;               ///< answers 503 to every call
    bool unresponsive = false;          ///< answers no call
    bool history_gone = false;          ///< answers 410 to the next watch
    std::chrono::milliseconds delay{0}; ///< waits this long before it serves a call
    int lose_answers = 0;               ///< number of next changes that take effect without an answer
};

/// Faults of one address of the service. They do not affect promotion calls.
struct endpoint_faults
{
    bool refuses = false;            ///< answers 503 to every call
    bool unresponsive = false;       ///< answers no call
    bool closes_connections = false; ///< closes the connection on which a call arrives
};

/// A listening address of the service, with its own faults.
struct kv_endpoint
{
    baobabport::support::address at;
    endpoint_faults faults;
    std::unique_ptr<baobabport::http::http_server> server;
};

/**
 * Serves keys with revisions, leases and watches over HTTP. `POST /control` sets the faults `down` (answers
 * no call), `refuses`, `delay_ms` and `lose_answers`.
 */
class kv_service
{
public:
    /// Handles a promotion order and returns the HTTP status of the answer.
    using promote_hook = std::function<int(const baobabport::platform::promotion_order &)>;

    kv_service(event_base *base, const baobabport::support::address &at, promote_hook promote);

    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    [[nodiscard]] const baobabport::support::address &address() const { return endpoints_.front().at; }
    [[nodiscard]] bool has(const std::string &key) const { return items_.count(key) > 0; }
    [[nodiscard]] std::string value(const std::string &key) const { return items_.at(key).value; }

    /// Ends all leases and removes their keys, as after an outage longer than the leases.
    void expire_leases();

    /// The state of the service at some time.
    struct copy;
    [[nodiscard]] std::shared_ptr<const copy> take_copy() const;

    /// Comes back from a copy in a new era. Waiting watches are refused; leases begin anew.
    void come_back_from(const copy &from);

    /**
     * Removes a VM's leased keys before their lease ends; the field `vm` of a key's value names the VM.
     * Returns false if there were none. With `keep_leases`, the leases themselves stay and can be renewed.
     */
    bool remove_leased_keys(const std::string &vm, bool keep_leases = false);

    /// Listens on one more address; its faults affect only the calls that arrive there.
    kv_endpoint &add_endpoint(const baobabport::support::address &at);
    /// Returns the endpoint of the service's first address.
    [[nodiscard]] kv_endpoint &main_endpoint() { return endpoints_.front(); }
    [[nodiscard]] std::list<kv_endpoint> &endpoints() { return endpoints_; }

    /// Called for each call with its path and its `wait_ms` parameter.
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
    void reply(const responder &to, int status, const nlohmann::json &body) const;
    void start_lease(std::uint64_t number, std::chrono::milliseconds time);
    void record_event(const std::string &key);
    void answer_watches();
    [[nodiscard]] nlohmann::json events(const std::string &prefix, std::uint64_t after, bool &any) const;
    [[nodiscard]] std::string item_text(const std::string &key) const;

    event_base *base_;
    promote_hook promote_;
    std::map<std::string, item> items_;
    std::list<event_record> history_;
    std::list<waiting_watch> watches_;
    std::list<responder> unanswered_;
    std::list<std::unique_ptr<baobabport::inner::timer>> delayed_;
    std::uint64_t era_ = 0;
    std::uint64_t revision_ = 100;
    std::uint64_t last_lease_ = 0;
    struct lease
    {
        std::chrono::milliseconds time{0};
        std::unique_ptr<baobabport::inner::timer> end;
    };
    std::map<std::uint64_t, lease> leases_;
    std::list<kv_endpoint>
        endpoints_; ///< never empty; the first one has the address given to the constructor
};

struct kv_service::copy
{
    std::map<std::string, item> items;
    std::list<event_record> history;
    std::uint64_t revision = 0;
    std::uint64_t last_lease = 0;
    std::map<std::uint64_t, std::chrono::milliseconds> leases;
};

} // namespace standin
