#include "coordination/claim_cleaner.h"

#include "protocol/tunables.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <xxhash.h>

namespace lacewinglock
{

namespace
{

constexpr auto retryDelay = std::chrono::minutes(1); // Delay after a store error; an outage may last long.

// As many rows as one daemon can delete within the retention time. Bounds the memory of the queue to about 25 MB.
constexpr std::size_t maxQueued = tunables::claimRetention / tunables::claimDeleteInterval;

std::uint64_t hashOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

// Checks that the row was not rewritten by a later request and that its own request has ended.
bool isSameCompletedClaim(const row &found, std::uint64_t nonceHash)
{
    const auto content = nlohmann::json::parse(found.value, nullptr, false);
    if (!content.is_object()) {
        return false;
    }
    const auto nonce = content.find("nonce");
    const auto state = content.find("state");
    return nonce != content.end() && nonce->is_string() && hashOf(nonce->get_ref<const std::string &>()) == nonceHash && state != content.end()
        && (*state == "done" || *state == "withdrawn");
}

}

void claim_cleaner::scheduleDelete(std::string key, std::string_view nonce, instant now)
{
    const std::lock_guard lock(m_mutex);
    if (m_queue.size() < maxQueued) {
        m_queue.push_back({.key = std::move(key), .nonceHash = hashOf(nonce), .dueAt = now + tunables::claimRetention});
    }
}

void claim_cleaner::setDaemonCount(std::size_t count)
{
    m_daemonCount = std::max<std::size_t>(1, count);
}

void claim_cleaner::handle(const control_event &event, instant now, std::vector<control_effect> &out)
{
    if (std::holds_alternative<tick_event>(event)) {
        startNextDelete(now, out);
    } else if (const auto *read = std::get_if<row_read_event>(&event); read != nullptr && m_current && read->op == m_lastOp) {
        handleRowRead(*read, now, out);
    } else if (const auto *commit = std::get_if<commit_event>(&event); commit != nullptr && m_current && commit->op == m_lastOp) {
        if (commit->outcome == commit_outcome::Unavailable || commit->outcome == commit_outcome::Unknown) {
            requeue(now);
        }
        m_current.reset();
    }
}

std::size_t claim_cleaner::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_queue.size();
}

// Starts with the oldest row once it is due; only one delete runs at a time.
void claim_cleaner::startNextDelete(instant now, std::vector<control_effect> &out)
{
    const std::lock_guard lock(m_mutex);
    if (m_current || now < m_nextDeleteAt || m_queue.empty() || now < m_queue.front().dueAt) {
        return;
    }
    m_current = std::move(m_queue.front());
    m_queue.pop_front();
    m_nextDeleteAt = now + interval();
    out.emplace_back(read_row_effect{.op = ++m_lastOp, .key = m_current->key});
}

void claim_cleaner::handleRowRead(const row_read_event &event, instant now, std::vector<control_effect> &out)
{
    if (!event.result.ok()) {
        requeue(now);
        m_current.reset();
        return;
    }
    const auto &found = *event.result;
    if (!found || !isSameCompletedClaim(*found, m_current->nonceHash)) {
        m_current.reset();
        return;
    }
    out.emplace_back(commit_effect{
        .op = ++m_lastOp,
        .change = {.conditions = {{.key = found->key, .version = found->version}}, .writes = {{.key = found->key, .value = std::nullopt}}},
    });
}

// Puts the row back at the front of the queue, so that during a store outage only this one row is retried.
void claim_cleaner::requeue(instant now)
{
    const std::lock_guard lock(m_mutex);
    m_current->dueAt = now + retryDelay;
    m_queue.push_front(std::move(*m_current));
}

duration claim_cleaner::interval() const
{
    const auto fleetInterval = std::chrono::duration_cast<duration>(std::chrono::seconds(m_daemonCount)) / tunables::claimDeletesPerSecond;
    return std::max<duration>(tunables::claimDeleteInterval, fleetInterval);
}

}
