#pragma once

#include "protocol/control.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lacewinglock
{

/// Acquires, renews and releases the lease of one duty of a cell (docs/design.md, section 7).
///
/// The keeper reads the row before each commit and makes the commit conditional on the version that it read. This process holds the
/// lease only if the row carries a nonce that this process wrote; the holder name alone is no proof.
class lease_keeper
{
public:
    /// Nonces derive from `holderId`, so it must differ between two starts of the same daemon.
    lease_keeper(const std::string &cell, std::string duty, std::string holderId);

    void handle(const control_event &event, instant now, std::vector<control_effect> &out);

    /// Returns the lease while it is valid by this daemon's own clock, otherwise nothing.
    std::optional<lease_grant> grant(instant now) const;

    /// Releases the lease for good: it is not acquired again, and grant() returns nothing from now on. The caller must first complete every
    /// effect that needs the lease.
    void release(instant now, std::vector<control_effect> &out);

    /// Returns true once the release that release() began is complete.
    bool released() const;

    /// Sets this daemon's position in the rendezvous hash order of the duty. A daemon with a higher rank waits longer before it takes a free
    /// lease.
    void setRank(std::size_t rank);

    /// Call before handle(): `history` is the number of the history that the store is in, 0 if it has none. In another history the row may be an older
    /// one, and epochs that were used may be missing.
    void enterHistory(std::uint64_t history, instant now);

    const std::string &duty() const;

    /// Holder and epoch: those of the grant while this daemon holds the lease, otherwise those of the row as last read. The holder is empty when nobody
    /// holds the lease.
    const std::string &knownHolder(instant now) const;
    std::uint64_t knownEpoch(instant now) const;

private:
    struct lease_row
    {
        std::string holder;
        std::uint64_t epoch = 0;
        std::uint64_t renewals = 0;
        std::string nonce;
    };

    /// A commit of this process that took effect or still may.
    struct own_commit
    {
        instant sentAt;
        std::uint64_t epoch = 0;
        std::uint64_t rowVersion = 0; ///< Row version that the commit is conditional on.
        bool release = false; ///< The commit releases the lease.
    };

    void onTick(instant now, std::vector<control_effect> &out);
    void onRead(const row_read_event &event, instant now, std::vector<control_effect> &out);
    void onCommit(const commit_event &event, instant now, std::vector<control_effect> &out);
    void sendRead(instant now, std::vector<control_effect> &out);
    void sendCommit(const lease_row &next, std::uint64_t rowVersion, instant now, std::vector<control_effect> &out);
    void applyOwnCommit(const own_commit &commit, instant now);
    void recordRow(const std::optional<row> &found, instant now);
    void advance(instant now, std::vector<control_effect> &out);
    bool mayTakeOver(instant now) const;

    std::string m_key;
    std::string m_duty;
    std::string m_holderId;
    std::size_t m_rank = 0;

    op_id m_nextOp = 1;
    std::optional<op_id> m_pendingOp;
    instant m_readSentAt;
    instant m_nextReadAt;
    instant m_nextCommitAt;
    std::string m_inFlightNonce; ///< Nonce of the commit that awaits its answer.
    std::uint64_t m_commitCount = 0;

    std::uint64_t m_rowVersion = 0; ///< 0 when the row is absent.
    lease_row m_row;
    std::optional<instant> m_unchangedSince; ///< When the first read returned the current row version.
    std::map<std::string, own_commit> m_ownCommits; ///< By nonce.

    std::uint64_t m_history = 0;
    std::optional<instant> m_enteredAt; ///< When this history was met; none if the store has no histories.
    bool m_hasChanged = false; ///< Another history was met before.
    instant m_reclaimUntil; ///< End of the lease that this process held in the history before.

    bool m_held = false;
    bool m_draining = false;
    bool m_released = false;
    lease_grant m_grant;
};

}
