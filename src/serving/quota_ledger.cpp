#include "serving/quota_ledger.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lacewinglock
{

namespace
{

constexpr std::size_t maxEntries = 1024;
constexpr std::size_t maxPublished = 24; // Of the 64 sums of a summary.
constexpr auto publishTime = std::chrono::seconds(10); // After the last request of an organisation.
constexpr auto idleTime = std::chrono::minutes(5);
constexpr std::size_t maxWaiting = 256; // Requests. Each keeps its body.
constexpr auto logInterval = std::chrono::seconds(1);

}

quota_ledger::quota_ledger(duration window, std::uint64_t seed, instant now)
    : m_window(window)
    , m_random(seed)
    , m_startedAt(now)
{
}

void quota_ledger::advance(entry &entry, const quota_fleet &fleet, const shared_sums &sums, instant now)
{
    const quota_flow others{sums.others(entry.useKey), sums.others(entry.refusedKey)};
    const quota_flow published{sums.published(entry.useKey), sums.published(entry.refusedKey)};
    entry.account.advance(fleet, others, published, entry.fits, now);
}

// Evicts the organisation whose last request is the oldest.
void quota_ledger::makeRoom()
{
    if (m_entries.size() < maxEntries) {
        return;
    }
    const auto oldest = std::ranges::min_element(m_entries, {}, [](const auto &item) {
        return item.second.requestedAt;
    });
    m_withdrawn.insert({oldest->second.useKey, oldest->second.refusedKey});
    m_entries.erase(oldest);
}

quota_decision
quota_ledger::admit(std::string_view organisation, const quota_limits &limits, double cost, const quota_fleet &fleet, const shared_sums &sums, instant now)
{
    auto found = m_entries.find(organisation);
    if (found == m_entries.end()) {
        makeRoom();
        const auto useKey = sumKey(sum_purpose::QuotaUse, organisation);
        const auto refusedKey = sumKey(sum_purpose::QuotaDemand, organisation);
        const quota_flow others{sums.others(useKey), sums.others(refusedKey)};
        const bool pastKnown = now - m_startedAt > m_window;
        found = m_entries
                    .emplace(std::string(organisation),
                             entry{.account = quota_account(limits, m_window, pastKnown, fleet, others, now), .useKey = useKey, .refusedKey = refusedKey})
                    .first;
        m_withdrawn.erase(useKey);
        m_withdrawn.erase(refusedKey);
    }
    auto &entry = found->second;
    entry.requestedAt = now;
    entry.account.setLimits(limits);
    advance(entry, fleet, sums, now);
    return entry.account.decide(cost, std::uniform_real_distribution<double>(0, 1)(m_random), now);
}

bool quota_ledger::noteRefusal(std::string_view organisation, double cost, double retryAfterMs, instant now)
{
    const auto found = m_entries.find(organisation);
    if (found == m_entries.end()) {
        return false;
    }
    found->second.account.noteRefusal(cost, retryAfterMs, now);
    const bool due = found->second.loggedAt == instant{} || now - found->second.loggedAt >= logInterval;
    if (due) {
        found->second.loggedAt = now;
    }
    return due;
}

void quota_ledger::giveBack(std::string_view organisation, double cost, instant now)
{
    if (const auto found = m_entries.find(organisation); found != m_entries.end()) {
        found->second.account.giveBack(cost, now);
    }
}

void quota_ledger::refresh(shared_sums &sums, const quota_fleet &fleet, instant now)
{
    for (const auto key : std::exchange(m_withdrawn, {})) {
        sums.setOwn(key, 0);
    }
    struct candidate
    {
        entry *of;
        quota_flow flow;
    };
    std::vector<candidate> candidates;
    for (auto found = m_entries.begin(); found != m_entries.end();) {
        auto &entry = found->second;
        advance(entry, fleet, sums, now);
        const auto flow = entry.account.own();
        const bool busy = now - entry.requestedAt <= publishTime && (flow.used != 0 || flow.refused != 0);
        if (busy) {
            candidates.push_back({&entry, flow});
        } else {
            entry.fits = true;
            sums.setOwn(entry.useKey, 0);
            sums.setOwn(entry.refusedKey, 0);
        }
        found = now - entry.requestedAt > idleTime ? m_entries.erase(found) : std::next(found);
    }
    std::ranges::stable_sort(candidates, std::ranges::greater(), [](const candidate &item) {
        return item.flow.used + item.flow.refused;
    });
    std::size_t sent = 0;
    for (const auto &[entry, flow] : candidates) {
        const std::size_t needed = (flow.used != 0 ? 1U : 0U) + (flow.refused != 0 ? 1U : 0U);
        entry->fits = sent + needed <= maxPublished;
        sent += entry->fits ? needed : 0;
        sums.setOwn(entry->useKey, entry->fits ? flow.used : 0);
        sums.setOwn(entry->refusedKey, entry->fits ? flow.refused : 0);
    }
}

bool quota_ledger::beginWait()
{
    if (m_waiting >= maxWaiting) {
        return false;
    }
    ++m_waiting;
    return true;
}

void quota_ledger::endWait()
{
    --m_waiting;
}

const quota_account *quota_ledger::find(std::string_view organisation) const
{
    const auto found = m_entries.find(organisation);
    return found == m_entries.end() ? nullptr : &found->second.account;
}

std::size_t quota_ledger::size() const
{
    return m_entries.size();
}

}
