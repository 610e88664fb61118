#include "serving/lease_runner.h"

#include "protocol/tunables.h"
#include "state/rendezvous.h"
#include "transport/boot_clock.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <deque>

namespace lacewinglock
{

namespace
{

constexpr std::string_view cellName = "main"; // A deployment has one cell.

}

lease_runner::lease_runner(edge_context &context, const std::string &duty)
    : m_context(context)
    , m_keeper(std::string(cellName), duty, absl::StrCat(context.settings.id, "~", context.incarnation))
    , m_holderId(context.settings.id)
{
}

task<void> lease_runner::run()
{
    bool releasing = false;
    while (!m_keeper.released()) {
        m_keeper.setRank(rendezvousRank(m_keeper.duty(), m_context.settings.id, m_context.memberIds()));
        std::vector<control_effect> effects;
        const instant now = bootNow();
        m_keeper.enterHistory(m_context.platform.store.history(), now);
        if (m_context.stopping && !releasing && m_permits.settled(now)) {
            releasing = true;
            m_keeper.release(now, effects);
        } else if (!peerHoldsLease()) {
            m_keeper.handle(tick_event{}, now, effects);
        }
        co_await perform(std::move(effects));
        updateHolding();
        co_await sleepFor(tunables::controlTick);
    }
}

// While the holder reports that it has the lease, reading the row would give no new information.
bool lease_runner::peerHoldsLease() const
{
    return !m_holding && std::ranges::any_of(m_context.peers, [](const auto &peer) {
        return peer.second.holdsLease;
    });
}

task<void> lease_runner::perform(std::vector<control_effect> effects)
{
    std::deque<control_effect> pending(std::make_move_iterator(effects.begin()), std::make_move_iterator(effects.end()));
    while (!pending.empty()) {
        const control_effect effect = std::move(pending.front());
        pending.pop_front();
        std::vector<control_effect> next;
        if (const auto *read = std::get_if<read_row_effect>(&effect)) {
            row_read_event event{.op = read->op, .result = absl::UnknownError("no request was sent to the store")};
            event.result = co_await m_context.platform.store.read(read->key);
            m_context.counters.count(metric_counter::StoreReads);
            noteHistory(m_context);
            m_keeper.enterHistory(m_context.platform.store.history(), bootNow());
            m_keeper.handle(event, bootNow(), next);
        } else if (const auto *commit = std::get_if<commit_effect>(&effect)) {
            commit_event event{.op = commit->op};
            event.outcome = co_await m_context.platform.store.commit(commit->change);
            m_context.counters.count(metric_counter::StoreWrites);
            noteHistory(m_context);
            m_keeper.enterHistory(m_context.platform.store.history(), bootNow());
            m_keeper.handle(event, bootNow(), next);
        }
        for (auto &effectToQueue : next) {
            pending.push_back(std::move(effectToQueue));
        }
    }
}

void lease_runner::updateHolding()
{
    const instant now = bootNow();
    const bool holding = m_keeper.grant(now).has_value();
    if (holding == m_holding) {
        return;
    }
    m_holding = holding;
    m_context.holdsLease = m_holding;
    auto line = m_context.line(m_holding ? "lease_won" : "lease_lost");
    line.add("duty", m_keeper.duty()).add("epoch", m_keeper.knownEpoch(now));
    m_context.log.write(line);
}

std::optional<std::uint64_t> lease_runner::epoch() const
{
    const auto grant = order_permits::valid(m_keeper, bootNow());
    return grant ? std::optional(grant->epoch) : std::nullopt;
}

std::optional<order_authority> lease_runner::authorize()
{
    if (m_context.stopping) {
        return std::nullopt;
    }
    const auto grant = m_permits.permit(m_keeper, bootNow());
    return grant ? std::optional(order_authority{m_holderId, grant->epoch}) : std::nullopt;
}

}
