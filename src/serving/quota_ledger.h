#pragma once

#include "serving/quota.h"
#include "serving/shared_sums.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>

namespace lacewinglock
{

/// This daemon's state of the quotas of organisations, and what it publishes of it. Bounded; not thread-safe.
class quota_ledger
{
public:
    quota_ledger(duration window, std::uint64_t seed, instant now);

    /// Decides on a request that costs `cost`. An admitted one is counted at once.
    quota_decision
    admit(std::string_view organisation, const quota_limits &limits, double cost, const quota_fleet &fleet, const shared_sums &sums, instant now);
    /// Counts a request as refused that admit() did not admit. Returns whether a log line is due: at most one per organisation and second.
    bool noteRefusal(std::string_view organisation, double cost, double retryAfterMs, instant now);
    /// Returns the cost of a request that was admitted but did not run.
    void giveBack(std::string_view organisation, double cost, instant now);
    /// Brings all accounts up to date with the sums and sets what this daemon publishes. Call before each summary.
    void refresh(shared_sums &sums, const quota_fleet &fleet, instant now);

    /// Notes that a request waits for the next decision. Returns false if too many do.
    bool beginWait();
    void endWait();

    /// Null if the organisation has had no request lately.
    const quota_account *find(std::string_view organisation) const;
    std::size_t size() const;

private:
    struct entry
    {
        quota_account account;
        std::uint64_t useKey = 0;
        std::uint64_t refusedKey = 0;
        bool fits = true; ///< Among the organisations that are published.
        instant requestedAt;
        instant loggedAt;
    };
    using entries = std::map<std::string, entry, std::less<>>;

    static void advance(entry &entry, const quota_fleet &fleet, const shared_sums &sums, instant now);
    void makeRoom();

    duration m_window;
    std::mt19937_64 m_random;
    instant m_startedAt;
    entries m_entries;
    std::size_t m_waiting = 0; ///< Requests between beginWait() and endWait().
    std::set<std::uint64_t> m_withdrawn; ///< Keys of evicted entries whose sums are to be withdrawn.
};

}
