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

constexpr auto retryPause = std::chrono::minutes(1); // After an error of the store, which may be down for long.

// More rows than this can't be deleted in time anyway; it bounds the memory to about 25 MB.
constexpr std::size_t maxEnded = tunables::claimKeepTime / tunables::claimDeleteInterval;

std::uint64_t hashOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

// The row still is the one that was noted, and its request is known to be over.
bool isCompleted(const row &found, std::uint64_t nonceHash)
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

void claim_cleaner::noteEnded(std::string key, std::string_view nonce, instant now)
{
    const std::lock_guard lock(m_mutex);
    if (m_ended.size() < maxEnded) {
        m_ended.push_back({.key = std::move(key), .nonceHash = hashOf(nonce), .dueAt = now + tunables::claimKeepTime});
    }
}

void claim_cleaner::setDaemons(std::size_t count)
{
    m_daemons = std::max<std::size_t>(1, count);
}

void claim_cleaner::handle(const control_event &event, instant now, std::vector<control_effect> &out)
{
    if (std::holds_alternative<tick_event>(event)) {
        startNext(now, out);
    } else if (const auto *read = std::get_if<row_read_event>(&event); read != nullptr && m_current && read->op == m_lastOp) {
        judge(*read, now, out);
    } else if (const auto *commit = std::get_if<commit_event>(&event); commit != nullptr && m_current && commit->op == m_lastOp) {
        if (commit->outcome == commit_outcome::Unavailable || commit->outcome == commit_outcome::Unknown) {
            retry(now);
        }
        m_current.reset();
    }
}

std::size_t claim_cleaner::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_ended.size();
}

// Takes up the oldest row when it is due, one at a time.
void claim_cleaner::startNext(instant now, std::vector<control_effect> &out)
{
    const std::lock_guard lock(m_mutex);
    if (m_current || now < m_nextAt || m_ended.empty() || now < m_ended.front().dueAt) {
        return;
    }
    m_current = std::move(m_ended.front());
    m_ended.pop_front();
    m_nextAt = now + interval();
    out.emplace_back(read_row_effect{.op = ++m_lastOp, .key = m_current->key});
}

void claim_cleaner::judge(const row_read_event &event, instant now, std::vector<control_effect> &out)
{
    if (!event.result.ok()) {
        retry(now);
        m_current.reset();
        return;
    }
    const auto &found = *event.result;
    if (!found || !isCompleted(*found, m_current->nonceHash)) {
        m_current.reset();
        return;
    }
    out.emplace_back(commit_effect{
        .op = ++m_lastOp,
        .change = {.conditions = {{.key = found->key, .version = found->version}}, .writes = {{.key = found->key, .value = std::nullopt}}},
    });
}

// The row stays the next one, so that all wait while the store is down.
void claim_cleaner::retry(instant now)
{
    const std::lock_guard lock(m_mutex);
    m_current->dueAt = now + retryPause;
    m_ended.push_front(std::move(*m_current));
}

duration claim_cleaner::interval() const
{
    const auto share = std::chrono::duration_cast<duration>(std::chrono::seconds(m_daemons)) / tunables::claimDeletesPerSecond;
    return std::max<duration>(tunables::claimDeleteInterval, share);
}

}
