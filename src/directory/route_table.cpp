#include "directory/route_table.h"

#include <algorithm>

namespace baobabport::directory {

bool route_table::apply(desired_state state)
{
    if (loaded_ && state.version <= state_.version)
        return false;
    std::unordered_map<std::string, std::shared_ptr<const route>> new_routes;
    new_routes.reserve(state.routes.size());
    for (const auto &it : state.routes)
        new_routes.emplace(it.database, std::make_shared<const route>(it));
    by_database_ = std::move(new_routes);
    state_ = std::move(state);
    loaded_ = true;
    return true;
}

std::shared_ptr<const route> route_table::find(const std::string &database) const
{
    const auto it = by_database_.find(database);
    return it == by_database_.end() ? nullptr : it->second;
}

const service *route_table::find_service(const std::string &name) const
{
    const auto it = std::find_if(state_.services.begin(), state_.services.end(),
                                 [&name](const auto &service) { return service.name == name; });
    return it == state_.services.end() ? nullptr : &*it;
}

} // namespace baobabport::directory
