#include "protocol/relayed_feed.h"

#include "protocol/relayed_feed.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

namespace lacewinglock
{

namespace
{

constexpr std::uint64_t maxMessageWords = 1U << 20U; // 8 MB: a configuration of some thousand routes and keys, read twice.

}

std::string encodeFeed(const relayed_feed &feed)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::RelayedFeed>();
    root.setVersion(feed.version);
    root.setAgeMs(feed.ageMs);
    root.setStoreFailedMs(feed.storeFailedMs ? static_cast<std::int32_t>(*feed.storeFailedMs) : -1);
    auto rows = root.initRows(static_cast<unsigned>(feed.rows.size()));
    for (unsigned i = 0; i < rows.size(); ++i) {
        const auto &row = feed.rows[i];
        rows[i].setKey(row.key);
        rows[i].setValue(kj::arrayPtr(reinterpret_cast<const kj::byte *>(row.value.data()), row.value.size()));
        rows[i].setRemoved(row.removed);
    }
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto bytes = out.getArray();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

absl::StatusOr<relayed_feed> parseFeed(std::string_view body)
{
    try {
        kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte *>(body.data()), body.size()));
        capnp::PackedMessageReader message(in, capnp::ReaderOptions{.traversalLimitInWords = maxMessageWords});
        const auto root = message.getRoot<wire::RelayedFeed>();
        relayed_feed out{.version = root.getVersion(), .ageMs = root.getAgeMs()};
        if (root.getStoreFailedMs() >= 0) {
            out.storeFailedMs = static_cast<std::uint32_t>(root.getStoreFailedMs());
        }
        for (const auto row : root.getRows()) {
            const auto value = row.getValue();
            out.rows.push_back({row.getKey(), std::string(reinterpret_cast<const char *>(value.begin()), value.size()), row.getRemoved()});
        }
        return out;
    } catch (const kj::Exception &error) {
        return absl::InvalidArgumentError("body is no relayed feed: " + std::string(error.getDescription().cStr()));
    }
}

}
