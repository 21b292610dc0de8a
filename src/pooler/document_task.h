// Keeps one database's document current at a pooler: store first, peers where the store is down.

#pragma once

#include "document/document_holder.h"
#include "inner/timer.h"
#include "platform/store_client.h"

#include <functional>
#include <string>

namespace baobabport::pooler {

/**
 * Watches the document's key and takes what peers offer.
 */
class document_task
{
public:
    struct hooks
    {
        std::function<void()> changed;   ///< a new document is in force
        std::function<void()> ask_peers; ///< the store gives no answer and there is no document yet
    };

    document_task(event_base *base, platform::store_client &store, std::string database, hooks with);

    /// Begins to watch; done again, it does nothing.
    void start();

    /// Takes in a peer's document.
    void offer(std::uint64_t revision, const std::string &value);

    [[nodiscard]] const document::document_holder &holder() const { return holder_; }

private:
    void watch();
    void take(const platform::store_answer &answer);

    platform::store_client &store_;
    std::string database_;
    hooks hooks_;
    document::document_holder holder_;
    inner::timer timer_;
    std::uint32_t failures_ = 0;
    bool started_ = false;
};

} // namespace baobabport::pooler
