#include "routing/offer_history.h"

#include <algorithm>

namespace baobabport::routing {

void offer_history::record_end(const std::string &instance, offer_end end)
{
    offers_[instance].end = end;
}

std::set<std::string> offer_history::excluded() const
{
    std::set<std::string> out;
    for (const auto &[instance, it] : offers_) {
        if (it.in_round || it.end == offer_end::overloaded)
            out.insert(instance);
    }
    return out;
}

bool offer_history::start_round()
{
    for (auto &it : offers_)
        it.second.in_round = false;
    return offers_.empty() || std::any_of(offers_.begin(), offers_.end(), [](const auto &it) {
               return it.second.end != offer_end::overloaded;
           });
}

} // namespace baobabport::routing
