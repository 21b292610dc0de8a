// The messages by which processes deposit tokens of quotas with a pool, and withdraw them.

#pragma once

#include "quota/quota_account.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabport::inner {

/// Deposits tokens for all pools of the receiver. The answer lists the workspaces that need no more.
struct deposit_request
{
    std::string vm; ///< the sender
    quota::pool_deposit deposit;
};

/// Withdraws from pools of the receiver; also the answer to a deposit or a withdrawal.
struct token_list
{
    std::vector<quota::token_amount> tokens;
};

[[nodiscard]] std::string encode(const deposit_request &message);
[[nodiscard]] std::string encode(const token_list &message);

/// Return the decoded message, or none if the bytes are not a message of that type.
[[nodiscard]] std::optional<deposit_request> decode_deposit_request(std::string_view bytes);
[[nodiscard]] std::optional<token_list> decode_token_list(std::string_view bytes);

} // namespace baobabport::inner
