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
/// The row is read before each commit, so that the commit's condition names the version just seen. The lease belongs to this
/// process only when the row carries a nonce that this process wrote; the holder name alone proves nothing.
class lease_keeper
{
public:
    /// `holderId` must differ between two starts of the same daemon, because nonces derive from it.
    lease_keeper(const std::string &cell, std::string duty, std::string holderId);

    void handle(const control_event &event, instant now, std::vector<control_effect> &out);

    /// The lease, while it is valid on this daemon's own clock.
    std::optional<lease_grant> grant(instant now) const;

    /// Gives the lease up and acquires no other. The caller must have finished all its effects; grant() is empty from here on.
    void release(instant now, std::vector<control_effect> &out);

    /// True when the released lease has been handed over, or there was none.
    bool released() const;

    /// Place in the rendezvous order of the duty: a daemon with a higher rank waits longer before it takes a free lease.
    void setRank(std::size_t rank);

    const std::string &duty() const;

    /// Holder and epoch as this daemon last read them in the row; the holder is empty when nobody holds the lease.
    const std::string &seenHolder() const;
    std::uint64_t seenEpoch() const;

private:
    struct content
    {
        std::string holder;
        std::uint64_t epoch = 0;
        std::uint64_t renewals = 0;
        std::string nonce;
    };

    /// A commit of this process that may be in the row, by nonce.
    struct own_commit
    {
        instant sentAt;
        std::uint64_t epoch = 0;
        std::uint64_t rowVersion = 0; ///< The version it was conditional on.
        bool release = false;
    };

    void onTick(instant now, std::vector<control_effect> &out);
    void onRead(const row_read_event &event, instant now, std::vector<control_effect> &out);
    void onCommit(const commit_event &event, instant now, std::vector<control_effect> &out);
    void sendRead(instant now, std::vector<control_effect> &out);
    void sendCommit(const content &next, std::uint64_t rowVersion, instant now, std::vector<control_effect> &out);
    void adopt(const own_commit &commit, instant now);
    void observe(const std::optional<row> &seen, instant now);
    void decide(instant now, std::vector<control_effect> &out);
    bool maySucceed() const;

    std::string m_key;
    std::string m_duty;
    std::string m_holderId;
    std::size_t m_rank = 0;

    op_id m_nextOp = 1;
    std::optional<op_id> m_pendingOp;
    instant m_readSentAt;
    instant m_nextReadAt;
    instant m_nextCommitAt;
    std::string m_sentNonce; ///< Nonce of the commit in flight.
    std::uint64_t m_commitCount = 0;

    std::uint64_t m_rowVersion = 0; ///< 0 when the row is absent.
    content m_row;
    std::optional<instant> m_unchangedSince; ///< Arrival of the first read that showed this version of the row.
    std::map<std::string, own_commit> m_ownCommits;

    bool m_held = false;
    bool m_draining = false;
    bool m_released = false;
    lease_grant m_grant;
};

}
