#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lacewinglock
{

/// A map that numbers its changes, so that a reader can ask for what changed after the version it has read. A default-constructed value means that
/// there is no entry: readers must hear of it like of any other change, so such entries stay until prune().
template <typename Key, typename Value>
class versioned_table
{
public:
    /// Changes after a version.
    struct changes
    {
        std::vector<std::pair<Key, Value>> entries; ///< Oldest first; each key once, with its current value.
        std::uint64_t version = 0; ///< Pass this to get the next changes.
        bool complete = true; ///< Nothing newer is left.
    };

    /// Stores a value under the next version, even if it equals the one before.
    void set(const Key &key, Value value)
    {
        auto &entry = m_entries[key];
        m_order.erase(entry.version);
        entry = {std::move(value), ++m_version};
        m_order.emplace(m_version, key);
    }

    /// The value of the key; a default-constructed one if there is no entry.
    Value get(const Key &key) const
    {
        const auto found = m_entries.find(key);
        return found == m_entries.end() ? Value{} : found->second.value;
    }

    /// At most `limit` changes after `version`. A reader that starts (version 0), or that missed pruned entries, gets the existing entries only.
    changes since(std::uint64_t version, std::size_t limit) const
    {
        const bool fromStart = version < m_prunedTo;
        changes out{.version = version};
        auto next = m_order.upper_bound(version);
        for (; next != m_order.end() && out.entries.size() < limit; ++next) {
            const auto &value = m_entries.at(next->second).value;
            if (!fromStart || !(value == Value{})) {
                out.entries.emplace_back(next->second, value);
            }
            out.version = next->first;
        }
        out.complete = next == m_order.end();
        return out;
    }

    /// Removes the entries with default-constructed values that were set at or before `version`. Readers that have not read up to there must start
    /// again from version 0.
    void prune(std::uint64_t version)
    {
        for (auto next = m_order.begin(); next != m_order.end() && next->first <= version;) {
            if (m_entries.at(next->second).value == Value{}) {
                m_entries.erase(next->second);
                next = m_order.erase(next);
                m_prunedTo = version;
            } else {
                ++next;
            }
        }
    }

    std::uint64_t version() const
    {
        return m_version;
    }

    const auto &entries() const
    {
        return m_entries;
    }

private:
    struct entry
    {
        Value value{};
        std::uint64_t version = 0;
    };

    std::unordered_map<Key, entry> m_entries;
    std::map<std::uint64_t, Key> m_order; ///< Keys by the version of their last change.
    std::uint64_t m_version = 0;
    std::uint64_t m_prunedTo = 0; ///< Entries were removed up to this version.
};

}
