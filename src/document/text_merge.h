// Three-way merge and diff of texts, for concurrent changes by two operators.

#pragma once

#include <optional>
#include <string>

namespace baobabport::document {

/**
 * Returns `base` with both changes applied, or none if they overlap or adjoin.
 *
 * Identical changes to the same lines are applied once.
 */
std::optional<std::string> merge_texts(const std::string &base, const std::string &mine,
                                       const std::string &theirs);

/**
 * Returns the lines that differ, `-` for the first text and `+` for the second. Each block of them begins
 * with its line number in the first text.
 */
std::string diff_texts(const std::string &from, const std::string &to);

} // namespace baobabport::document
