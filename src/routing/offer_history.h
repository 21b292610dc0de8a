// Records to which instances a read was offered, and decides to which it may be offered next.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace baobabport::routing {

/// Why an instance did not serve a statement that was offered to it.
enum class offer_end : std::uint8_t
{
    shed,       ///< the instance refused it; it may take the next one
    overloaded, ///< its home expects, or has had, a wait longer than the statement may wait
    failed,     ///< it failed, or was not reached
};

/**
 * The offers of one statement.
 *
 * A statement is offered once to each instance in a round. An instance whose queue is too long for the
 * statement is not asked again: the queue takes longer to drain than the statement may wait.
 */
class offer_history
{
public:
    /// Records an offer; without a later `record_end`, it counts as failed.
    void record_offer(const std::string &instance) { offers_[instance] = {offer_end::failed, true}; }
    void record_end(const std::string &instance, offer_end end);

    /// Removes an offer that was not made after all.
    void cancel(const std::string &instance) { offers_.erase(instance); }

    /// Returns the instances that are not to be asked in the present round.
    [[nodiscard]] std::set<std::string> excluded() const;

    /**
     * Begins a round in which instances that shed the statement or failed are asked again.
     *
     * Returns false if no instance that was asked may serve the statement: each is overloaded.
     */
    bool start_round();

private:
    struct offer
    {
        offer_end end = offer_end::failed;
        bool in_round = false; ///< made in the present round
    };

    std::map<std::string, offer> offers_;
};

} // namespace baobabport::routing
