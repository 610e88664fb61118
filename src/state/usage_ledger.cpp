#include "state/usage_ledger.h"

#include <utility>

namespace lacewinglock
{

void usage_ledger::setReplicate(replicate_function replicate)
{
    const std::lock_guard lock(m_mutex);
    m_replicate = std::move(replicate);
}

void usage_ledger::setWriter(std::string writer)
{
    const std::lock_guard lock(m_mutex);
    m_writer = std::move(writer);
}

bool usage_ledger::add(const usage_record &added)
{
    usage_record record = added;
    replicate_function replicate;
    {
        const std::lock_guard lock(m_mutex);
        record.writer = m_writer;
        record.number = ++m_lastNumber;
        m_records.push_back(record);
        replicate = m_replicate;
    }
    return replicate && replicate(record);
}

std::vector<usage_record> usage_ledger::take()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_records, {});
}

std::size_t usage_ledger::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_records.size();
}

void usage_ledger::setRelease(release_function release)
{
    const std::lock_guard lock(m_mutex);
    m_release = std::move(release);
}

void usage_ledger::releaseCommitted(std::span<const usage_record> records) const
{
    release_function release;
    {
        const std::lock_guard lock(m_mutex);
        release = m_release;
    }
    if (!release || records.empty()) {
        return;
    }
    std::vector<std::string> ids;
    for (const auto &record : records) {
        ids.push_back(record.requestId);
    }
    release(ids);
}

void usage_ledger::storeReplicas(std::string_view owner, std::vector<usage_record> records)
{
    const std::lock_guard lock(m_mutex);
    auto &replicas = m_replicas[std::string(owner)];
    for (auto &record : records) {
        replicas.writer = record.writer;
        const std::string id = record.requestId;
        replicas.records[id] = std::move(record);
    }
}

void usage_ledger::releaseReplicas(std::string_view owner, std::span<const std::string> requestIds)
{
    const std::lock_guard lock(m_mutex);
    const auto replicas = m_replicas.find(owner);
    if (replicas == m_replicas.end()) {
        return;
    }
    for (const auto &id : requestIds) {
        replicas->second.records.erase(id);
    }
    if (replicas->second.records.empty()) {
        m_replicas.erase(replicas);
    }
}

std::size_t usage_ledger::replicaCount() const
{
    const std::lock_guard lock(m_mutex);
    std::size_t count = 0;
    for (const auto &[owner, replicas] : m_replicas) {
        count += replicas.records.size();
    }
    return count;
}

std::size_t usage_ledger::adoptOrphans(const std::function<bool(std::string_view owner)> &isMember)
{
    const std::lock_guard lock(m_mutex);
    std::size_t adopted = 0;
    for (auto &copies : m_replicas) {
        auto &replicas = copies.second;
        const bool ownerLeft = !isMember(copies.first);
        adopted += std::erase_if(replicas.records, [&](auto &item) {
            const bool orphaned = ownerLeft || item.second.writer != replicas.writer;
            if (orphaned) {
                m_orphans[item.second.writer].push_back(std::move(item.second));
            }
            return orphaned;
        });
    }
    std::erase_if(m_replicas, [](const auto &item) {
        return item.second.records.empty();
    });
    return adopted;
}

std::vector<usage_record> usage_ledger::takeOrphans()
{
    const std::lock_guard lock(m_mutex);
    if (m_orphans.empty()) {
        return {};
    }
    return std::move(m_orphans.extract(m_orphans.begin()).mapped());
}

std::size_t usage_ledger::orphanCount() const
{
    const std::lock_guard lock(m_mutex);
    std::size_t count = 0;
    for (const auto &[writer, records] : m_orphans) {
        count += records.size();
    }
    return count;
}

}
