// Keeps one database's document current at a pooler: store first, peers where the store is down.

#pragma once

#include "document/document_cache.h"
#include "inner/timer.h"
#include "routing/store_retry_policy.h"
#include "store/store_client.h"

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
        std::function<void()> changed;            ///< a new document is in force
        std::function<void()> request_from_peers; ///< the store gives no answer and there is no document yet
    };

    document_task(event_base *base, store::store_client &store, std::string database, std::uint64_t seed,
                  hooks task_hooks);

    /// Begins to watch; done again, it does nothing.
    void start();

    /// Ends the watch; the document stays, to begin with next time.
    void stop();

    /// Takes in a peer's document.
    void offer(std::uint64_t revision, const std::string &value);

    [[nodiscard]] const document::document_cache &cache() const { return cache_; }

private:
    void watch();
    void handle_answer(const store::store_answer &answer);

    store::store_client &store_;
    std::string database_;
    hooks hooks_;
    document::document_cache cache_;
    inner::timer timer_;
    routing::store_retry_policy retry_policy_;
    bool started_ = false;
    std::uint64_t watch_number_ = 0; ///< answers to earlier watches are passed over
};

} // namespace baobabport::pooler
