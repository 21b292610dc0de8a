// Evaluates which of a document's overrides are active.

#pragma once

#include "document/service_document.h"

#include <chrono>
#include <string>
#include <vector>

namespace baobabport::document {

/**
 * Returns the classes that the document's overrides shed at `now`, a time since the Unix epoch.
 */
[[nodiscard]] std::vector<std::string> shed_classes(const service_document &document,
                                                    std::chrono::seconds now);

} // namespace baobabport::document
