#pragma once

#include "protocol/exchange_messages.h"
#include "transport/core_time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewinglock
{

/// What a shared sum counts. Part of the key, so that sums of different purposes never share a key.
enum class sum_purpose : std::uint8_t {
    QuotaDemand, ///< Demand of an organisation with a quota, in units of the quota per second.
    QuotaUse, ///< Use of a quota by requests that were admitted, in units of the quota.
    AdmissionDemand, ///< Demand by service, priority and organisation, in tokens (calls for plain services) per second.
    EndpointAttempts, ///< Recent attempts at an endpoint, decayed.
    EndpointFailures, ///< Recent failed attempts at an endpoint, decayed.
    PrefillSamples, ///< Measured prefills of long prompts at an engine, by weight.
    PrefillRatios ///< Their ratios of measured to predicted time, by weight.
};

/// Key of a sum: a hash, of sumKeyBits bits, of the purpose and a name, such as an organisation's.
std::uint64_t sumKey(sum_purpose purpose, std::string_view name);
/// The same for an endpoint's hash.
std::uint64_t sumKey(sum_purpose purpose, std::uint64_t hash);

/// Numbers that this daemon publishes to the others, and the sums of what the others publish under the same keys.
///
/// The sums of the others arrive with the state exchange, usually 30 to 300 ms late. Not thread-safe: used from one event loop.
class shared_sums
{
public:
    /// Sets the own number of a key; 0, a negative number or one that is not a number withdraws it.
    void setOwn(std::uint64_t key, double value);
    /// The own number, as set last; 0 if there is none.
    double own(std::uint64_t key) const;
    /// The own number that was last sent to the others; 0 if none was.
    double published(std::uint64_t key) const;
    /// Sum over the other daemons; 0 if none publishes the key.
    double others(std::uint64_t key) const;
    /// Number of own numbers.
    std::size_t size() const;

    /// The own numbers to send, those that changed most in proportion first, at most `count`; all of them count as published.
    std::vector<sum_entry> toPublish(std::size_t count);
    /// Whether an own number differs from the published one by more than a tenth.
    bool hasChanged() const;
    /// The own numbers to send with the summary that is made now; nullopt if those sent before stay right until a later one.
    std::optional<std::vector<sum_entry>> takeDue(instant now);

    /// Replaces the sum of the others under a key.
    void setOthers(const sum_entry &entry);
    /// Removes the sums of the others.
    void clearOthers();

private:
    struct own_number
    {
        double value = 0;
        double published = 0;
    };

    std::unordered_map<std::uint64_t, own_number> m_own;
    std::unordered_map<std::uint64_t, double> m_others;
    std::optional<instant> m_publishedAt;
    std::size_t m_publishedCount = 0;
};

}
