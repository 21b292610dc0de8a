#include "session/session_context.h"

#include <utility>

namespace baobabport::session {

bool session_context::set_value(const std::string &name, const std::string &value)
{
    const auto former = values_.find(name);
    const bool is_new = former == values_.end();
    if (is_new && values_.size() >= max_entries) {
        last_reason_ = "the session has too many values";
        return false;
    }
    if (!reserve(is_new ? 0 : name.size() + former->second.size(), name.size() + value.size(), "value"))
        return false;
    values_[name] = value;
    return true;
}

bool session_context::prepare(const std::string &name, prepared_statement prepared)
{
    const auto former = prepared_.find(name);
    const bool is_new = former == prepared_.end();
    if (is_new && prepared_.size() >= max_entries) {
        last_reason_ = "the session has too many prepared statements";
        return false;
    }
    if (!reserve(is_new ? 0 : name.size() + former->second.shape.size(), name.size() + prepared.shape.size(),
                 "shape"))
        return false;
    prepared_[name] = std::move(prepared);
    return true;
}

bool session_context::close_prepared(const std::string &name)
{
    const auto it = prepared_.find(name);
    if (it == prepared_.end())
        return false;
    size_ -= name.size() + it->second.shape.size();
    prepared_.erase(it);
    return true;
}

bool session_context::reserve(std::size_t freed, std::size_t added, const char *what)
{
    if (size_ - freed + added > max_size) {
        last_reason_ = "the " + std::string(what) +
                       " is too long: the session's values and shapes may have " + std::to_string(max_size) +
                       " bytes in all";
        return false;
    }
    size_ = size_ - freed + added;
    return true;
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
