#include "document/override_rules.h"

namespace baobabport::document {

std::vector<std::string> shed_classes(const service_document &document, std::chrono::seconds now)
{
    std::vector<std::string> out;
    for (const auto &it : document.overrides) {
        if (now.count() < it.until_unix_seconds)
            out.push_back(it.class_name);
    }
    return out;
}

} // namespace baobabport::document
