#pragma once

#include "standin/fleet.h"

namespace lacewinglock
{

/// The platform's provisioning of endpoints. Orders are idempotent by token; all are recorded, so that a test detects orders from two lease
/// holders.
class provision_service
{
public:
    provision_service(fleet &endpoints, bool checkEpochs);

    /// Handles POST /endpoints/orders {token, epoch, group, failure_domain, reclaimable, count, release}. Returns HTTP status and response body.
    /// An order that matches `shortage` {failure_domain, reclaimable} is granted no endpoints.
    std::pair<int, nlohmann::json> handleOrder(const nlohmann::json &body, const std::optional<nlohmann::json> &shortage);
    /// All orders received. `stale` counts orders below the highest epoch seen, `changed_tokens` repeated tokens with different content.
    nlohmann::json report() const;

private:
    nlohmann::json executeOrder(const nlohmann::json &body, const std::optional<nlohmann::json> &shortage);

    fleet &m_fleet;
    bool m_checkEpochs;
    mutable std::mutex m_mutex;
    std::uint64_t m_highestEpoch = 0;
    int m_stale = 0;
    int m_conflictingTokens = 0;
    nlohmann::json m_orders = nlohmann::json::array();
    std::map<std::string, std::pair<nlohmann::json, nlohmann::json>> m_responses; // Order content and response by token.
};

}
