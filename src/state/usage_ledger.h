#pragma once

#include "protocol/usage_record.h"

#include <functional>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewinglock
{

/// Usage of finished requests that is not yet in the table service. A peer in another failure domain holds a copy of each record.
class usage_ledger
{
public:
    /// Sends a record to a peer; returns true when the peer holds it. Set by the node.
    using replicate_function = std::function<bool(const usage_record &)>;

    void setReplicate(replicate_function replicate);
    /// The name under which records are numbered; it must differ between two starts of a daemon.
    void setWriter(std::string writer);

    /// Keeps the record here and at a peer before it returns. Returns false when no peer could take it; the record is kept here all the same.
    bool add(const usage_record &record);

    /// Takes all records for one batch.
    std::vector<usage_record> take();
    std::size_t size() const;

    /// Tells the peers that these records are in the table service. Called after their batch certainly committed.
    using release_function = std::function<void(const std::vector<std::string> &requestIds)>;
    void setRelease(release_function release);
    void noteCommitted(std::span<const usage_record> records) const;

    /// Copies held for a peer, until it releases them or leaves the roster.
    void hold(std::string_view owner, std::vector<usage_record> records);
    void releaseHeld(std::string_view owner, std::span<const std::string> requestIds);
    std::size_t heldCount() const;
    /// Sets the copies of owners that `isMember` does not know, and of former processes of an owner, aside for this daemon to write.
    /// Returns their number.
    std::size_t adoptOrphans(const std::function<bool(std::string_view owner)> &isMember);
    /// Takes the orphaned copies of one writer; empty when there are none.
    std::vector<usage_record> takeOrphans();
    std::size_t orphanCount() const;

private:
    struct held_copies
    {
        std::string writer; ///< The owner's latest process.
        std::map<std::string, usage_record, std::less<>> records; ///< By request.
    };

    mutable std::mutex m_mutex;
    std::vector<usage_record> m_records;
    std::string m_writer;
    std::uint64_t m_lastNumber = 0;
    std::map<std::string, held_copies, std::less<>> m_held; // By owner.
    std::map<std::string, std::vector<usage_record>> m_orphans; // By writer.
    replicate_function m_replicate;
    release_function m_release;
};

}
