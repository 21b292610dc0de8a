// The proxy process: owns the sessions of callers, the groups of instances, and the links to the store and to
// the other processes.

#pragma once

#include "admission/connection_share.h"
#include "directory/instance_directory.h"
#include "directory/route_table.h"
#include "failover/lease_relay.h"
#include "failover/lease_source.h"
#include "failover/member_log.h"
#include "failover/membership_tracker.h"
#include "failover/relay_assignment.h"
#include "http/http_server.h"
#include "platform/metadata_client.h"
#include "platform/promotion_client.h"
#include "proxy/caller_task.h"
#include "proxy/election_task.h"
#include "proxy/failover_task.h"
#include "proxy/group_task.h"
#include "proxy/lease_task.h"
#include "proxy/local_executor.h"
#include "proxy/peer_task.h"
#include "proxy/proxy_settings.h"
#include "proxy/quota_task.h"
#include "proxy/store_tasks.h"
#include "support/metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

struct event_base;

namespace baobabport::proxy {

class proxy_task
{
public:
    /// Interval at which time-outs are checked; well below the shortest of them.
    static constexpr std::chrono::milliseconds tick_interval{15};
    /// For this long after a change of the member list, requests follow each other quickly: after a restart
    /// of many processes the next changes are on their way.
    static constexpr std::chrono::milliseconds list_change_period{500};

    proxy_task(event_base *base, proxy_settings settings, std::function<void()> stopped);
    ~proxy_task() = default;
    proxy_task(const proxy_task &) = delete;
    proxy_task &operator=(const proxy_task &) = delete;

    /// Begins a planned shutdown: reports not ready, resigns leadership, and closes the open sessions once
    /// the balancer sends no new ones. Calls `stopped` at the end.
    void drain();

    /// Returns true once `drain` has been called; from then on this process does not offer itself as a home.
    [[nodiscard]] bool is_draining() const;

    /// Applies changed settings while the process runs; logs those that need a restart.
    void reload(const proxy_settings &settings);

private:
    void listen();
    void accept(int socket);
    /// Returns whether there is room for one more session, after closing one that is silent or rests if need
    /// be.
    bool make_room();
    [[nodiscard]] std::vector<std::shared_ptr<caller_task>> sessions() const;
    void apply(directory::desired_state state);
    void apply(std::vector<directory::instance_record> records);
    void update_groups();
    void tick();
    void tick_drain(time_point now);
    void tick_leadership(time_point now);
    void log_basis(time_point now);
    void tick_peers(time_point now);
    void update_members(std::vector<inner::member> members);
    [[nodiscard]] std::optional<leader_endpoint> lease_receiver();
    [[nodiscard]] peer_read peer_read_of(inner::directory_part part);
    [[nodiscard]] inner::directory_answer directory(inner::directory_part part) const;
    void add_directory_state(inner::lease_answer &answer, time_point now) const;
    void apply_directory_report(const inner::lease_answer &answer, time_point requested_at);
    void copy_members(const inner::lease_answer &answer);
    void fill_request(inner::lease_request &request);
    void track_follower(const inner::lease_request &request, const support::address &from, time_point now);
    statement_executor make_executor();
    std::optional<inner::lease_answer> answer_request(const inner::lease_request &request,
                                                      const support::address &from);
    void add_leases(inner::lease_answer &answer, bool exclusive, time_point now);
    [[nodiscard]] milliseconds store_unresponsive_for(time_point now) const;
    void handle_lease_answer(const inner::lease_answer &answer, time_point requested_at);
    std::shared_ptr<group_task> group_of(const std::string &service);
    quota_task::link_hooks quota_links();
    void tick_quotas(time_point now);
    [[nodiscard]] bool ready() const;
    [[nodiscard]] std::string state_dump();
    void refresh_gauges();
    void answer_admin(const http::server_request &request, http::responder &answer);
    [[nodiscard]] std::uint32_t connection_limit(const std::string &service) const;

    event_base *base_;
    proxy_settings settings_;
    std::function<void()> stopped_;
    support::metrics metrics_;
    std::shared_ptr<client_limits> limits_;
    platform::metadata_client store_;
    directory::route_table routes_;
    workspace::key_index keys_;
    directory::instance_directory instances_;
    desired_state_task desired_state_;
    instance_list_task instance_list_;
    std::optional<platform::promotion_client> promotion_client_;
    std::optional<election_task> election_;
    failover::lease_grantor grantor_;
    failover::membership_tracker membership_;
    leadership_basis basis_ = leadership_basis::none;    ///< as last logged
    std::optional<std::uint64_t> membership_generation_; ///< that `membership_` was started for
    std::optional<std::uint64_t> granting_generation_;   ///< that `grantor_` was started for
    failover::relay_assignment relay_assignment_;        ///< used while this process is the leader
    failover::lease_source lease_source_;
    bool relays_named_ = false; ///< the leader has just named relays, which have not been asked yet
    failover::lease_relay relay_;
    failover::member_log member_log_; ///< the leader's list: kept by the leader, copied by the others
    std::optional<lease_task> leases_;
    std::map<std::string, std::shared_ptr<group_task>> groups_;
    std::map<std::string, std::unique_ptr<failover_task>> failovers_;
    local_executor local_executor_;
    std::optional<peer_task> peers_; ///< from when the processes' shared key is known
    std::vector<inner::member> known_members_;
    time_point members_changed_at_;
    std::uint64_t members_version_ = 0; ///< of `membership_`, or of an older build's list
    quota_task quotas_;
    statement_executor executor_;
    session_environment environment_;
    /// Any call of a session may end it or others, which erases them: loops go over `sessions()`.
    std::map<std::uint64_t, std::shared_ptr<caller_task>> callers_;
    std::uint64_t last_caller_ = 0;
    std::optional<http::http_server> probe_;
    std::optional<http::http_server> admin_;
    std::optional<http::http_server> metrics_server_;
    std::optional<support::listener> listener_;
    inner::timer timer_;
    time_point started_at_ = support::boot_clock::now();
    bool isolated_ = false; ///< it has known no other process since it started
    shutdown_schedule shutdown_;
};

} // namespace baobabport::proxy
