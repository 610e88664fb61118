#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace lacewinglock
{

/// Billable figures of one organisation.
struct usage_figures
{
    std::uint64_t requests = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t outputTokens = 0;
    std::uint64_t serviceCalls = 0;

    usage_figures &operator+=(const usage_figures &other);
    bool operator==(const usage_figures &) const = default;
};

/// Usage of one request, billed once.
struct usage_record
{
    std::string requestId;
    std::string organisation;
    usage_figures figures;
    std::string writer; ///< The process that served the request.
    std::uint64_t number = 0; ///< Rises by one per record of the writer.
};

using usage_by_organisation = std::map<std::string, usage_figures>;

}
