#include "coordination/config_follower.h"

#include "coordination/config_rows.h"
#include "protocol/invariant.h"
#include "protocol/tunables.h"

#include <algorithm>
#include <glog/logging.h>

namespace lacewinglock
{

namespace
{

/// Patch rows read at once. It bounds the load on the table service when a daemon starts far behind.
constexpr std::size_t maxPatchReads = 32;
/// Patches kept for peers; the next older peer gets the whole document.
constexpr std::size_t maxRecentSteps = 64;
constexpr std::size_t maxPendingSteps = 1024;

/// Whether a request sent at this time is recent enough to prove freshness.
bool withinWindow(instant sentAt, instant now)
{
    return now - sentAt < tunables::freshnessWindow;
}

}

config_follower::config_follower(config_holder &holder)
    : m_holder(holder)
    , m_highestKnown(holder.current()->parsed.version)
{
}

void config_follower::handle(const control_event &event, instant now, std::vector<control_effect> &out)
{
    if (const auto *read = std::get_if<row_read_event>(&event)) {
        if (read->op == m_headOp && m_headOp != 0) {
            takeHead(*read);
        } else if (const auto found = m_patchOps.find(read->op); found != m_patchOps.end()) {
            const std::uint64_t version = found->second;
            m_patchOps.erase(found);
            takePatch(*read, version);
        }
    }
    const bool pollDue = !m_headReadAt || now - m_headSentAt >= tunables::configPollInterval;
    if (std::holds_alternative<tick_event>(event) && m_headOp == 0 && pollDue) {
        m_headOp = m_nextOp++;
        m_headSentAt = now;
        out.emplace_back(read_row_effect{.op = m_headOp, .key = configHeadKey});
    }
    applySteps();
    requestPatches(out);
    updateAnchor(now);
}

void config_follower::takeHead(const row_read_event &event)
{
    m_headOp = 0;
    if (!event.result.ok()) {
        return;
    }
    const auto version = *event.result ? parseConfigHead((*event.result)->value) : absl::StatusOr<std::uint64_t>(0);
    if (!version.ok()) {
        LOG(ERROR) << version.status().message();
        return;
    }
    // Reads of the head run one after another, so a lower version is an old answer and proves nothing.
    if (*version < m_lastHead) {
        LOG(ERROR) << "head of the configuration went back from " << m_lastHead << " to " << *version << "; the answer is ignored";
        return;
    }
    m_lastHead = *version;
    m_headReadAt = m_headSentAt;
    m_highestKnown = std::max(m_highestKnown, *version);
    m_fetchDue = true;
}

void config_follower::takePatch(const row_read_event &event, std::uint64_t version)
{
    if (!event.result.ok() || !*event.result) {
        return;
    }
    auto content = parseConfigPatch(configPatchKey(version), (*event.result)->value);
    if (!content.ok()) {
        LOG(ERROR) << content.status().message();
        return;
    }
    m_pending.emplace(version, config_step{.version = version, .body = std::move(content->patch)});
}

/// Reads missing patch rows after each answer for the head and after each step forward, so that a patch that cannot be installed is not
/// fetched in a tight loop. During an outage of the table service peers offer the steps.
void config_follower::requestPatches(std::vector<control_effect> &out)
{
    if (!m_fetchDue || !m_patchOps.empty()) {
        return;
    }
    m_fetchDue = false;
    for (std::uint64_t version = held() + 1; version <= m_highestKnown && m_patchOps.size() < maxPatchReads; ++version) {
        if (!m_pending.contains(version)) {
            m_patchOps.emplace(m_nextOp, version);
            out.emplace_back(read_row_effect{.op = m_nextOp++, .key = configPatchKey(version)});
        }
    }
}

/// Applies the contiguous run of pending steps at once, because the check of a whole document costs more than many merges.
void config_follower::applySteps()
{
    const auto current = m_holder.current();
    std::uint64_t version = current->parsed.version;
    m_pending.erase(m_pending.begin(), m_pending.upper_bound(version));
    // 1. Start from the last whole document, if there is one.
    nlohmann::json document;
    auto next = m_pending.end();
    for (auto step = m_pending.begin(); step != m_pending.end(); ++step) {
        if (step->second.whole) {
            next = step;
        }
    }
    if (next != m_pending.end()) {
        document = next->second.body;
        version = next->first;
        ++next;
        m_recent.clear();
    } else {
        next = m_pending.find(version + 1);
        if (next == m_pending.end()) {
            return;
        }
        document = current->document.is_object() ? current->document : nlohmann::json::object();
    }
    // 2. Merge the patches that follow without a gap.
    for (; next != m_pending.end() && next->first == version + 1; ++next) {
        document.merge_patch(next->second.body);
        version = next->first;
        m_recent.push_back(next->second);
        if (m_recent.size() > maxRecentSteps) {
            m_recent.pop_front();
        }
    }
    // 3. Check and install the result.
    m_pending.erase(m_pending.begin(), next);
    install(std::move(document), version);
}

void config_follower::install(nlohmann::json document, std::uint64_t version)
{
    auto parsed = parseConfiguration(document, version);
    if (!parsed.ok()) {
        m_recent.clear();
        LOG(ERROR) << "configuration version " << version << " cannot be installed: " << parsed.status().message();
        return;
    }
    const std::uint64_t before = held();
    m_holder.install({.parsed = *std::move(parsed), .document = std::move(document)});
    m_fetchDue = m_fetchDue || held() > before;
    checkInvariant(held() >= before && held() >= version, invariant::ConfigurationNeverReverts, "held version fell or a step was lost");
}

void config_follower::updateAnchor(instant now)
{
    m_anchored = m_anchored || fresh(now);
}

void config_follower::notePeer(std::string_view peerId, std::uint64_t version, instant requestSentAt)
{
    m_highestKnown = std::max(m_highestKnown, version);
    const auto [entry, added] = m_peers.try_emplace(std::string(peerId));
    if (added || requestSentAt >= entry->second.heardSince) {
        entry->second = {.version = version, .heardSince = requestSentAt};
    }
}

void config_follower::setRoster(std::vector<std::string> members, std::string selfId)
{
    m_roster = {std::make_move_iterator(members.begin()), std::make_move_iterator(members.end())};
    m_selfId = std::move(selfId);
    std::erase_if(m_peers, [this](const auto &peer) {
        return !m_roster.contains(peer.first);
    });
}

void config_follower::offerPatches(std::span<const config_step> steps)
{
    for (const config_step &step : steps) {
        m_highestKnown = std::max(m_highestKnown, step.version);
        if (step.version <= held() || m_pending.size() >= maxPendingSteps) {
            continue;
        }
        // A whole document replaces a patch of the same version, never the other way round.
        if (step.whole) {
            m_pending.insert_or_assign(step.version, step);
        } else {
            m_pending.emplace(step.version, step);
        }
    }
    applySteps();
}

bool config_follower::fresh(instant now) const
{
    if (held() < m_highestKnown) {
        return false;
    }
    return (m_headReadAt && withinWindow(*m_headReadAt, now)) || hearsMajority(now);
}

/// Counts members heard within the window. Members at version 0 have not caught up since their start and prove nothing, nor does this daemon
/// itself until it has caught up: whoever forgets what it held would let two majorities intersect in nothing.
bool config_follower::hearsMajority(instant now) const
{
    if (!isMember()) {
        return false;
    }
    const auto heard = std::ranges::count_if(m_peers, [&](const auto &peer) {
        return peer.first != m_selfId && m_roster.contains(peer.first) && peer.second.version > 0 && withinWindow(peer.second.heardSince, now);
    });
    return static_cast<std::size_t>(heard) + (m_anchored ? 1 : 0) >= majority();
}

bool config_follower::inForce(std::uint64_t version) const
{
    if (!isMember() || !m_anchored || held() < version) {
        return false;
    }
    const auto holding = std::ranges::count_if(m_peers, [&](const auto &peer) {
        return peer.first != m_selfId && m_roster.contains(peer.first) && peer.second.version >= version;
    });
    return static_cast<std::size_t>(holding) + 1 >= majority();
}

std::uint64_t config_follower::highestKnown() const
{
    return m_highestKnown;
}

std::uint64_t config_follower::advertisedVersion() const
{
    return m_anchored ? held() : 0;
}

std::vector<config_step> config_follower::stepsSince(std::uint64_t version) const
{
    const auto current = m_holder.current();
    if (version >= current->parsed.version) {
        return {};
    }
    if (m_recent.empty() || m_recent.front().version > version + 1) {
        return {{.version = current->parsed.version, .body = current->document, .whole = true}};
    }
    std::vector<config_step> steps;
    std::ranges::copy_if(m_recent, std::back_inserter(steps), [&](const config_step &step) {
        return step.version > version;
    });
    return steps;
}

std::size_t config_follower::majority() const
{
    return m_roster.size() / 2 + 1;
}

bool config_follower::isMember() const
{
    return m_roster.contains(m_selfId);
}

std::uint64_t config_follower::held() const
{
    return m_holder.current()->parsed.version;
}

}
