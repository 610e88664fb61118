#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

/// Number of requests that began to run in a window, by organisation.
using usage_counts = std::map<std::string, std::uint64_t, std::less<>>;

/// Encodes the counts as the JSON object that is stored.
std::string encodeCounts(const usage_counts &counts);
/// Adds encoded counts to `sum`. Returns false and adds nothing when `encoded` is not a JSON object of unsigned integers.
bool addCounts(usage_counts &sum, std::string_view encoded);

/// Usage counts of one daemon in one window.
struct daemon_usage
{
    usage_counts counts;
    bool final = false; ///< The window has ended; its counts do not change any more.
};

/// Encodes the usage as the JSON object that is stored.
std::string encodeUsage(const daemon_usage &usage);
/// Parses the output of encodeUsage(). Returns nullopt when it is malformed.
std::optional<daemon_usage> parseUsage(std::string_view encoded);

/// Usage counts of this process by window. Window k begins k * lengthMs milliseconds after the Unix epoch. Times are milliseconds of Unix time,
/// corrected by the clocks of the other daemons (edge_context::correctedTimeMs()).
class usage_windows
{
public:
    explicit usage_windows(std::int64_t lengthMs);

    /// Counts one request that begins to run now.
    void countRequest(std::string_view organisation, std::int64_t correctedTimeMs);
    /// Returns the index of the window that contains the time.
    std::int64_t windowAt(std::int64_t correctedTimeMs) const;
    /// Returns the time in milliseconds at which the window ends.
    std::int64_t windowEndMs(std::int64_t window) const;

    /// State of a window that has to be written to the store.
    struct change
    {
        std::int64_t window = 0;
        std::uint64_t revision = 0;
        daemon_usage usage; ///< All counts of the window, not only the new ones.
    };
    /// Returns the windows with counts that are not stored yet and those that ended since they were last stored.
    std::vector<change> unstored(std::int64_t correctedTimeMs);
    /// Call after the counts in `written` reached the store.
    void markStored(const change &written);
    /// Call when the store has lost what was written: all windows have to be written again.
    void markAllUnstored();
    /// Drops the counts of all windows before `window`.
    void eraseBefore(std::int64_t window);

private:
    struct window_counts
    {
        usage_counts counts;
        std::uint64_t revision = 0;
        std::uint64_t storedRevision = 0;
        bool storedFinal = false; ///< The stored counts are marked as final.
    };

    std::int64_t m_lengthMs;
    std::map<std::int64_t, window_counts> m_windows;
    std::int64_t m_firstWindow = -1; ///< Window in which this process started.
};

/// Returns the correction in milliseconds to add to this machine's clock: the median of the differences of the other daemons' clocks, with this
/// clock included as 0. A minority of wrong clocks has no effect.
std::int64_t clockCorrection(std::vector<std::int64_t> differencesMs);

}
