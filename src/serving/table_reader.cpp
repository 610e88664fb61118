#include "serving/table_reader.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

constexpr auto silenceLimit = std::chrono::milliseconds(250); // Four polls of a daemon, eight of an aggregator.
constexpr auto probeInterval = std::chrono::milliseconds(500);

}

void table_reader::setAggregators(std::vector<std::string> ranked)
{
    m_ranked = std::move(ranked);
    const auto isGone = [&](const auto &entry) {
        return std::ranges::find(m_ranked, entry.first) == m_ranked.end();
    };
    std::erase_if(m_silent, isGone);
    std::erase_if(m_order, isGone);
    if (std::ranges::find(m_ranked, m_source) == m_ranked.end()) {
        m_source.clear();
    }
}

void table_reader::leaveSilentSource(instant now)
{
    if (!m_source.empty() && m_unansweredSince && now - *m_unansweredSince > silenceLimit) {
        m_silent[m_source] = now + probeInterval;
        m_source.clear();
    }
    const auto preferred = std::ranges::find_if(m_ranked, [&](const std::string &id) {
        return !m_silent.contains(id);
    });
    const std::string best = preferred == m_ranked.end() ? std::string() : *preferred;
    if (best != m_source) {
        m_source = best;
        m_unansweredSince.reset();
        m_next.reset();
    }
}

std::vector<std::string> table_reader::pollTargets(instant now)
{
    leaveSilentSource(now);
    std::vector<std::string> targets;
    if (!m_source.empty()) {
        targets.push_back(m_source);
        m_unansweredSince = m_unansweredSince.value_or(now);
    }
    for (auto &[id, nextProbe] : m_silent) {
        if (now >= nextProbe) {
            nextProbe = now + probeInterval;
            targets.push_back(id);
        }
    }
    return targets;
}

table_position table_reader::position(std::string_view aggregator) const
{
    if (m_next && m_next->aggregator == aggregator) {
        return m_next->position;
    }
    return m_held.aggregator == aggregator ? m_held.position : table_position{};
}

const std::string &table_reader::source() const
{
    return m_source;
}

bool table_reader::isSilent(std::string_view aggregator) const
{
    return m_silent.contains(aggregator);
}

std::string table_reader::standby() const
{
    const auto found = std::ranges::find_if(m_ranked, [&](const std::string &id) {
        return id != m_source && !m_silent.contains(id);
    });
    return found == m_ranked.end() ? std::string() : *found;
}

// True if the changes continue the copy without a gap.
bool table_reader::extends(const table_copy &copy, const exchange_tables &tables)
{
    return copy.aggregator == tables.sender && copy.position.epoch == tables.position.epoch && tables.startLoads <= copy.position.loads
        && tables.startDaemons <= copy.position.daemons && tables.startSums <= copy.position.sums;
}

void table_reader::apply(table_copy &copy, const exchange_tables &tables)
{
    for (const auto &[endpoint, load] : tables.loads) {
        if (load == endpoint_load{}) {
            copy.loads.erase(endpoint);
        } else {
            copy.loads[endpoint] = load;
        }
    }
    for (const auto &[id, status] : tables.daemons) {
        if (status) {
            copy.daemons[id] = *status;
        } else {
            copy.daemons.erase(id);
        }
    }
    for (const auto &[key, value] : tables.sums) {
        if (value > 0) {
            copy.sums[key] = value;
        } else {
            copy.sums.erase(key);
        }
    }
    copy.sumsComplete = copy.sumsComplete || tables.sumsComplete;
    const auto sums = tables.position.sums == 0 ? copy.position.sums : tables.position.sums;
    copy.position = tables.position;
    copy.position.sums = sums;
}

void table_reader::endOldSums(table_updates &updates)
{
    for (const auto &[key, value] : updates.sums) {
        m_oldSums.erase(key);
    }
    if (m_held.sumsComplete) {
        for (const auto &[key, value] : std::exchange(m_oldSums, {})) {
            updates.sums.push_back({key, 0});
        }
    }
}

table_updates table_reader::replaceHeld(table_copy next)
{
    table_updates updates;
    for (const auto &[endpoint, load] : m_held.loads) {
        if (!next.loads.contains(endpoint)) {
            updates.loads.push_back({endpoint, {}});
        }
    }
    for (const auto &[endpoint, load] : next.loads) {
        updates.loads.push_back({endpoint, load});
    }
    for (const auto &[id, status] : m_held.daemons) {
        if (!next.daemons.contains(id)) {
            updates.daemons.push_back({id, std::nullopt});
        }
    }
    for (const auto &[id, status] : next.daemons) {
        updates.daemons.push_back({id, status});
    }
    for (const auto &[key, value] : next.sums) {
        updates.sums.push_back({key, value});
    }
    m_oldSums.merge(m_held.sums);
    m_held = std::move(next);
    endOldSums(updates);
    return updates;
}

// Step 1: drop late and repeated answers. Step 2: note that the sender answers. Step 3: extend the tables held if they are of the same aggregator and
// epoch. Step 4: otherwise extend the copy that is to replace them, or start it with an answer that lists all entries, and replace them once it is
// complete.
table_updates table_reader::accept(const exchange_tables &tables, instant now)
{
    if (std::ranges::find(m_ranked, tables.sender) == m_ranked.end()) {
        return {};
    }
    if (!m_order[tables.sender].accept(tables.position.epoch, tables.sequence)) {
        return {};
    }
    m_silent.erase(tables.sender);
    if (tables.sender != m_source) {
        return {};
    }
    m_unansweredSince.reset();
    if (extends(m_held, tables)) {
        apply(m_held, tables);
        m_next.reset();
        m_updatedAt = now;
        table_updates updates{tables.loads, tables.daemons, tables.sums};
        endOldSums(updates);
        return updates;
    }
    if (!m_next || !extends(*m_next, tables)) {
        if (tables.startLoads != 0 || tables.startDaemons != 0 || tables.startSums != 0) {
            m_next.reset(); // The next poll asks for all entries.
            return {};
        }
        m_next = table_copy{.aggregator = tables.sender};
    }
    apply(*m_next, tables);
    // Until the sender is warm, older tables are better than the few entries that it has received.
    if (!tables.complete || (!tables.warm && m_updatedAt)) {
        return {};
    }
    auto updates = replaceHeld(*std::exchange(m_next, std::nullopt));
    m_updatedAt = now;
    return updates;
}

table_updates table_reader::expire(instant now, duration timeout)
{
    if (!m_updatedAt || now - *m_updatedAt <= timeout) {
        return {};
    }
    return drop();
}

table_updates table_reader::drop()
{
    m_updatedAt.reset();
    m_next.reset();
    return replaceHeld({.sumsComplete = true}); // There is nothing to wait for.
}

std::optional<instant> table_reader::updatedAt() const
{
    return m_updatedAt;
}

}
