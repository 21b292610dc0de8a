// Shares status requests to an instance: however many processes ask, one is in flight.

#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace baobabport::admission {

/**
 * Collects requests for the status of an instance into rounds.
 *
 * A request joins only a round that has not been sent yet: a status proves something about the time after
 * the request, so that one in flight is too early. Answers the load of processes that all lose their leases
 * at once and ask the same instances.
 *
 * `Answer`: what the instance reported.
 */
template <typename Answer>
class status_sharing
{
public:
    using answer_hook = std::function<void(const Answer &)>;

    /// Adds a request. Returns true if a round must be sent now.
    bool submit(const std::string &instance, answer_hook done)
    {
        auto &it = rounds_[instance];
        it.next.push_back(std::move(done));
        return !it.in_flight && begin(it);
    }

    /// Ends the round in flight: calls its hooks. Returns true if the next round must be sent now.
    bool finish(const std::string &instance, const Answer &answer)
    {
        const auto answered = std::move(rounds_[instance].current);
        rounds_[instance].current.clear();
        rounds_[instance].in_flight = false;
        for (const auto &done : answered)
            done(answer);
        const auto it = rounds_.find(instance); // a hook may have submitted a request
        if (it->second.in_flight)
            return false;
        if (!it->second.next.empty())
            return begin(it->second);
        rounds_.erase(it);
        return false;
    }

    [[nodiscard]] std::size_t instances() const { return rounds_.size(); }

private:
    struct rounds
    {
        std::vector<answer_hook> current; ///< of the round in flight
        std::vector<answer_hook> next;
        bool in_flight = false;
    };

    static bool begin(rounds &it)
    {
        it.current = std::move(it.next);
        it.next.clear();
        it.in_flight = true;
        return true;
    }

    std::map<std::string, rounds> rounds_; ///< by instance
};

} // namespace baobabport::admission
