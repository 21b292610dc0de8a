// Keeps one database's document current at a pooler, from the store or, if that is unavailable, from peers.

#pragma once

#include "document/document_cache.h"
#include "inner/timer.h"
#include "routing/store_retry_policy.h"
#include "store/store_client.h"

#include <functional>
#include <string>

namespace baobabport::pooler {

/**
 * Watches the document's key in the store and accepts documents that peers offer.
 */
class document_task
{
public:
    struct hooks
    {
        std::function<void()> changed;            ///< a new document is in effect
        std::function<void()> request_from_peers; ///< the store supplies no document, and there is none yet
    };

    document_task(event_base *base, store::store_client &store, std::string database, std::uint64_t seed,
                  hooks task_hooks);

    /// Starts the watch. Does nothing if it is running.
    void start();

    /// Ends the watch. The document is kept for the next `start`.
    void stop();

    /// Applies a document from the store or a peer if it is newer and valid.
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
    std::uint64_t watch_number_ = 0; ///< answers to watches with earlier numbers are ignored
};

} // namespace baobabport::pooler
