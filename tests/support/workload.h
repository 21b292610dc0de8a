// Callers in virtual time; records the answers that they receive and checks them against the logs.

#pragma once

#include "support/fake_site.h"

#include <map>
#include <string>
#include <vector>

namespace fake {

/**
 * A few sessions that write, read their own writes, run transactions and retry writes of unknown outcome.
 *
 * Each session writes increasing numbers to its own keys, so the value of a read identifies the last write
 * that it includes.
 */
class workload
{
public:
    workload(fake_site &site, std::uint64_t seed);

    /// Starts the sessions; each runs until `stop`.
    void start();
    void stop() { stopped_ = true; }

    /// Sessions with odd numbers begin with the second home.
    bool split_homes = false;

    /// Each session writes through the second home and reads through the first.
    bool alternates_homes = false;

    /// Callers send no session token, so that the home must ensure consistency without it.
    bool without_tokens = false;

    /**
     * Returns every violation of the guarantees. Call it when all faults have ended and no request is in
     * flight.
     */
    std::vector<std::string> check();

    [[nodiscard]] std::size_t acknowledged() const;
    [[nodiscard]] std::size_t count(consistency::verdict outcome) const;

    /// Returns the longest time between two acknowledged writes.
    [[nodiscard]] milliseconds longest_gap() const { return longest_gap_; }

private:
    enum class kind
    {
        booking,
        mark,
        transaction
    };

    struct session
    {
        std::string name;
        kind writes = kind::booking;
        std::size_t home = 0;
        int next_number = 1;
        int acknowledged = 0; ///< highest acknowledged number
        int seen = 0;         ///< highest number that it has read
        std::optional<consistency::position> floor;
        bool in_doubt = false;
        std::uint64_t call = 0; ///< number of the request in progress; 0 if there is none
    };
    struct write_record
    {
        consistency::verdict outcome = consistency::verdict::unknown;
        bool repeatable = false;
        int calls = 0; ///< attempts of the caller
        std::size_t entries = 1;
    };

    using done_hook = std::function<void(const inner::statement_answer &)>;

    void send(std::size_t n, const inner::statement_request &request, std::size_t home,
              const done_hook &done);
    void write(std::size_t n);
    void attempt_write(std::size_t n, const std::string &id, int number, int tries);
    void run_transaction(std::size_t n);
    void commit(std::size_t n, const std::string &id, int number, const std::string &transaction,
                std::size_t home);
    void written(std::size_t n, const std::string &id, int number, const inner::statement_answer &answer);
    void read(std::size_t n, const char *class_name);
    void pause_then_write(std::size_t n);
    void record_acknowledged();
    inner::statement_request request_of(const session &it, const char *class_name, const char *statement,
                                        int number) const;
    void handle_answer(session &it, const inner::statement_answer &answer, bool provisional);

    fake_site &site_;
    std::mt19937_64 random_;
    std::vector<session> sessions_;
    std::map<std::string, write_record> ledger_; ///< by request id
    std::vector<std::string> violations_;
    bool stopped_ = false;
    std::uint64_t next_call_ = 1;
    std::optional<milliseconds> last_acknowledged_;
    milliseconds longest_gap_{0};
    std::map<consistency::verdict, std::size_t> verdicts_;
};

} // namespace fake
