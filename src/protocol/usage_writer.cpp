#include "protocol/usage_writer.h"

#include "protocol/errors.h"

#include <iterator>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

bool usage_writer_row::contains(std::uint64_t number) const
{
    const auto after = billed.upper_bound(number);
    return after != billed.begin() && std::prev(after)->second >= number;
}

// Record numbers mostly arrive in order, so the row contains only a few ranges.
void usage_writer_row::add(std::uint64_t number)
{
    if (contains(number)) {
        return;
    }
    std::uint64_t last = number;
    const auto after = billed.upper_bound(number);
    const bool extendsBefore = after != billed.begin() && std::prev(after)->second + 1 == number;
    const std::uint64_t first = extendsBefore ? std::prev(after)->first : number;
    if (after != billed.end() && after->first == number + 1) {
        last = after->second;
        billed.erase(after);
    }
    billed[first] = last;
}

std::string usageWriterKey(std::string_view cell, std::string_view writer)
{
    return "usage-writer/" + std::string(cell) + "/" + std::string(writer);
}

std::string formatUsageWriter(const usage_writer_row &value)
{
    auto ranges = nlohmann::json::array();
    for (const auto &[first, last] : value.billed) {
        ranges.push_back({first, last});
    }
    return nlohmann::json{{"sequence", value.sequence}, {"billed", ranges}}.dump();
}

absl::StatusOr<usage_writer_row> parseUsageWriter(const std::string &text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        usage_writer_row result{.sequence = json.at("sequence")};
        for (const auto &range : json.at("billed")) {
            result.billed[range.at(0)] = range.at(1);
        }
        return result;
    } catch (const nlohmann::json::exception &error) {
        return makeError(absl::StatusCode::kDataLoss, "parse usage writer row", "table service", error.what());
    }
}

}
