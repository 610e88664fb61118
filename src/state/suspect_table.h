#pragma once

#include "transport/core_time.h"

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

/// One request fingerprint that was in flight when an endpoint crashed.
struct suspect_entry
{
    std::string fingerprint;
    int crashes = 0; ///< 0 in an entry that was cleared lately.
    instant lastCrash;
    instant clearedAt; ///< Last success of the request after a crash.
};

/// Fingerprints of requests that may crash endpoints, shared with the peers.
class suspect_table
{
public:
    /// Counts one crash with the request in flight.
    void noteCrash(std::string_view fingerprint, instant now);
    /// The request finished; it was not the cause.
    void clear(std::string_view fingerprint);
    /// Crashes within the refusal time; 0 is an ordinary request, 1 is retried alone, 2 or more is refused.
    int crashes(std::string_view fingerprint, instant now) const;
    /// Entries to send to peers.
    std::vector<suspect_entry> entries(instant now) const;
    /// Takes a peer's count when it is higher than the own one.
    void merge(std::string_view fingerprint, int crashes, instant now);

    /// Like clear, but remembers the time, so that older crashes told by peers don't count again.
    void noteSuccess(std::string_view fingerprint, instant now);
    /// Takes what a peer tells: crashes up to a time, or with `crashes` 0 a success at it.
    void mergeAt(std::string_view fingerprint, int crashes, instant at);
    /// Entries for peers, with those cleared since `clearedSince`.
    std::vector<suspect_entry> news(instant now, instant clearedSince) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, suspect_entry, std::less<>> m_entries;
};

}
