#include "standin/provision_desk.h"

namespace lacewinglock
{

namespace
{

// {failure_domain, reclaimable}: either may be left out and then matches all.
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

// The epoch may differ when a successor repeats an order of its predecessor.
nlohmann::json orderContent(nlohmann::json body)
{
    body.erase("epoch");
    return body;
}

}

provision_desk::provision_desk(fleet &endpoints, bool checkEpochs)
    : m_fleet(endpoints)
    , m_checkEpochs(checkEpochs)
{
}

std::pair<int, nlohmann::json> provision_desk::order(const nlohmann::json &body, const std::optional<nlohmann::json> &shortage)
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
    if (const auto known = m_answers.find(token); known != m_answers.end()) {
        m_changedTokens += known->second.first == orderContent(body) ? 0 : 1;
        return {200, known->second.second};
    }
    auto answer = carryOut(body, shortage);
    m_answers[token] = {orderContent(body), answer};
    return {200, std::move(answer)};
}

nlohmann::json provision_desk::carryOut(const nlohmann::json &body, const std::optional<nlohmann::json> &shortage)
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

nlohmann::json provision_desk::report() const
{
    const std::lock_guard lock(m_mutex);
    return {{"orders", m_orders}, {"stale", m_stale}, {"changed_tokens", m_changedTokens}};
}

}
