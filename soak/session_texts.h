// Random shapes, values and statements that change a session's state.

#pragma once

#include "session_record.h"

#include <random>
#include <string>

namespace soak {

/// Returns a shape: one that reads like another statement, with blanks at any place, or with bytes that are
/// no text. Different sessions draw the same shapes and shapes that begin alike.
[[nodiscard]] std::string random_shape(std::mt19937_64 &random);

/// Returns a value, which may be empty.
[[nodiscard]] std::string random_value(std::mt19937_64 &random);

/// Returns an item that nobody writes: blanks with or without words, or nothing.
[[nodiscard]] std::string random_blank_item(std::mt19937_64 &random);

/// Returns a `SET`, a `PREPARE` under one of few names, or a `CLOSE` of a name that the session has.
[[nodiscard]] std::string random_state_change(const session_record &of, std::mt19937_64 &random);

/// Returns a statement that reads the item, or that writes it if `data` is not empty: plain, or as an
/// `EXECUTE` of a statement that the session has prepared.
[[nodiscard]] std::string random_statement(const session_record &of, const std::string &item,
                                           const std::string &data, std::mt19937_64 &random);

} // namespace soak
