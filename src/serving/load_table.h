#pragma once

#include "protocol/exchange_messages.h"
#include "state/versioned_table.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace lacewinglock
{

/// Loads of endpoints as reported by several sources, and their sums. Each source replaces its own part, so nothing is counted twice.
class load_table
{
public:
    using sum_table = versioned_table<std::uint64_t, endpoint_load>;

    /// Replaces the part of a source. Endpoints that are not listed have no load from it. Returns the largest change of an endpoint in prompt tokens.
    double setPart(std::string_view source, std::span<const load_entry> loads);
    /// Replaces the load that a source has at one endpoint. Returns the change in prompt tokens.
    double setOne(std::string_view source, const load_entry &entry);
    /// Removes the part of a source.
    void dropPart(std::string_view source);

    /// Sums by endpoint, with the version of their last change by any source.
    const sum_table &sums() const;
    /// Removes endpoints without load whose last change is not newer than `version`.
    void prune(std::uint64_t version);
    /// `sum` without the part of `source`.
    endpoint_load without(std::string_view source, std::uint64_t endpoint, endpoint_load sum) const;

private:
    using part = std::unordered_map<std::uint64_t, endpoint_load>;
    double change(part &loads, std::uint64_t endpoint, const endpoint_load &load);

    std::map<std::string, part, std::less<>> m_parts;
    sum_table m_sums;
};

}
