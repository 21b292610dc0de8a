// The desired state that is active in this process.

#pragma once

#include "directory/desired_state.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace baobabport::directory {

/**
 * Holds the newest desired state and looks up routes in it.
 *
 * Invariant: the version never decreases during the lifetime of the process.
 */
class route_table
{
public:
    /**
     * Makes the state active; returns false if it is not newer than the active one.
     */
    bool apply(desired_state state);

    /// Returns the route of the database, or null.
    [[nodiscard]] std::shared_ptr<const route> find(const std::string &database) const;

    /// Returns the service of that name, or null.
    [[nodiscard]] const service *find_service(const std::string &name) const;

    [[nodiscard]] std::uint64_t version() const { return state_.version; }
    [[nodiscard]] bool loaded() const { return loaded_; }
    [[nodiscard]] const desired_state &state() const { return state_; }

private:
    desired_state state_;
    std::unordered_map<std::string, std::shared_ptr<const route>> by_database_;
    bool loaded_ = false;
};

} // namespace baobabport::directory
