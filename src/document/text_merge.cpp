#include "document/text_merge.h"

#include <algorithm>
#include <sstream>
#include <vector>

namespace baobabport::document {

namespace {

using line_list = std::vector<std::string>;

/// Lines of one text that replace a range of lines of the other.
struct hunk
{
    std::size_t from = 0; ///< first line replaced
    std::size_t to = 0;   ///< past the last line replaced
    line_list lines;

    bool operator==(const hunk &) const = default;
};

line_list lines_of(const std::string &text)
{
    line_list out;
    std::istringstream in(text);
    std::string line;
    while (std::getline(in, line))
        out.push_back(line);
    return out;
}

/// Returns the lengths of the longest common subsequences of all pairs of suffixes of the texts.
std::vector<std::vector<std::uint32_t>> common_lengths(const line_list &a, const line_list &b)
{
    std::vector<std::vector<std::uint32_t>> out(a.size() + 1, std::vector<std::uint32_t>(b.size() + 1, 0));
    for (std::size_t i = a.size(); i-- > 0;) {
        for (std::size_t j = b.size(); j-- > 0;)
            out[i][j] = a[i] == b[j] ? out[i + 1][j + 1] + 1 : std::max(out[i + 1][j], out[i][j + 1]);
    }
    return out;
}

std::vector<hunk> hunks_between(const line_list &a, const line_list &b)
{
    const auto common = common_lengths(a, b);
    std::vector<hunk> out;
    std::size_t i = 0;
    std::size_t j = 0;
    bool open = false;
    while (i < a.size() || j < b.size()) {
        if (i < a.size() && j < b.size() && a[i] == b[j]) {
            open = false;
            ++i;
            ++j;
            continue;
        }
        if (!open)
            out.push_back({i, i, {}});
        open = true;
        const bool drop = j == b.size() || (i < a.size() && common[i + 1][j] >= common[i][j + 1]);
        if (drop)
            out.back().to = ++i;
        else
            out.back().lines.push_back(b[j++]);
    }
    return out;
}

bool overlap_or_adjoin(const hunk &a, const hunk &b)
{
    return a.from <= b.to && b.from <= a.to;
}

} // namespace

std::optional<std::string> merge_texts(const std::string &base, const std::string &mine,
                                       const std::string &theirs)
{
    const auto lines = lines_of(base);
    auto hunks = hunks_between(lines, lines_of(mine));
    for (const auto &other : hunks_between(lines, lines_of(theirs))) {
        if (std::find(hunks.begin(), hunks.end(), other) != hunks.end())
            continue;
        if (std::any_of(hunks.begin(), hunks.end(),
                        [&](const auto &it) { return overlap_or_adjoin(it, other); }))
            return std::nullopt;
        hunks.push_back(other);
    }
    std::sort(hunks.begin(), hunks.end(), [](const auto &a, const auto &b) { return a.from < b.from; });
    std::string out;
    std::size_t at = 0;
    const auto add = [&](const std::string &line) { out += line + '\n'; };
    for (const auto &it : hunks) {
        std::for_each(lines.begin() + static_cast<std::ptrdiff_t>(at),
                      lines.begin() + static_cast<std::ptrdiff_t>(it.from), add);
        std::for_each(it.lines.begin(), it.lines.end(), add);
        at = it.to;
    }
    std::for_each(lines.begin() + static_cast<std::ptrdiff_t>(at), lines.end(), add);
    return out;
}

std::string diff_texts(const std::string &from, const std::string &to)
{
    const auto lines = lines_of(from);
    std::string out;
    for (const auto &it : hunks_between(lines, lines_of(to))) {
        out += "@ line " + std::to_string(it.from + 1) + '\n';
        for (auto n = it.from; n < it.to; ++n)
            out += "- " + lines[n] + '\n';
        for (const auto &line : it.lines)
            out += "+ " + line + '\n';
    }
    return out;
}

} // namespace baobabport::document
