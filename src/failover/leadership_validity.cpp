#include "failover/leadership_validity.h"

#include <algorithm>

namespace baobabport::failover {

const char *to_string(leadership_basis basis)
{
    switch (basis) {
    case leadership_basis::lease:
        return "lease";
    case leadership_basis::peers:
        return "peers";
    case leadership_basis::none:
        break;
    }
    return "none";
}

void leadership_validity::record_confirmation(time_point requested_at)
{
    confirmed_at_ = std::max(confirmed_at_.value_or(requested_at), requested_at);
}

leadership_basis leadership_validity::basis(bool peers_agree, time_point now) const
{
    if (!confirmed_at_ || now >= *confirmed_at_ + autonomy_limit)
        return leadership_basis::none;
    if (now < *confirmed_at_ + confirmation_lifetime)
        return leadership_basis::lease;
    return peers_agree ? leadership_basis::peers : leadership_basis::none;
}

} // namespace baobabport::failover
