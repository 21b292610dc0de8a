#include "session_texts.h"

#include <array>
#include <cstddef>
#include <vector>

namespace soak {

namespace {

template <std::size_t size>
std::string pick(const std::array<const char *, size> &from, std::mt19937_64 &random)
{
    return from.at(random() % size);
}

} // namespace

std::string random_shape(std::mt19937_64 &random)
{
    static const std::array<const char *, 3> plain = {"q2c", "x", "ulwqrp"};
    static const std::array<const char *, 13> shapes = {"q2c READ ulwqrp",
                                                        "q2c  READ ulwqrp",
                                                        "q2c ",
                                                        " q2c",
                                                        "q2c READ",
                                                        "x WRITE y",
                                                        "x y ",
                                                        " ",
                                                        "q2c\rx",
                                                        "x\n",
                                                        "\n x",
                                                        "\xff\xfe",
                                                        "q2c \x80"};
    static const std::array<const char *, 8> words = {"q2c", "q2cx", "READ", "WRITE", "EXECUTE", "x", "", ""};
    constexpr std::uint64_t choices = 3;
    const auto choice = random() % choices;
    if (choice < 2)
        return choice == 0 ? pick(plain, random) : pick(shapes, random);
    // Not empty, and without a CR LF, which would end the line.
    return pick(words, random) + ' ' + pick(words, random) + pick(words, random);
}

std::string random_value(std::mt19937_64 &random)
{
    static const std::array<const char *, 10> values = {"",    " ",    "a",    "b",   "a b",
                                                        " a ", "a  b", "a\rb", "\nb", "\xff\x80"};
    return pick(values, random);
}

std::string random_blank_item(std::mt19937_64 &random)
{
    static const std::array<const char *, 5> items = {"", " ", "  ", " x", "x  y "};
    return pick(items, random);
}

std::string random_state_change(const session_record &of, std::mt19937_64 &random)
{
    static const std::array<const char *, 3> names = {"s1", "s2", "w_q2c"};
    static const std::array<const char *, 2> kinds = {" READ ", " WRITE "};
    static const std::array<const char *, 3> value_names = {"v1", "v2", "s1"};
    constexpr std::uint64_t choices = 5;
    const auto choice = random() % choices;
    if (choice == 0 && !of.prepared().empty())
        return "CLOSE " + of.prepared().begin()->first;
    if (choice == 1)
        return "SET " + pick(value_names, random) + ' ' + random_value(random);
    return "PREPARE " + pick(names, random) + pick(kinds, random) + random_shape(random);
}

std::string random_statement(const session_record &of, const std::string &item, const std::string &data,
                             std::mt19937_64 &random)
{
    const std::string kind = data.empty() ? "READ" : "WRITE";
    const auto arguments = ' ' + item + (data.empty() ? "" : ' ' + data);
    const auto names = of.names_of(kind);
    if (names.empty() || random() % 3 == 0)
        return kind + arguments;
    return "EXECUTE " + names[random() % names.size()] + arguments;
}

} // namespace soak
