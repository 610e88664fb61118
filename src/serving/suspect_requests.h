#pragma once

#include "protocol/exchange_messages.h"
#include "transport/core_time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

/// Requests, by fingerprint, and parts of prompts, by id, that were running when endpoints crashed and may have caused it.
///
/// A crash is identified by the endpoint process that ended, so that one crash counts once however many requests with the same fingerprint, and
/// however many daemons, were affected by it. Any success of a fingerprint or part voids the crashes before it.
class suspect_requests
{
public:
    /// Key of a part of prompts. Other keys are fingerprints of whole requests.
    static std::string partKey(std::uint64_t id);

    /// Records that an endpoint process crashed while it ran the request. `process` is the hash of the endpoint.
    void recordCrash(std::string_view key, std::uint64_t process, instant now);
    void recordSuccess(std::string_view key, instant now);
    /// Merges the knowledge of another daemon.
    void merge(const suspect_report &report, instant now);

    /// Number of endpoint processes that crashed since the last success; 0 when the last crash and the last refusal are older than
    /// tunables::suspectRefusalTime.
    int crashes(std::string_view key, instant now) const;
    /// Whether the request crashed so many endpoints that it is refused.
    bool isSuspect(std::string_view fingerprint, instant now) const;
    /// The part, among those of a request, that crashed so many endpoints that requests with it are refused; null if there is none. A part is not
    /// held responsible for crashes that a part outside the request explains at least as well.
    const std::string *findCrashingPart(std::span<const std::string> parts, instant now) const;
    /// Whether a suspect request may be let through once, because it may not have caused the crashes. Each trial that fails doubles the time to the next
    /// one; after a few there are no more until the crashes are forgotten.
    bool startTrial(std::string_view key, instant now);
    /// Records that a suspect request was refused: it still comes, so its crashes are kept.
    void noteRefusal(std::string_view key, instant now);
    /// At most `limit` entries for other daemons: the latest changes first, then the others in turn over successive calls.
    std::vector<suspect_report> reports(std::size_t limit, instant now);

private:
    struct crash
    {
        std::uint64_t process = 0;
        instant at;
    };

    struct entry
    {
        std::vector<crash> crashes; ///< Since the last success.
        instant lastCrash;
        instant lastRefusal; ///< By any daemon.
        instant clearedAt; ///< Last success.
        instant changedAt;
        instant triedAt; ///< Start of the last trial.
        int trials = 0;
    };

    using item = std::pair<const std::string, entry>;

    static bool isLive(const entry &known, instant now);
    static int failedTrials(const entry &known);
    static void addCrash(entry &known, std::uint64_t process, instant at, instant now);
    static void setSuccess(entry &known, instant at, instant now);
    static suspect_report makeReport(const item &from, instant now);
    static bool isCrashingPart(const item &candidate, instant now);
    entry &find(std::string_view key, instant now);
    void prune(instant now);

    std::map<std::string, entry, std::less<>> m_entries;
    std::string m_lastReported; ///< The reports in turn go on after this key.
};

}
