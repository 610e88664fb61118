#include "protocol/summary.h"

#include "protocol/packed_message.h"
#include "protocol/summary.capnp.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

constexpr std::uint64_t maxMessageWords = 32U << 10U; // 256 KB, far more than a datagram holds; limits what a hostile datagram makes the decoder traverse.

}

std::string encodeSummary(const daemon_summary &summary)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::Summary>();
    root.setSender(summary.sender);
    root.setSequence(summary.sequence);
    root.setIncarnation(summary.incarnation);
    root.setCallerAddress(summary.callerAddress);
    root.setFailureDomain(summary.failureDomain);
    root.setServing(summary.serving);
    root.setConfigVersion(summary.configVersion);
    root.setWallMs(summary.wallMs);
    root.setHoldsLease(summary.holdsLease);
    root.setCapacity(static_cast<float>(summary.capacity));
    auto loads = root.initLoads(static_cast<unsigned>(summary.loads.size()));
    for (unsigned i = 0; i < loads.size(); ++i) {
        const auto &load = summary.loads[i];
        loads[i].setEndpoint(load.endpoint);
        loads[i].setRunning(static_cast<std::uint16_t>(std::clamp(load.running, 0, 65535)));
        loads[i].setPromptTokens(static_cast<std::uint32_t>(std::clamp(load.promptTokens, 0.0, 4e9)));
    }
    auto prefixBlocks = root.initParts(static_cast<unsigned>(summary.prefixBlocks.size()));
    for (unsigned i = 0; i < prefixBlocks.size(); ++i) {
        prefixBlocks[i].setPart(summary.prefixBlocks[i].prefixBlock);
        prefixBlocks[i].setEngine(summary.prefixBlocks[i].engine);
        prefixBlocks[i].setTokens(static_cast<std::uint32_t>(std::clamp(summary.prefixBlocks[i].tokens, 0.0, 4e9)));
        prefixBlocks[i].setUnshared(static_cast<std::uint32_t>(std::clamp(summary.prefixBlocks[i].unsharedTokens, 0.0, 4e9)));
    }
    auto suspects = root.initSuspects(static_cast<unsigned>(summary.suspects.size()));
    for (unsigned i = 0; i < suspects.size(); ++i) {
        suspects[i].setFingerprint(summary.suspects[i].fingerprint);
        suspects[i].setCrashes(static_cast<std::uint16_t>(summary.suspects[i].crashes));
        suspects[i].setAgeMs(static_cast<std::uint32_t>(std::clamp<std::int64_t>(summary.suspects[i].ageMs, 0, 4'000'000'000)));
    }
    auto reserved = root.initReserved(static_cast<unsigned>(summary.reserved.size()));
    for (unsigned i = 0; i < reserved.size(); ++i) {
        reserved.set(i, summary.reserved[i]);
    }
    return packMessage(message);
}

absl::StatusOr<daemon_summary> parseSummary(std::string_view datagram)
{
    daemon_summary out;
    const auto status = unpackMessage(datagram, "invalid summary datagram", maxMessageWords, [&out](capnp::MessageReader &message) {
        const auto root = message.getRoot<wire::Summary>();
        out = {
            .sender = root.getSender(),
            .sequence = root.getSequence(),
            .incarnation = root.getIncarnation(),
            .callerAddress = root.getCallerAddress(),
            .failureDomain = root.getFailureDomain(),
            .serving = root.getServing(),
            .holdsLease = root.getHoldsLease(),
            .configVersion = root.getConfigVersion(),
            .wallMs = root.getWallMs(),
            .capacity = root.getCapacity(),
        };
        for (const auto load : root.getLoads()) {
            out.loads.push_back({load.getEndpoint(), load.getRunning(), static_cast<double>(load.getPromptTokens())});
        }
        for (const auto block : root.getParts()) {
            out.prefixBlocks.push_back({block.getPart(), block.getEngine(), static_cast<double>(block.getTokens()), static_cast<double>(block.getUnshared())});
        }
        for (const auto suspect : root.getSuspects()) {
            out.suspects.push_back({suspect.getFingerprint(), suspect.getCrashes(), suspect.getAgeMs()});
        }
        for (const auto engine : root.getReserved()) {
            out.reserved.push_back(engine);
        }
    });
    if (!status.ok()) {
        return status;
    }
    return out;
}

}
