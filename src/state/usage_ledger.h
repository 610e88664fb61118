#pragma once

#include "protocol/usage_record.h"

#include <functional>
#include <mutex>
#include <string>
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

    /// Keeps the record here and at a peer before it returns. Returns false when no peer could take it; the record is kept here all the same.
    bool add(const usage_record &record);

    /// Takes all records for one batch. The caller puts them back with `restore` when the batch certainly did not commit.
    std::vector<usage_record> take();
    void restore(std::vector<usage_record> records);
    std::size_t size() const;

private:
    mutable std::mutex m_mutex;
    std::vector<usage_record> m_records;
    replicate_function m_replicate;
};

}
