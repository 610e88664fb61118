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

/// Usage records of finished requests that are not yet committed to the table service, and replicas of such records of other daemons. A peer in
/// another failure domain holds a replica of each record. Thread-safe.
class usage_ledger
{
public:
    /// Sends a record to a peer and returns true when the peer has stored it. Set by the node.
    using replicate_function = std::function<bool(const usage_record &)>;

    void setReplicate(replicate_function replicate);
    /// Sets the writer, the namespace of the record numbers. Each start of a daemon must use a different one.
    void setWriter(std::string writer);

    /// Stores the record here and at a peer before it returns. Returns false when no peer stored it; it stays stored here in that case.
    bool add(const usage_record &record);

    /// Removes and returns all own records, for one batch.
    std::vector<usage_record> take();
    std::size_t size() const;

    /// Lets peers delete their replicas of these requests. Called only after the commit of their batch is confirmed.
    using release_function = std::function<void(const std::vector<std::string> &requestIds)>;
    void setRelease(release_function release);
    /// Calls the release function for records that are committed to the table service.
    void releaseCommitted(std::span<const usage_record> records) const;

    /// Stores replicas of the records of another daemon, until it releases them or leaves the roster.
    void storeReplicas(std::string_view owner, std::vector<usage_record> records);
    void releaseReplicas(std::string_view owner, std::span<const std::string> requestIds);
    std::size_t replicaCount() const;
    /// Moves replicas to the orphans, which this daemon commits itself, when `isMember` is false for their owner or when an earlier incarnation
    /// of the owner wrote them. Returns their number.
    std::size_t adoptOrphans(const std::function<bool(std::string_view owner)> &isMember);
    /// Removes and returns the orphans of one writer; empty when there are none.
    std::vector<usage_record> takeOrphans();
    std::size_t orphanCount() const;

private:
    struct owner_replicas
    {
        std::string writer; ///< Latest incarnation of the owner.
        std::map<std::string, usage_record, std::less<>> records; ///< By request ID.
    };

    mutable std::mutex m_mutex;
    std::vector<usage_record> m_records;
    std::string m_writer;
    std::uint64_t m_lastNumber = 0;
    std::map<std::string, owner_replicas, std::less<>> m_replicas; // By owner.
    std::map<std::string, std::vector<usage_record>> m_orphans; // By writer.
    replicate_function m_replicate;
    release_function m_release;
};

}
