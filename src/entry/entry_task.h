// An entry process: accepts callers' requests, updates their session tokens and forwards to the homes.

#pragma once

#include "admission/retry_budget.h"
#include "consistency/session_token.h"
#include "document/document_cache.h"
#include "entry/caller_request.h"
#include "http/http_server.h"
#include "http/operator_server.h"
#include "inner/pooler_links.h"
#include "inner/timer.h"
#include "routing/forward_decision.h"
#include "routing/home_selector.h"
#include "settings/process_settings.h"
#include "store/store_client.h"
#include "store/vm_list.h"
#include "support/metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace baobabport::entry {

/**
 * Serves callers. Keeps no state that another entry would need, since a session's token contains all of it.
 */
class entry_task
{
public:
    using stopped_hook = std::function<void()>;

    entry_task(event_base *base, settings::process_settings settings, stopped_hook stopped);
    entry_task(const entry_task &) = delete;
    entry_task &operator=(const entry_task &) = delete;
    ~entry_task() = default;

    /// Begins a planned stop: accepts no new connections, answers the requests in progress, then calls the
    /// stopped hook.
    void drain();

    [[nodiscard]] std::string dump() const;

private:
    using time_point = std::chrono::steady_clock::time_point;

    struct database_state
    {
        routing::ranked_database ranked;
        document::document_cache document;
        admission::retry_budget retries;
        std::uint32_t in_progress = 0;
        bool fetching_document = false;
    };

    /// A caller's request that is being forwarded.
    struct forwarding
    {
        inner::statement_request request;
        consistency::session_token token;
        std::shared_ptr<http::responder> answer;
        time_point arrived;
        time_point deadline;
        std::vector<std::string> tried;
        std::uint32_t tries = 0;
    };
    using forwarding_ptr = std::shared_ptr<forwarding>;

    void handle(const http::server_request &request, const std::shared_ptr<http::responder> &answer);
    [[nodiscard]] bool read_session(const http::server_request &request, forwarding &out);
    [[nodiscard]] bool admit(const inner::statement_request &request, database_state &state);
    void refuse(int status, std::string reason, std::string detail, http::responder &answer);
    void forward(const forwarding_ptr &it);
    [[nodiscard]] std::optional<routing::home_choice> choose(const forwarding &it, database_state &state,
                                                             time_point now);
    void handle_outcome(const forwarding_ptr &it, const routing::home_choice &home,
                        const inner::stream_outcome &outcome);
    void handle_failed_attempt(const forwarding_ptr &it, routing::attempt_end end);
    void finish(const forwarding_ptr &it, const inner::statement_answer &answer);
    void update_token(forwarding &it, const inner::statement_answer &answer) const;
    void fetch_newer_document(database_state &state, const routing::home_choice &home,
                              std::uint64_t revision);
    void check_stopped();
    [[nodiscard]] std::string metrics_text();

    event_base *base_;
    settings::process_settings settings_;
    stopped_hook stopped_;
    consistency::token_codec tokens_;
    caller_request_reader reader_;
    store::store_client store_;
    inner::pooler_links links_;
    routing::home_selector selector_;
    std::map<std::string, database_state> databases_;
    std::map<std::string, std::string> pooler_of_vm_; ///< by VM number as text; finds a transaction's pooler
    support::metrics metrics_;
    std::unique_ptr<store::vm_list_task> vm_list_task_;
    std::unique_ptr<http::http_server> callers_;
    std::unique_ptr<http::operator_server> operators_;
    inner::timer stop_timer_;
    std::uint32_t in_progress_ = 0;
    bool draining_ = false;
    time_point drain_began_;
};

} // namespace baobabport::entry
