#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace lacewinglock
{

/// Billable usage of one organisation or one request.
struct usage_figures
{
    std::uint64_t requests = 0;
    std::uint64_t promptTokens = 0; ///< All prompt tokens, including cached ones.
    std::uint64_t cachedTokens = 0; ///< Prompt tokens found in the KV cache.
    std::uint64_t outputTokens = 0;
    std::uint64_t serviceCalls = 0; ///< Requests to plain services.

    usage_figures &operator+=(const usage_figures &other);
    bool operator==(const usage_figures &) const = default;
};

/// Usage of one request; billed exactly once.
struct usage_record
{
    std::string requestId;
    std::string organisation;
    usage_figures figures;
    std::string writer; ///< Identifier of the process that served the request.
    std::uint64_t number = 0; ///< Increases by one with each record of the writer.
};

using usage_by_organisation = std::map<std::string, usage_figures>;

}
