#include "statement_account.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace soak {

namespace {

constexpr std::string_view execute_word = "EXECUTE ";

/// Returns the text with the name of an `EXECUTE` replaced, since the proxy may rename it.
std::string without_name(const std::string &text)
{
    if (!text.starts_with(execute_word))
        return text;
    const auto end = std::min(text.find(' ', execute_word.size()), text.size());
    return end == execute_word.size() ? text : std::string(execute_word) + '*' + text.substr(end);
}

bool writes(const sent_statement &it)
{
    return it.text.starts_with("WRITE ") || it.shape.starts_with("WRITE ");
}

/// Returns true for the statements that instances run; the proxy answers all others itself.
bool needs_instance(const sent_statement &it)
{
    return writes(it) || it.text.starts_with("READ ") || it.text.starts_with(execute_word) ||
           it.text == "COMMIT";
}

std::string text_of(const std::map<std::string, std::string> &values)
{
    std::string out;
    for (const auto &[name, value] : values)
        out += (out.empty() ? "" : ", ") + quoted(name) + '=' + quoted(value);
    return '{' + out + '}';
}

std::string transaction_text(const sent_statement &it)
{
    return it.transaction == 0 ? "outside any transaction"
                               : "in transaction " + std::to_string(it.transaction) + " of " + it.caller;
}

} // namespace

std::string quoted(const std::string &text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned first_printable = 0x20;
    constexpr unsigned last_printable = 0x7e;
    constexpr unsigned half_byte = 4;
    constexpr unsigned half_mask = 0xf;
    std::string out = "'";
    for (const char it : text) {
        const auto byte = static_cast<unsigned char>(it);
        if (byte >= first_printable && byte <= last_printable)
            out += it;
        else
            out.append("\\x") += {digits[byte >> half_byte], digits[byte & half_mask]};
    }
    return out + '\'';
}

std::string statement_account::place::text() const
{
    return instance + " connection " + std::to_string(connection) +
           (transaction == 0 ? "" : " transaction " + std::to_string(transaction));
}

void statement_account::record_sent(const std::string &id, sent_statement it)
{
    if (it.transaction != 0 && needs_instance(it))
        transactions_.try_emplace(it.transaction, caller_transaction{id, {}, {}});
    sent_.emplace(id, std::move(it));
}

std::vector<std::string> statement_account::check(const standin::ran_statement &ran)
{
    if (ran.id == "-")
        return {};
    const place at{ran.instance, ran.connection, ran.transaction};
    const auto known = sent_.find(ran.id);
    if (known == sent_.end())
        return {"nobody sent it: ran " + quoted(ran.id) + ' ' + quoted(ran.text) + " on " + at.text()};
    const auto &sent = known->second;
    std::vector<std::string> kinds;
    if (without_name(ran.text) != without_name(sent.text))
        kinds.emplace_back("text changed");
    if (ran.shape != sent.shape)
        kinds.emplace_back("other shape");
    if (ran.values != sent.values)
        kinds.emplace_back("other values");
    check_transaction(ran.id, sent, at, kinds);
    check_repeat(ran.id, sent, kinds);
    std::vector<std::string> out;
    for (const auto &kind : kinds) {
        std::string text = kind + ": statement " + ran.id;
        text.append(" of ").append(sent.caller).append(" sent ").append(quoted(sent.text));
        text.append(" shape ").append(quoted(sent.shape)).append(" values ").append(text_of(sent.values));
        text.append(" ").append(transaction_text(sent));
        text.append("; ran ").append(quoted(ran.text)).append(" shape ").append(quoted(ran.shape));
        text.append(" values ").append(text_of(ran.values)).append(" on ").append(at.text());
        out.push_back(std::move(text));
    }
    return out;
}

void statement_account::check_transaction(const std::string &id, const sent_statement &sent, const place &at,
                                          std::vector<std::string> &kinds)
{
    if (sent.transaction == 0) {
        if (at.transaction == 0)
            return;
        const auto owner = owners_.find(at);
        kinds.push_back("inside another transaction" +
                        (owner == owners_.end() ? "" : " (" + std::to_string(owner->second) + ')'));
        return;
    }
    auto &own = transactions_[sent.transaction];
    const auto needed = own.settled ? " (" + own.settled->text() + ')' : std::string();
    if (at.transaction == 0) {
        kinds.push_back("outside its transaction" + needed);
        return;
    }
    const auto owner = owners_.try_emplace(at, sent.transaction).first->second;
    if (owner != sent.transaction) {
        kinds.push_back("inside another transaction (" + std::to_string(owner) + ')');
    } else if (id == own.first) {
        if (!own.began_at.insert(at).second)
            kinds.emplace_back("repeated within its transaction");
    } else if (own.settled ? *own.settled != at : !own.began_at.contains(at)) {
        kinds.push_back("not where its transaction is" + needed);
    } else {
        own.settled = at;
    }
}

void statement_account::check_repeat(const std::string &id, const sent_statement &sent,
                                     std::vector<std::string> &kinds)
{
    const bool repeated = !ran_.insert(id).second;
    const bool may_repeat =
        sent.transaction == 0 ? !writes(sent) : transactions_[sent.transaction].first == id;
    if (repeated && !may_repeat)
        kinds.emplace_back("ran again");
}

} // namespace soak
