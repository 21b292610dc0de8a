// Sums of the charges by class, and the choice of the charges that are shed.

#include "limits/memory_account.h"

#include <algorithm>

namespace baobabport::limits {

const char *to_string(client_class it)
{
    switch (it) {
    case client_class::callers:
        return "callers";
    case client_class::peers:
        return "peers";
    case client_class::strangers:
        return "strangers";
    default:
        return "operators";
    }
}

bool memory_account::under_pressure(client_class of) const
{
    return static_cast<double>(used(of)) > static_cast<double>(bound(of)) * pressure_level;
}

bool memory_account::fits(client_class of, std::size_t more) const
{
    return used(of) <= bound(of) && more <= bound(of) - used(of);
}

void memory_account::replace(memory_charge &it, std::size_t bytes)
{
    auto &in = classes_.at(static_cast<std::size_t>(it.class_));
    // The new entry is made first: without memory for it, the former one stays.
    if (bytes != 0 && bytes != it.bytes_)
        in.charges.emplace(bytes, &it);
    if (it.bytes_ != 0 && bytes != it.bytes_)
        in.charges.erase({it.bytes_, &it});
    in.used = in.used - it.bytes_ + bytes;
    in.peak = std::max(in.peak, in.used);
    it.bytes_ = bytes;
}

void memory_account::shed(client_class of)
{
    const auto &in = at(of);
    while (in.used > bound(of) && !in.charges.empty()) {
        const auto before = in.used;
        const auto hook = in.charges.rbegin()->second->shed_; // the charge may be destroyed meanwhile
        if (hook)
            hook();
        if (in.used >= before)
            return; // its owner releases the bytes later
    }
}

memory_charge::memory_charge(std::shared_ptr<memory_account> account, client_class of,
                             std::function<void()> shed)
    : account_(std::move(account)), class_(of), shed_(std::move(shed))
{
}

memory_charge::~memory_charge()
{
    release_turn();
    account_->replace(*this, 0);
}

bool memory_charge::take_turn()
{
    auto &turn = account_->classes_.at(static_cast<std::size_t>(class_)).turn;
    if (!turn)
        turn = this;
    return turn == this;
}

void memory_charge::release_turn()
{
    auto &turn = account_->classes_.at(static_cast<std::size_t>(class_)).turn;
    if (turn == this)
        turn = nullptr;
}

void memory_charge::resize(std::size_t bytes)
{
    const auto account = account_; // shedding may destroy this charge
    const auto of = class_;
    const bool grows = bytes > bytes_;
    account->replace(*this, bytes);
    if (grows)
        account->shed(of);
}

} // namespace baobabport::limits
