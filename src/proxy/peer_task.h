// The other processes: which of them is the home of an instance, and the links to them.

#pragma once

#include "inner/directory_messages.h"
#include "inner/lease_messages.h"
#include "inner/pooler_links.h"
#include "proxy/client_limits.h"
#include "proxy/local_executor.h"
#include "support/socket_options.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

struct event_base;

namespace baobabport::proxy {

/// Name, data centre and address of this process, as the other processes see them.
struct peer_identity
{
    std::string vm;
    std::string data_centre;
    support::address at;
    std::string key; ///< shared by all processes
};

/**
 * Sends each statement to its instance's home: the first process by rendezvous hashing among those in the
 * instance's data centre. One process thus schedules an instance's connections, whichever process has the
 * caller's session.
 *
 * A home that does not answer is excluded temporarily in favour of the next rank; no guarantee depends on
 * an instance having only one home.
 */
class peer_task
{
public:
    using answer_hook = local_executor::answer_hook;

    /// Exclusion period of a process that failed; it doubles with each consecutive failure.
    static constexpr std::chrono::milliseconds first_exclusion{400};
    static constexpr std::chrono::milliseconds longest_exclusion{3000};
    /// A process that has answered no outstanding request for this long is excluded; longer than the longest
    /// statement.
    static constexpr std::chrono::milliseconds unresponsive_limit{350};
    /// A link without statements is closed if deposits of tokens get no answer for this long; a VM with a
    /// small share of a core may stand still for some hundred milliseconds.
    static constexpr std::chrono::milliseconds silent_link_limit{1000};
    /// Time-out of a request for a part of the directory; the store is read afterwards.
    static constexpr std::chrono::milliseconds directory_timeout{400};
    /// Number of ranks that are tried as a home; more would only spread an instance's connections.
    static constexpr std::size_t max_ranks = 3;

    /// `limits` bound what accepted links hold; null: no bounds.
    peer_task(event_base *base, peer_identity self, local_executor &executor,
              std::shared_ptr<client_limits> limits = nullptr);
    ~peer_task() = default;
    peer_task(const peer_task &) = delete;
    peer_task &operator=(const peer_task &) = delete;

    /// Sets the processes that can be reached; this one may be among them or not.
    void set_members(std::vector<inner::member> members);
    [[nodiscard]] const std::vector<inner::member> &members() const { return members_; }

    /// Returns the VM of the process to send the instance's statements to; empty: this one.
    [[nodiscard]] std::string home_of(const std::string &instance, const std::string &data_centre,
                                      time_point now) const;

    /// Executes the request at the process, or here if `vm` is empty. `done` is called once.
    void execute(const std::string &vm, inner::execute_request request, answer_hook done);
    void end_transaction(const std::string &vm, std::uint64_t transaction);

    using directory_hook = std::function<void(const std::optional<inner::directory_answer> &)>;

    /// Sets what this process answers to requests for parts of the directory.
    void set_directory(std::function<inner::directory_answer(inner::directory_part)> source)
    {
        directory_ = std::move(source);
    }

    /// Requests a part of the directory from the process at the address. The hook receives none if it does
    /// not answer or has nothing to pass on.
    void read_directory(const support::address &from, inner::directory_part part, directory_hook done);

    /// Returns the VMs that can be reached among the first ranks for the name, of all data centres; empty:
    /// this process.
    [[nodiscard]] std::vector<std::string> reachable_ranks(const std::string &name, time_point now) const;

    /// Sends a message about quotas. A missing answer does not exclude the process as a home.
    void exchange(const std::string &vm, inner::message_kind kind, std::string body,
                  std::chrono::milliseconds timeout, inner::stream_connection::outcome_hook done);

    using quota_hook = std::function<std::string(inner::message_kind kind, const std::string &body)>;

    /// Sets the function that answers messages about quotas.
    void set_quotas(quota_hook answer) { quotas_ = std::move(answer); }

    /// Stops accepting links; those that are open stay in use.
    void stop();

private:
    struct link_health
    {
        time_point excluded_until;
        std::chrono::milliseconds next_exclusion = first_exclusion;
        std::uint32_t outstanding = 0;
        time_point last_received_at; ///< or when a request was sent while none was outstanding
    };
    struct accepted_link
    {
        std::unique_ptr<inner::stream_connection> connection;
    };

    void accept(int socket);
    /// Returns whether there is room for one more accepted link, after closing one without a proof if need
    /// be.
    bool make_room();
    void record_measure(const char *reason);
    [[nodiscard]] inner::link_limits limits_of_links();
    void handle_request(std::uint64_t owner, inner::message_kind kind, const std::string &body,
                        inner::stream_connection::stream_id stream);
    /// Answers a request that was not sent. Its transaction stays open, for the session to end.
    void refuse_too_long(const std::string &vm, std::uint64_t transaction, const answer_hook &done);
    void handle_outcome(const std::string &vm, time_point sent_at, const inner::stream_outcome &outcome,
                        const answer_hook &done);
    [[nodiscard]] bool excluded(const std::string &vm, time_point now) const;
    [[nodiscard]] const std::vector<std::string> &ranked_vms(const std::string &instance,
                                                             const std::string &data_centre) const;

    event_base *base_;
    peer_identity self_;
    local_executor &local_executor_;
    std::shared_ptr<client_limits> limits_;
    inner::pooler_links links_;
    std::vector<inner::member> members_;
    /// The first `max_ranks` VMs for an instance, by instance and data centre; emptied when the members
    /// change.
    mutable std::map<std::pair<std::string, std::string>, std::vector<std::string>> rankings_;
    std::map<std::string, link_health> health_; ///< by VM
    std::map<std::uint64_t, accepted_link> accepted_links_;
    std::uint64_t last_owner_ = 0; ///< of an accepted link; 0 is this process
    std::function<inner::directory_answer(inner::directory_part)> directory_;
    quota_hook quotas_;
    std::optional<support::listener> listener_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); ///< callbacks keep a weak pointer to it
};

} // namespace baobabport::proxy
