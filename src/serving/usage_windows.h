#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

/// Requests of each organisation that began to run in a window.
using usage_counts = std::map<std::string, std::uint64_t, std::less<>>;

/// JSON object of the counts, as it is stored.
std::string encodeCounts(const usage_counts &counts);
/// Adds stored counts; false when the text is not a JSON object of whole numbers.
bool addCounts(usage_counts &sum, std::string_view stored);

/// What one daemon counted in a window.
struct daemon_usage
{
    usage_counts counts;
    bool final = false; ///< The window had ended; nothing is added any more.
};

std::string encodeUsage(const daemon_usage &usage);
std::optional<daemon_usage> parseUsage(std::string_view stored);

/// This process's counts by window of true time. Window k begins k * lengthMs after the Unix epoch.
class usage_windows
{
public:
    explicit usage_windows(std::int64_t lengthMs);

    void note(std::string_view organisation, std::int64_t trueTimeMs);
    std::int64_t windowAt(std::int64_t trueTimeMs) const;
    std::int64_t endOf(std::int64_t window) const;

    struct change
    {
        std::int64_t window = 0;
        std::uint64_t revision = 0;
        daemon_usage usage; ///< All of the window, not only what is new.
    };
    /// Windows with counts that are not stored yet, or that have ended since.
    std::vector<change> unstored(std::int64_t trueTimeMs);
    void noteStored(const change &stored);
    void forgetBefore(std::int64_t window);

private:
    struct counted
    {
        usage_counts counts;
        std::uint64_t revision = 0;
        std::uint64_t stored = 0;
        bool storedFinal = false;
    };

    std::int64_t m_lengthMs;
    std::map<std::int64_t, counted> m_windows;
    std::int64_t m_firstWindow = -1; ///< In which this process started.
};

/// Median of the differences between other daemons' clocks and this one, itself included with 0: the correction that gives the time of most
/// machines, whatever a minority of clocks shows.
std::int64_t clockCorrection(std::vector<std::int64_t> differencesMs);

}
