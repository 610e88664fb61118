#include "coordination/lease_keeper.h"

#include "protocol/tunables.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <type_traits>
#include <utility>

namespace lacewinglock
{

namespace
{

constexpr int historyEpochBits = 20; // Epochs of a history that can be used before those of the next one begin.

}

lease_keeper::lease_keeper(const std::string &cell, std::string duty, std::string holderId)
    : m_key("lease/" + cell + "/" + duty)
    , m_duty(std::move(duty))
    , m_holderId(std::move(holderId))
{
}

void lease_keeper::handle(const control_event &event, instant now, std::vector<control_effect> &out)
{
    std::visit(
        [&](const auto &typed) {
            using type = std::decay_t<decltype(typed)>;
            if constexpr (std::is_same_v<type, tick_event>) {
                onTick(now, out);
            } else if constexpr (std::is_same_v<type, row_read_event>) {
                onRead(typed, now, out);
            } else if constexpr (std::is_same_v<type, commit_event>) {
                onCommit(typed, now, out);
            }
        },
        event);
}

std::optional<lease_grant> lease_keeper::grant(instant now) const
{
    if (!m_held || m_draining || now >= m_grant.validUntil) {
        return std::nullopt;
    }
    return m_grant;
}

void lease_keeper::release(instant now, std::vector<control_effect> &out)
{
    m_draining = true;
    m_nextCommitAt = now;
    // A commit in flight may still acquire the lease, so the release waits for its answer.
    if (!m_pendingOp && m_ownCommits.empty()) {
        m_released = true;
    }
    if (!m_released && !m_pendingOp) {
        sendRead(now, out);
    }
}

bool lease_keeper::released() const
{
    return m_released;
}

void lease_keeper::setRank(std::size_t rank)
{
    m_rank = rank;
}

// A holder whose lease has not ended may take it again at once: nobody else can have it, and all others wait for a whole term in the new history.
void lease_keeper::enterHistory(std::uint64_t history, instant now)
{
    if (history == m_history) {
        return;
    }
    m_enteredAt = now;
    if (m_history != 0) {
        m_hasChanged = true;
        m_reclaimUntil = m_held ? m_grant.validUntil : instant{};
        m_nextReadAt = now;
        m_nextCommitAt = now;
    }
    m_history = history;
}

const std::string &lease_keeper::duty() const
{
    return m_duty;
}

const std::string &lease_keeper::knownHolder(instant now) const
{
    return grant(now) ? m_holderId : m_row.holder;
}

std::uint64_t lease_keeper::knownEpoch(instant now) const
{
    const auto held = grant(now);
    return held ? held->epoch : m_row.epoch;
}

void lease_keeper::onTick(instant now, std::vector<control_effect> &out)
{
    if (!m_pendingOp && !m_released && now >= m_nextReadAt) {
        sendRead(now, out);
    }
}

void lease_keeper::sendRead(instant now, std::vector<control_effect> &out)
{
    m_pendingOp = m_nextOp++;
    m_readSentAt = now;
    m_nextReadAt = now + (m_held ? tunables::leaseRenewInterval : tunables::leaseReadInterval);
    out.emplace_back(read_row_effect{.op = *m_pendingOp, .key = m_key});
}

void lease_keeper::onRead(const row_read_event &event, instant now, std::vector<control_effect> &out)
{
    if (m_pendingOp != event.op) {
        return;
    }
    m_pendingOp.reset();
    if (!event.result.ok()) {
        m_nextReadAt = now + tunables::leaseReadInterval;
        return;
    }
    recordRow(*event.result, now);
    advance(now, out);
}

// Stores the row's content. If the row carries a nonce of this process, the commit took effect although its answer may have been lost.
void lease_keeper::recordRow(const std::optional<row> &found, instant now)
{
    const std::uint64_t version = found ? found->version : 0;
    if (!m_unchangedSince || version != m_rowVersion) {
        m_unchangedSince = now;
    }
    m_rowVersion = version;
    m_row = {};
    if (found) {
        if (const auto json = nlohmann::json::parse(found->value, nullptr, false); json.is_object()) {
            m_row.holder = json.value("holder", "");
            m_row.epoch = json.value("epoch", std::uint64_t{0});
            m_row.renewals = json.value("renewals", std::uint64_t{0});
            m_row.nonce = json.value("nonce", "");
        }
    }
    if (const auto own = m_ownCommits.find(m_row.nonce); own != m_ownCommits.end()) {
        applyOwnCommit(own->second, now);
    } else {
        m_held = false;
    }
    // Commits that were conditional on an older version can no longer take effect.
    std::erase_if(m_ownCommits, [&](const auto &item) {
        return item.first != m_row.nonce && item.second.rowVersion < m_rowVersion;
    });
}

// Commits the next state of the lease:
//  1. While draining, release the lease.
//  2. Renew a lease that this process holds.
//  3. Take over a lease that is free or has expired.
// Commits are rate-limited, because the read that resolves a lost answer would otherwise trigger the next commit at once.
void lease_keeper::advance(instant now, std::vector<control_effect> &out)
{
    if (now < m_nextCommitAt) {
        return;
    }
    lease_row next{.holder = m_holderId, .epoch = m_row.epoch, .renewals = m_row.renewals + 1};
    if (m_draining) {
        if (!m_held) {
            // A commit without an answer that is conditional on this version may still take effect. Successors then wait until it expires.
            m_released = true;
            return;
        }
        next.holder.clear();
        sendCommit(next, m_rowVersion, now, out);
        return;
    }
    if (m_held) {
        sendCommit(next, m_rowVersion, now, out);
        return;
    }
    if (mayTakeOver(now)) {
        next.epoch = std::max(m_row.epoch, m_history << historyEpochBits) + 1;
        next.renewals = 0;
        sendCommit(next, m_rowVersion, now, out);
    }
}

// The row counts as unchanged up to the time when the latest read was sent, not answered: it may have changed while the answer was on its way.
bool lease_keeper::mayTakeOver(instant now) const
{
    if (now < m_reclaimUntil) {
        return true;
    }
    const duration rankDelay = tunables::leaseRankDelay * static_cast<int>(m_rank);
    // A lease that an older row shows as free may have been acquired since, in the history before. That a row is older is unknown to a process that has
    // met one history only; without a row, the system starts for the first time.
    const bool mayBeOlder = m_enteredAt && (m_hasChanged || m_rowVersion != 0) && m_readSentAt < *m_enteredAt + tunables::leaseTerm;
    const bool isFree = m_row.holder.empty() && !mayBeOlder;
    const duration wait = isFree ? rankDelay : tunables::leaseTerm + rankDelay;
    return m_unchangedSince && (wait == duration::zero() || m_readSentAt >= *m_unchangedSince + wait);
}

void lease_keeper::sendCommit(const lease_row &next, std::uint64_t rowVersion, instant now, std::vector<control_effect> &out)
{
    m_pendingOp = m_nextOp++;
    m_nextCommitAt = now + (m_held && !m_draining ? tunables::leaseRenewInterval : tunables::leaseReadInterval);
    m_inFlightNonce = m_holderId + "#" + std::to_string(++m_commitCount);
    m_ownCommits[m_inFlightNonce] = {.sentAt = now, .epoch = next.epoch, .rowVersion = rowVersion, .release = next.holder.empty()};
    const nlohmann::json value = {{"holder", next.holder}, {"epoch", next.epoch}, {"renewals", next.renewals}, {"nonce", m_inFlightNonce}};
    out.emplace_back(commit_effect{
        .op = *m_pendingOp,
        .change = {.conditions = {{.key = m_key, .version = rowVersion}}, .writes = {{.key = m_key, .value = value.dump()}}},
    });
}

void lease_keeper::onCommit(const commit_event &event, instant now, std::vector<control_effect> &out)
{
    if (m_pendingOp != event.op) {
        return;
    }
    m_pendingOp.reset();
    switch (event.outcome) {
    case commit_outcome::Committed:
        applyOwnCommit(m_ownCommits.at(m_inFlightNonce), now);
        if (m_draining && !m_released) {
            sendRead(now, out);
        }
        break;
    case commit_outcome::Conflict:
        m_ownCommits.erase(m_inFlightNonce);
        sendRead(now, out);
        break;
    case commit_outcome::Unavailable:
        m_ownCommits.erase(m_inFlightNonce);
        m_nextReadAt = now + tunables::leaseReadInterval;
        m_nextCommitAt = m_nextReadAt;
        break;
    case commit_outcome::Unknown:
        sendRead(now, out);
        break;
    }
}

void lease_keeper::applyOwnCommit(const own_commit &commit, instant now)
{
    if (commit.release) {
        m_held = false;
        m_released = true;
        return;
    }
    if (!m_held || m_grant.epoch != commit.epoch) {
        m_grant.acquiredAt = m_grant.epoch == commit.epoch ? m_grant.acquiredAt : now;
    }
    m_held = true;
    m_grant.epoch = commit.epoch;
    m_grant.validUntil = commit.sentAt + tunables::leaseTerm - tunables::leaseDriftMargin;
    m_nextReadAt = commit.sentAt + duration(tunables::leaseRenewInterval);
}

}
