// One database's home with its sockets: performs the calls and commands that `database_home` decides on.

#pragma once

#include "home/database_home.h"
#include "http/http_client.h"
#include "inner/timer.h"
#include "settings/process_settings.h"

#include <event2/event.h>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace baobabport::pooler {

/**
 * Owns a `database_home` and the connections to the instances that it opens.
 */
class home_task
{
public:
    struct hooks
    {
        std::function<void(home::request_key, const inner::statement_answer &)> answer;
        std::function<void(const inner::view_request &)> request_peer_view;
        std::function<void(const home::primary_record &)> publish;
    };

    home_task(event_base *base, const settings::process_settings &settings,
              const settings::database_config &config, hooks task_hooks,
              std::shared_ptr<const document::service_document> document);
    home_task(const home_task &) = delete;
    home_task &operator=(const home_task &) = delete;
    ~home_task() = default;

    void submit(home::request_key key, const inner::statement_request &request);
    void handle_answer(const inner::view_answer &answer);

    [[nodiscard]] home::database_home &home_logic() { return home_; }
    [[nodiscard]] const home::database_home &home_logic() const { return home_; }

    /**
     * Returns the task's complete state as JSON, for the process's dump.
     */
    [[nodiscard]] nlohmann::json dump() const;

private:
    /// The control connections to one instance.
    struct control_links
    {
        std::unique_ptr<http::http_client> status;
        std::unique_ptr<http::http_client> wait;
        std::unique_ptr<http::http_client> command;
    };

    [[nodiscard]] home::home_hooks make_hooks();
    void send_call(const home::upstream_call &call);
    void open_connection(home::connection_id id, home::instance_id instance);
    void close_connection(home::connection_id id);
    void send_command(const home::instance_command &command);
    void tick();
    void update_tick_interval();
    [[nodiscard]] std::unique_ptr<http::http_client> make_client(home::instance_id instance) const;
    [[nodiscard]] http::client_request with_user_agent(http::client_request request) const;

    event_base *base_;
    const settings::process_settings &settings_;
    const settings::database_config &config_;
    hooks hooks_;
    std::vector<control_links> controls_;
    std::map<home::connection_id, std::unique_ptr<http::http_client>> connections_;
    home::database_home home_;
    inner::timer timer_;
    std::chrono::milliseconds current_interval_{0};
    std::uint64_t control_commands_ = 0; ///< control commands: probes, fences and promotions
    std::uint64_t wait_commands_ = 0;    ///< commands for statements: waits for a write's position
    std::uint64_t statements_ = 0;
};

} // namespace baobabport::pooler
