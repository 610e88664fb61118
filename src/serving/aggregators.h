#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

/// A daemon as a candidate for the aggregators of its failure domain.
struct exchange_member
{
    std::string id;
    std::string failureDomain;
    double capacity = 1; ///< Relative processor and link capacity.
};

/// Number of aggregators of a failure domain. Two, so that the loss of one leaves no gap.
constexpr std::size_t aggregatorsPerDomain = 2;

/// The members of a failure domain in the order in which they become its aggregators. The largest come first, because an aggregator does the work of
/// the exchange for its whole domain; among equals the order is that of a rendezvous hash, so that the loss of a member moves only its own task.
std::vector<std::string> rankAggregators(std::span<const exchange_member> members, std::string_view failureDomain);

}
