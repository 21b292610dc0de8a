#include "session/session_context.h"

#include <utility>

namespace baobabport::session {

bool session_context::set_value(const std::string &name, const std::string &value)
{
    if (values_.size() >= max_entries && !values_.count(name))
        return false;
    values_[name] = value;
    return true;
}

bool session_context::prepare(const std::string &name, prepared_statement prepared)
{
    if (prepared_.size() >= max_entries && !prepared_.count(name))
        return false;
    prepared_[name] = std::move(prepared);
    return true;
}

bool session_context::close_prepared(const std::string &name)
{
    return prepared_.erase(name) > 0;
}

const prepared_statement *session_context::find_prepared(const std::string &name) const
{
    const auto it = prepared_.find(name);
    return it == prepared_.end() ? nullptr : &it->second;
}

void session_context::record_commit(consistency::position log)
{
    if (!last_commit_position_ || *last_commit_position_ < log)
        last_commit_position_ = log;
}

} // namespace baobabport::session
