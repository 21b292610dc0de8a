#include "session_record.h"

#include <algorithm>

namespace soak {

namespace {

std::string pop_word(std::string &text)
{
    const auto end = std::min(text.find(' '), text.size());
    auto out = text.substr(0, end);
    text.erase(0, end + 1);
    return out;
}

} // namespace

void session_record::begin()
{
    last_text_.clear();
    values_.clear();
    prepared_.clear();
    transaction_ = 0;
}

void session_record::record_sent(const std::string &id, const std::string &text)
{
    last_text_ = text;
    auto rest = text;
    std::string shape;
    if (pop_word(rest) == "EXECUTE") {
        const auto found = prepared_.find(pop_word(rest));
        shape = found == prepared_.end() ? "" : found->second;
    }
    account_.record_sent(id, {caller_, text, values_, shape, transaction_});
}

void session_record::record_answer(bool succeeded, bool ends_transaction)
{
    auto rest = last_text_;
    const auto word = pop_word(rest);
    if (succeeded && word == "SET") {
        const auto name = pop_word(rest);
        values_[name] = rest;
    } else if (succeeded && word == "PREPARE") {
        const auto name = pop_word(rest);
        prepared_[name] = rest;
    } else if (succeeded && word == "CLOSE") {
        prepared_.erase(rest);
    } else if (succeeded && word == "BEGIN") {
        transaction_ = account_.begin_transaction();
    }
    if (ends_transaction)
        transaction_ = 0;
}

std::vector<std::string> session_record::names_of(const std::string &kind) const
{
    std::vector<std::string> out;
    for (const auto &[name, shape] : prepared_) {
        if (shape.starts_with(kind + ' '))
            out.push_back(name);
    }
    return out;
}

} // namespace soak
