#include "consistency/verdict.h"

namespace baobabport::consistency {

std::string_view to_string(verdict value)
{
    switch (value) {
    case verdict::ran:
        return "ran";
    case verdict::not_run:
        return "not_run";
    case verdict::unknown:
        break;
    }
    return "unknown";
}

std::optional<verdict> verdict_from_string(std::string_view name)
{
    for (const auto value : {verdict::ran, verdict::not_run, verdict::unknown}) {
        if (to_string(value) == name)
            return value;
    }
    return std::nullopt;
}

} // namespace baobabport::consistency
