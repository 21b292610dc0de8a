// Encodes the messages of `messages.h` as CBOR and decodes them.

#pragma once

#include "inner/messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace baobabport::inner {

std::string encode(const statement_request &message);
std::string encode(const statement_answer &message);
std::string encode(const view_request &message);
std::string encode(const view_answer &message);
std::string encode(const document_request &message);
std::string encode(const document_answer &message);
std::string encode(const hello &message);

/**
 * Returns the decoded message, or none if the bytes are not a message of that type.
 */
template <typename Message>
std::optional<Message> decode(std::string_view bytes);

template <>
std::optional<statement_request> decode(std::string_view bytes);
template <>
std::optional<statement_answer> decode(std::string_view bytes);
template <>
std::optional<view_request> decode(std::string_view bytes);
template <>
std::optional<view_answer> decode(std::string_view bytes);
template <>
std::optional<document_request> decode(std::string_view bytes);
template <>
std::optional<document_answer> decode(std::string_view bytes);
template <>
std::optional<hello> decode(std::string_view bytes);

} // namespace baobabport::inner
