#include "protocol/relayed_feed.h"

#include "protocol/packed_message.h"
#include "protocol/relayed_feed.capnp.h"

namespace lacewinglock
{

namespace
{

constexpr std::uint64_t maxMessageWords = 1U << 20U; // 8 MB: a configuration of a few thousand routes and keys, traversed twice.

}

std::string encodeFeed(const relayed_feed &feed)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::RelayedFeed>();
    root.setVersion(feed.version);
    root.setAgeMs(feed.ageMs);
    root.setStoreFailedMs(feed.storeFailureAgeMs ? static_cast<std::int32_t>(*feed.storeFailureAgeMs) : -1);
    auto rows = root.initRows(static_cast<unsigned>(feed.rows.size()));
    for (unsigned i = 0; i < rows.size(); ++i) {
        const auto &row = feed.rows[i];
        rows[i].setKey(row.key);
        rows[i].setValue(kj::arrayPtr(reinterpret_cast<const kj::byte *>(row.value.data()), row.value.size()));
        rows[i].setRemoved(row.removed);
    }
    return packMessage(message);
}

absl::StatusOr<relayed_feed> parseFeed(std::string_view body)
{
    relayed_feed out;
    const auto status = unpackMessage(body, "invalid relayed feed", maxMessageWords, [&out](capnp::MessageReader &message) {
        const auto root = message.getRoot<wire::RelayedFeed>();
        out = {.version = root.getVersion(), .ageMs = root.getAgeMs()};
        if (root.getStoreFailedMs() >= 0) {
            out.storeFailureAgeMs = static_cast<std::uint32_t>(root.getStoreFailedMs());
        }
        for (const auto row : root.getRows()) {
            const auto value = row.getValue();
            out.rows.push_back({row.getKey(), std::string(reinterpret_cast<const char *>(value.begin()), value.size()), row.getRemoved()});
        }
    });
    if (!status.ok()) {
        return status;
    }
    return out;
}

}
