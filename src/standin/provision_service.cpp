#include "standin/provision_service.h"

namespace lacewinglock
{

namespace
{

// The shortage is {failure_domain, reclaimable}; a missing field matches every order.
bool matchesShortage(const nlohmann::json &order, const nlohmann::json &shortage)
{
    if (!shortage.is_object()) {
        return true;
    }
    const auto matches = [&](const char *field, const nlohmann::json &value) {
        return !shortage.contains(field) || shortage.at(field) == value;
    };
    return matches("failure_domain", order.value("failure_domain", "")) && matches("reclaimable", order.value("reclaimable", false));
}

// Leaves out the epoch, which differs when a new lease holder repeats an order of the previous one.
nlohmann::json orderContent(nlohmann::json body)
{
    body.erase("epoch");
    return body;
}

}

provision_service::provision_service(fleet &endpoints, bool checkEpochs)
    : m_fleet(endpoints)
    , m_checkEpochs(checkEpochs)
{
}

std::pair<int, nlohmann::json> provision_service::handleOrder(const nlohmann::json &body, const std::optional<nlohmann::json> &shortage)
{
    const std::string token = body.at("token");
    const std::uint64_t epoch = body.at("epoch");
    const std::lock_guard lock(m_mutex);
    const bool stale = epoch < m_highestEpoch;
    m_highestEpoch = std::max(m_highestEpoch, epoch);
    m_stale += stale ? 1 : 0;
    auto record = body;
    record["stale"] = stale;
    m_orders.push_back(std::move(record));
    if (stale && m_checkEpochs) {
        return {409, {{"error", "epoch is older than the highest seen"}}};
    }
    if (const auto earlier = m_responses.find(token); earlier != m_responses.end()) {
        m_conflictingTokens += earlier->second.first == orderContent(body) ? 0 : 1;
        return {200, earlier->second.second};
    }
    auto response = executeOrder(body, shortage);
    m_responses[token] = {orderContent(body), response};
    return {200, std::move(response)};
}

nlohmann::json provision_service::executeOrder(const nlohmann::json &body, const std::optional<nlohmann::json> &shortage)
{
    for (const std::string id : body.value("release", nlohmann::json::array())) {
        m_fleet.release(id);
    }
    auto granted = nlohmann::json::array();
    const int count = shortage && matchesShortage(body, *shortage) ? 0 : body.value("count", 0);
    for (int index = 0; index < count; ++index) {
        const auto endpoint = m_fleet.grant(body.value("group", ""), body.value("failure_domain", ""), body.value("reclaimable", false));
        if (!endpoint.ok()) {
            break;
        }
        granted.push_back({{"id", endpoint->id}, {"address", endpoint->address}});
    }
    return {{"granted", granted}};
}

nlohmann::json provision_service::report() const
{
    const std::lock_guard lock(m_mutex);
    return {{"orders", m_orders}, {"stale", m_stale}, {"changed_tokens", m_conflictingTokens}};
}

}
