#include "standin/order_book.h"

namespace lacewinglock
{

namespace
{

// The part of an order that must be the same whenever the revision is the same.
nlohmann::json orderContent(const nlohmann::json &body)
{
    const auto &order = body.at("order");
    return {{"kind", order.at("kind")}, {"role", order.value("role", "")}, {"model", order.value("model", "")}};
}

}

order_book::order_book(std::string role, std::string model, std::chrono::milliseconds changeTime)
    : m_role(std::move(role))
    , m_model(std::move(model))
    , m_changeTime(changeTime)
{
}

int order_book::take(const nlohmann::json &body, bool checkFencing)
{
    const std::uint64_t fencing = body.at("fencing");
    const std::uint64_t revision = body.at("revision");
    const auto content = orderContent(body);
    const std::lock_guard lock(m_mutex);
    const bool stale = isOlder(fencing, revision, content);
    const bool taken = !(stale && checkFencing);
    const bool repeated = revision == m_revision && content == m_lastContent;
    const bool different = m_revision != 0 && content != m_lastContent;
    const bool conflict = taken && different && (revision <= m_revision || fake_clock::now() < m_changingUntil);
    m_orders.push_back({{"fencing", fencing}, {"revision", revision}, {"content", content}, {"taken", taken}, {"stale", stale}, {"conflict", conflict}});
    if (!taken) {
        return 409;
    }
    m_conflicts += conflict ? 1 : 0;
    m_epoch = fencing;
    m_revision = revision;
    m_lastContent = content;
    if (!repeated) {
        apply(content);
    }
    return 200;
}

bool order_book::isOlder(std::uint64_t fencing, std::uint64_t revision, const nlohmann::json &content) const
{
    return fencing < m_epoch || revision < m_revision || (revision == m_revision && m_revision != 0 && content != m_lastContent);
}

// An order that changes nothing takes no time.
void order_book::apply(const nlohmann::json &content)
{
    std::string &target = content.at("kind") == "set_role" ? m_role : m_model;
    const std::string wanted = content.at("kind") == "set_role" ? content.at("role") : content.at("model");
    if (target == wanted) {
        return;
    }
    target = wanted;
    ++m_changes;
    m_changingUntil = fake_clock::now() + m_changeTime;
}

bool order_book::changing() const
{
    const std::lock_guard lock(m_mutex);
    return fake_clock::now() < m_changingUntil;
}

std::uint64_t order_book::changes() const
{
    const std::lock_guard lock(m_mutex);
    return m_changes;
}

nlohmann::json order_book::status() const
{
    const std::lock_guard lock(m_mutex);
    return {
        {"role", m_role}, {"changing_role", fake_clock::now() < m_changingUntil}, {"model", m_model}, {"order_revision", m_revision}, {"order_epoch", m_epoch}};
}

nlohmann::json order_book::report() const
{
    const std::lock_guard lock(m_mutex);
    return {{"orders", m_orders}, {"conflicts", m_conflicts}};
}

}
