// Merges two operators' changes to one text.

#pragma once

#include <optional>
#include <string>

namespace baobabport::document {

/**
 * Returns the text with both changes to `base` in it, or none if they touch the same or adjoining lines.
 *
 * Lines that both changed in the same way count as touched once.
 */
std::optional<std::string> merge_texts(const std::string &base, const std::string &mine,
                                       const std::string &theirs);

/**
 * Returns the lines that differ, `-` for the first text and `+` for the second, with their numbers.
 */
std::string diff_texts(const std::string &from, const std::string &to);

} // namespace baobabport::document
