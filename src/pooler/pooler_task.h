// A pooler process: the homes of its databases behind one listener for the system's own processes.

#pragma once

#include "http/operator_server.h"
#include "inner/pooler_links.h"
#include "inner/stream_connection.h"
#include "inner/timer.h"
#include "pooler/document_task.h"
#include "pooler/home_task.h"
#include "routing/home_ranking.h"
#include "settings/process_settings.h"
#include "store/store_client.h"
#include "store/vm_list.h"
#include "support/metrics.h"
#include "support/socket_options.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace baobabport::pooler {

/**
 * Receives requests from entries and passes each to its database's home, which is started by the first
 * request.
 */
class pooler_task
{
public:
    using stopped_hook = std::function<void()>;

    pooler_task(event_base *base, settings::process_settings settings, stopped_hook stopped);
    ~pooler_task();
    pooler_task(const pooler_task &) = delete;
    pooler_task &operator=(const pooler_task &) = delete;

    /// Begins a planned stop: accepts nothing new, finishes what is in progress, then calls the stopped hook.
    void drain();

    [[nodiscard]] std::string dump() const;

private:
    using time_point = std::chrono::steady_clock::time_point;

    struct origin
    {
        std::uint64_t connection = 0;
        inner::stream_connection::stream_id stream = 0;
        std::string class_name;
        time_point arrived;
    };
    struct waiting_request
    {
        home::request_key key = 0;
        inner::statement_request request;
        time_point arrived;
    };
    struct database_state
    {
        const settings::database_config *config = nullptr;
        std::unique_ptr<document_task> document;
        std::unique_ptr<home_task> home;
        std::vector<waiting_request> waiting; ///< until the first document is in effect
    };

    void accept(int socket);
    void received(std::uint64_t connection, inner::message_kind kind, const std::string &body,
                  inner::stream_connection::stream_id stream);
    void handle_statement_request(std::uint64_t connection, const std::string &body,
                                  inner::stream_connection::stream_id stream);
    void handle_view_request(std::uint64_t connection, const std::string &body,
                             inner::stream_connection::stream_id stream);
    void handle_document_request(std::uint64_t connection, const std::string &body,
                                 inner::stream_connection::stream_id stream);
    void reply(std::uint64_t connection, inner::stream_connection::stream_id stream, std::string body);
    void refuse(home::request_key key, const std::string &reason, bool use_next_rank);
    void answer(home::request_key key, const inner::statement_answer &answer);
    database_state *find(const std::string &database);
    void submit(database_state &state, home::request_key key, const inner::statement_request &request,
                time_point now);
    void document_changed(const std::string &database);
    void start_home(database_state &state);
    void apply_vm_list(database_state &state);
    void request_document_from_peers(const std::string &database);
    void request_view_from_peer(const inner::view_request &request);
    void publish(const home::primary_record &record);
    void housekeeping();
    void check_stopped(time_point now);
    [[nodiscard]] std::vector<std::string> peers_of(const settings::database_config &config) const;
    [[nodiscard]] std::string metrics_text();

    event_base *base_;
    settings::process_settings settings_;
    stopped_hook stopped_;
    store::store_client store_;
    inner::pooler_links links_;
    std::map<std::string, database_state> databases_;
    std::map<std::uint64_t, std::unique_ptr<inner::stream_connection>> connections_;
    std::map<home::request_key, origin> origins_; ///< of the requests that are not answered yet
    store::vm_list vm_list_;
    std::unique_ptr<store::vm_list_task> vm_list_task_;
    std::unique_ptr<http::operator_server> operators_;
    support::metrics metrics_;
    inner::timer housekeeping_;
    std::optional<support::listener> listener_;
    std::uint64_t next_connection_ = 1;
    home::request_key next_key_ = 1;
    bool draining_ = false;
    time_point drain_began_;
};

} // namespace baobabport::pooler
