// Holds the failover duty: one process at a time replaces primaries, under a rising generation.

#pragma once

#include "failover/duty_record.h"
#include "failover/duty_succession.h"
#include "failover/duty_tenure.h"
#include "failover/holder_contacts.h"
#include "inner/timer.h"
#include "platform/metadata_client.h"
#include "proxy/lease_task.h"
#include "proxy/proxy_settings.h"
#include "proxy/store_tasks.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

struct event_base;

namespace baobabport::proxy {

using failover::leadership_basis;

/**
 * Takes and keeps the duty by a key with a lease. The generation lies in a record without one, so that it
 * outlives all processes.
 */
class election_task
{
public:
    /// The duty passes on this long after its holder's last renewal; several renewals may fail first.
    static constexpr std::chrono::milliseconds lease_time{1800};
    static constexpr std::chrono::milliseconds renew_interval{300};
    /// Others notice the end of a lease by a watch of this length.
    static constexpr std::chrono::milliseconds watch_time{4000};
    /// The holder notices by a watch of this length that its key was taken away, with its lease left.
    static constexpr std::chrono::milliseconds leader_watch_time{3000};
    /// A holder that has answered so recently is at work: nobody else asks the store. Longer than it takes
    /// to miss one answer.
    static constexpr std::chrono::milliseconds heard_time{450};
    /// Processes take a free duty after a part of this time of their own, so that most find it taken.
    static constexpr std::chrono::milliseconds take_spread{60};
    /// A holder whose calls to the store have no answer for this long wants to know whether others get one;
    /// many times the store's usual answer.
    static constexpr std::chrono::milliseconds doubt_time{150};
    /// A process that the holder asks for it calls the store this often; below
    /// `metadata_client::max_attempt_age`.
    static constexpr std::chrono::milliseconds check_interval{1000};

    /// An order to promote that takes longer is given up.
    static constexpr std::chrono::milliseconds order_time{1500};
    static_assert(order_time < failover::leadership_takeover::order_separation);

    election_task(event_base *base, platform::metadata_client &store, const proxy_settings &settings);

    void start() { look(); }

    /// Goes on after the holder has fallen silent, or keeps the record of the own tenure.
    void tick(time_point now);

    /// Takes in an answer of a holder to a request that was sent at that time.
    void leader_answered(const inner::lease_answer &answer, time_point requested_at);

    /// Fills what a request to the holder says of the duty.
    void describe(inner::lease_request &request, time_point now);

    /// Takes in a request to this process as the holder.
    void follower_request(const inner::lease_request &request, const support::address &from, time_point now);

    /// Gives the duty back, so that another process has it at once.
    void resign();

    /// Returns the generation while this process acts as the holder, or none.
    [[nodiscard]] std::optional<std::uint64_t> acting_generation(time_point now) const;

    /// Returns on what ground this process acts as the holder.
    [[nodiscard]] leadership_basis basis(time_point now) const;

    /// Returns the generation if no other process is known to have taken the duty from this one, or none. It
    /// may not act for all that.
    [[nodiscard]] std::optional<std::uint64_t> assumed_generation() const;

    /// Returns the generation while this process acts as the holder and nothing of an earlier one is in
    /// force.
    [[nodiscard]] std::optional<std::uint64_t> exclusive(time_point now) const;

    /// Returns true if a replacement of a primary may begin.
    [[nodiscard]] bool may_replace(time_point now) const;

    /// Notes that a promotion is to be ordered, or may take effect still.
    void note_order(time_point now);

    /// Returns the generation if a promotion may be ordered at this moment, or none. The store must have
    /// noted before that one may be ordered, unless it is away for all.
    [[nodiscard]] std::optional<std::uint64_t> may_promote(time_point now) const;

    /// Sets the judgement whether all processes that this holder answered agree that it goes on.
    void on_peers_agree(std::function<bool(time_point)> judge) { peers_agree_ = std::move(judge); }

    /// Returns true if the holder cannot tell whether the store is away for all.
    [[nodiscard]] bool in_doubt(time_point now) const;

    /// Returns for how long the store has not confirmed the duty.
    [[nodiscard]] std::chrono::milliseconds unconfirmed_for(time_point now) const;

    /// Returns the holder, if it is another process.
    [[nodiscard]] std::optional<leader_endpoint> remote_leader() const;
    [[nodiscard]] const std::string &vm() const { return vm_; }

    /// Returns the key that all processes share, or an empty text while it is not known.
    [[nodiscard]] std::string peer_key() const { return record_revision_ == 0 ? "" : record_.peer_key; }

private:
    void look();
    void decide(std::optional<time_point> requested_at);
    void watch();
    void take_soon();
    void open_lease();
    void take_key();
    void taken(const failover::leadership_record &before, time_point confirmed_at);
    void renew();
    void verify();
    void keep_record(time_point now);
    void lose(const char *reason);
    void give_back();
    void again(std::chrono::milliseconds delay);
    void read_keys(const platform::store_reply &reply);
    void check_store(time_point now);
    [[nodiscard]] failover::leadership_record wanted_record(time_point now) const;
    [[nodiscard]] std::string self() const { return vm_ + '@' + peer_.text(); }
    [[nodiscard]] bool leader_is_responsive(time_point now) const
    {
        return now - leader_answered_at_ < heard_time;
    }

    platform::metadata_client &store_;
    std::string vm_;
    std::string data_centre_;
    support::address peer_;
    std::chrono::milliseconds store_lease_time_; ///< `lease_time`, or the shortest that the store grants
    inner::timer timer_;
    inner::timer renew_timer_;
    inner::timer take_timer_;
    store_backoff backoff_;
    std::uint64_t revision_ = 0;
    std::uint64_t leader_revision_ = 0;  ///< 0: nobody holds the duty
    std::uint64_t record_revision_ = 0;  ///< 0: there was no holder yet
    failover::leadership_record record_; ///< as in the store; its generation never falls
    std::string leader_;
    support::address leader_peer_;
    std::string leader_data_centre_;
    std::uint64_t leader_lease_ = 0;
    std::uint64_t lease_ = 0;
    std::uint64_t watch_number_ = 0; ///< answers to earlier watches are passed over
    bool listening_ = false;         ///< relies on the holder's answers; no call or timer is under way
    bool looking_ = false;
    bool writing_ = false;  ///< the record
    bool clearing_ = false; ///< a write that takes `ordered_by` back may still take effect
    bool doubted_ = false;  ///< a call failed since the store last showed the holder's key
    bool holding_ = false;  ///< as far as this process knows
    bool record_readable_ = true;
    bool resigned_ = false; ///< for good: the process ends
    time_point leader_answered_at_;
    time_point written_at_;                 ///< when the record was last sent
    time_point changed_at_;                 ///< when its last change was answered
    std::uint64_t own_generation_ = 0;      ///< of the last tenure
    std::optional<time_point> ordering_at_; ///< a promotion was last ordered, or about to be
    failover::leadership_validity validity_;
    failover::leadership_takeover takeover_;
    failover::leader_contacts contacts_;
    std::function<bool(time_point)> peers_agree_ = [](time_point) { return false; };
};

} // namespace baobabport::proxy
