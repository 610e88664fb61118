#include "standin/order_log.h"

namespace lacewinglock
{

namespace
{

// Returns the fields of an order that must be equal in all orders of the same revision.
nlohmann::json orderContent(const nlohmann::json &body)
{
    const auto &order = body.at("order");
    return {{"kind", order.at("kind")}, {"role", order.value("role", "")}, {"model", order.value("model", "")}};
}

}

order_log::order_log(std::string role, std::string model, std::chrono::milliseconds roleChangeTime)
    : m_role(std::move(role))
    , m_model(std::move(model))
    , m_roleChangeTime(roleChangeTime)
{
}

int order_log::handleOrder(const nlohmann::json &body, bool checkFencing)
{
    const std::uint64_t fencing = body.at("fencing");
    const std::uint64_t revision = body.at("revision");
    const auto content = orderContent(body);
    const std::lock_guard lock(m_mutex);
    const bool stale = isStale(fencing, revision, content);
    const bool accepted = !(stale && checkFencing);
    const bool isRepeated = revision == m_revision && content == m_lastContent;
    const bool contradicting = m_revision != 0 && content != m_lastContent;
    const bool isConflict = accepted && contradicting && (revision <= m_revision || fake_clock::now() < m_changingUntil);
    m_orders.push_back({{"fencing", fencing}, {"revision", revision}, {"content", content}, {"taken", accepted}, {"stale", stale}, {"conflict", isConflict}});
    if (!accepted) {
        return 409;
    }
    m_conflicts += isConflict ? 1 : 0;
    m_epoch = fencing;
    m_revision = revision;
    m_lastContent = content;
    if (!isRepeated) {
        apply(content);
    }
    return 200;
}

bool order_log::isStale(std::uint64_t fencing, std::uint64_t revision, const nlohmann::json &content) const
{
    return fencing < m_epoch || revision < m_revision || (revision == m_revision && m_revision != 0 && content != m_lastContent);
}

// An order that does not change the role or model takes effect at once.
void order_log::apply(const nlohmann::json &content)
{
    std::string &target = content.at("kind") == "set_role" ? m_role : m_model;
    const std::string requested = content.at("kind") == "set_role" ? content.at("role") : content.at("model");
    if (target == requested) {
        return;
    }
    target = requested;
    ++m_changeCount;
    m_changingUntil = fake_clock::now() + m_roleChangeTime;
}

bool order_log::isChanging() const
{
    const std::lock_guard lock(m_mutex);
    return fake_clock::now() < m_changingUntil;
}

std::uint64_t order_log::changeCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_changeCount;
}

nlohmann::json order_log::status() const
{
    const std::lock_guard lock(m_mutex);
    return {
        {"role", m_role}, {"changing_role", fake_clock::now() < m_changingUntil}, {"model", m_model}, {"order_revision", m_revision}, {"order_epoch", m_epoch}};
}

nlohmann::json order_log::report() const
{
    const std::lock_guard lock(m_mutex);
    return {{"orders", m_orders}, {"conflicts", m_conflicts}};
}

}
