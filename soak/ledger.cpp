#include "ledger.h"

#include <cstdlib>

namespace soak {

std::uint64_t ledger::next_number(const std::string &item)
{
    auto &writes = items_[item];
    const auto number = writes.empty() ? 1 : writes.rbegin()->first + 1;
    writes[number] = {};
    return number;
}

void ledger::record_answer(const std::string &item, std::uint64_t number, write_answer answer, time_point now)
{
    auto &it = items_[item][number];
    it.answer = answer;
    it.at = now;
    acknowledged_ += answer == write_answer::committed ? 1 : 0;
}

void ledger::record_loss(const std::string &item, std::uint64_t number)
{
    items_[item][number].lost_with_primary = true;
    ++lost_with_primary_;
}

void ledger::record_pair(const std::string &one, const std::string &other, std::uint64_t number)
{
    items_[one][number].partner = other;
    items_[other][number].partner = one;
}

std::uint64_t ledger::newest_acknowledged(const std::string &item, time_point until) const
{
    const auto item_writes = items_.find(item);
    if (item_writes == items_.end())
        return 0;
    for (auto it = item_writes->second.rbegin(); it != item_writes->second.rend(); ++it) {
        const bool acknowledged = it->second.answer == write_answer::committed && it->second.at <= until;
        if (acknowledged && !it->second.lost_with_primary)
            return it->first;
    }
    return 0;
}

void ledger::check_read(const std::string &item, const std::string &value, std::uint64_t min_number,
                        const std::string &who)
{
    ++reads_;
    const auto number = std::strtoull(value.c_str(), nullptr, 10); // "none": 0
    if (number < min_number)
        violation(who + " read " + value + " of " + item + ", owed " + std::to_string(min_number));
    const auto &writes = items_[item];
    const auto it = writes.find(number);
    if (number > 0 && it == writes.end())
        violation(who + " read " + value + " of " + item + ", which nobody wrote");
    else if (number > 0 && it->second.answer == write_answer::refused)
        violation(who + " read " + value + " of " + item + ", which was refused");
}

void ledger::check_log(const std::string &service, const std::vector<standin::log_entry> &log)
{
    std::map<std::string, std::map<std::uint64_t, int>> found;
    for (const auto &entry : log) {
        for (const auto &[item, value] : entry.items) {
            const auto number = std::strtoull(value.c_str(), nullptr, 10);
            ++found[item][number];
            const auto &partner = items_[item][number].partner;
            const auto other = entry.items.find(partner);
            if (!partner.empty() && (other == entry.items.end() || other->second != value))
                violation(std::string("half of a transaction is in the log: ").append(item));
        }
    }
    for (const auto &[item, writes] : items_) {
        if (service_of(item) != service)
            continue;
        for (const auto &[number, it] : writes) {
            const int times = found[item][number];
            auto text = item;
            text.append(" ").append(std::to_string(number));
            if (times > 1)
                violation("a write took effect " + std::to_string(times) + " times: " + text);
            if (times == 0 && it.answer == write_answer::committed && !it.lost_with_primary)
                violation("an acknowledged write is missing: " + text);
            if (times > 0 && it.answer == write_answer::refused)
                violation("a refused write took effect: " + text);
        }
    }
}

void ledger::violation(const std::string &text)
{
    violations_.push_back(text);
    on_violation(text);
}

} // namespace soak
