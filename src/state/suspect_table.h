#pragma once

#include "transport/core_time.h"

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

/// Crash history of one request fingerprint.
struct suspect_entry
{
    std::string fingerprint;
    int crashes = 0; ///< Crashes with the request in flight.
    instant lastCrash;
};

/// Fingerprints of requests that may crash endpoints. Daemons exchange these entries. Thread-safe.
class suspect_table
{
public:
    /// Counts one crash with the request in flight.
    void recordCrash(std::string_view fingerprint, instant now);
    /// Removes the entry of a request that finished and therefore did not cause the crash.
    void clear(std::string_view fingerprint);
    /// Number of crashes, or 0 when the last one is older than tunables::suspectRefusalTime. A request with 1 crash is retried on an endpoint
    /// without other requests; with 2 or more it is refused.
    int crashes(std::string_view fingerprint, instant now) const;
    /// Unexpired entries, for sending to peers.
    std::vector<suspect_entry> entries(instant now) const;
    /// Adopts the crash count of a peer when it is higher than the local one.
    void merge(std::string_view fingerprint, int crashes, instant now);

private:
    mutable std::mutex m_mutex;
    std::map<std::string, suspect_entry, std::less<>> m_entries;
};

}
