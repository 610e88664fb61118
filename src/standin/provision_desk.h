#pragma once

#include "standin/fleet.h"

namespace lacewinglock
{

/// The platform's ordering of endpoints: idempotent by token, with a record of every order, so that orders from two lease holders are seen.
class provision_desk
{
public:
    provision_desk(fleet &endpoints, bool checkEpochs);

    /// Handles POST /endpoints/orders {token, epoch, group, failure_domain, reclaimable, count, release}; returns status and answer.
    std::pair<int, nlohmann::json> order(const nlohmann::json &body, const std::optional<nlohmann::json> &shortage);
    /// All orders received; `stale` counts those below the highest epoch, `changed_tokens` tokens that came again with other content.
    nlohmann::json report() const;

private:
    nlohmann::json carryOut(const nlohmann::json &body, const std::optional<nlohmann::json> &shortage);

    fleet &m_fleet;
    bool m_checkEpochs;
    mutable std::mutex m_mutex;
    std::uint64_t m_highestEpoch = 0;
    int m_stale = 0;
    int m_changedTokens = 0;
    nlohmann::json m_orders = nlohmann::json::array();
    std::map<std::string, std::pair<nlohmann::json, nlohmann::json>> m_answers; // Content and answer by token.
};

}
