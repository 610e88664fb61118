#include "serving/store_batch.h"

namespace lacewinglock
{

namespace
{

// Limits of one transaction of the store: 100 entries and 1 MB as sent, where a value takes a third more than its length, and the names of its fields.
constexpr std::size_t maxEntries = 100;
constexpr std::size_t maxBytes = 600U << 10U;
constexpr std::size_t bytesPerEntry = 100;

}

task<commit_outcome> commitInParts(edge_context &context, std::span<const row_write> writes)
{
    while (!writes.empty()) {
        transaction part;
        std::size_t bytes = 0;
        for (const auto &write : writes) {
            const std::size_t size = write.key.size() + (write.value ? write.value->size() : 0) + bytesPerEntry;
            if (part.writes.size() == maxEntries || (!part.writes.empty() && bytes + size > maxBytes)) {
                break;
            }
            bytes += size;
            part.writes.push_back(write);
        }
        writes = writes.subspan(part.writes.size());
        const auto outcome = co_await context.platform.store.commit(std::move(part));
        context.counters.count(metric_counter::StoreWrites);
        if (outcome != commit_outcome::Committed) {
            context.counters.count(metric_counter::StoreErrors);
            co_return outcome;
        }
    }
    co_return commit_outcome::Committed;
}

}
