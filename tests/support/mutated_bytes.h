// Random changes of a valid message, for tests of decoders.

#pragma once

#include <cstddef>
#include <random>
#include <string>

namespace testing {

/// Returns the text with a few bytes changed, removed, repeated or inserted, or with its end cut off.
inline std::string mutated(std::string text, std::mt19937 &random)
{
    const auto position = [&] { return text.empty() ? 0 : random() % text.size(); };
    const auto changes = 1 + random() % 4;
    for (std::size_t n = 0; n < changes; ++n) {
        switch (random() % 6) {
        case 0:
            if (!text.empty())
                text[position()] = static_cast<char>(random() % 256);
            break;
        case 1:
            if (!text.empty())
                text.erase(position(), 1 + random() % 8);
            break;
        case 2:
            text.insert(position(), text.substr(position(), random() % 32));
            break;
        case 3:
            text.insert(position(), 1 + random() % 16, static_cast<char>(random() % 256));
            break;
        case 4:
            text.resize(position());
            break;
        default:
            text.insert(position(), std::string(random() % 64, "[{\x81\x9f\xc1\xff"[random() % 6]));
            break;
        }
    }
    return text;
}

} // namespace testing
