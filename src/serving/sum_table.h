#pragma once

#include "protocol/exchange_messages.h"
#include "state/versioned_table.h"
#include "transport/core_time.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace lacewinglock
{

/// Numbers under keys as reported by several sources, and their sums. Each source replaces its own part, so nothing is counted twice.
///
/// Sums that change all the time would fill the answers to readers. So a sum is listed as changed at most once in an interval that grows with the number
/// of keys. As no sum is listed twice before a reader has had the time to read all, none is left out for others.
class sum_table
{
public:
    using listed_table = versioned_table<std::uint64_t, double>;

    /// `intervalPerKey`: a sum is listed once in this time for each key.
    explicit sum_table(duration intervalPerKey);

    /// Replaces the part of a source. Keys that are not listed have no number from it.
    void setPart(std::string_view source, std::span<const sum_entry> entries, instant now);
    /// Replaces the number that a source has under one key; 0 removes it.
    void setOne(std::string_view source, const sum_entry &entry, instant now);
    /// Removes the part of a source.
    void dropPart(std::string_view source, instant now);

    /// Lists the changed sums whose interval has passed.
    void listDue(instant now);
    /// Lists all changed sums.
    void listAll(instant now);
    /// Sums by key when they were listed, with the version of the listing.
    const listed_table &listed() const;
    /// Removes keys without a sum that were listed at or before `version`.
    void prune(std::uint64_t version);
    /// The present sum of a key without the part of `source`.
    double without(std::string_view source, std::uint64_t key) const;

private:
    struct source_part
    {
        std::uint64_t number = 0; ///< Of the source, instead of its name.
        std::unordered_set<std::uint64_t> keys;
    };
    struct key_part
    {
        std::uint64_t source = 0;
        double value = 0;
    };
    struct key_state
    {
        std::vector<key_part> parts;
        instant listedAt; ///< The epoch of the clock before the first time.
    };
    source_part &part(std::string_view source);
    void change(source_part &from, std::uint64_t key, double value, instant now);
    void listFirst(instant now);

    duration m_intervalPerKey;
    std::map<std::string, source_part, std::less<>> m_sources;
    std::uint64_t m_lastSource = 0;
    std::unordered_map<std::uint64_t, key_state> m_keys;
    std::set<std::pair<instant, std::uint64_t>> m_waiting; ///< Changed keys, by the time of their last listing.
    listed_table m_listed;
};

}
