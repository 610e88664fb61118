#include "protocol/exchange_messages.h"

#include "protocol/exchange.capnp.h"
#include "protocol/packed_message.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>
#include <span>

namespace lacewinglock
{

namespace
{

constexpr std::uint64_t maxMessageWords = 32U << 10U; // 256 KB, far more than a datagram holds; limits what a hostile datagram makes the decoder traverse.
constexpr std::uint32_t noSuccess = std::numeric_limits<std::uint32_t>::max(); // Default of Suspect.successAgeMs.

template <typename Integer>
Integer clampTo(double value)
{
    return static_cast<Integer>(
        std::clamp(value, static_cast<double>(std::numeric_limits<Integer>::min()), static_cast<double>(std::numeric_limits<Integer>::max())));
}

void write(wire::Position::Builder out, const table_position &position)
{
    out.setEpoch(position.epoch);
    out.setLoads(position.loads);
    out.setDaemons(position.daemons);
    out.setPrefixUses(position.prefixUses);
    out.setSums(position.sums);
}

table_position read(wire::Position::Reader in)
{
    return {.epoch = in.getEpoch(), .loads = in.getLoads(), .daemons = in.getDaemons(), .prefixUses = in.getPrefixUses(), .sums = in.getSums()};
}

constexpr int sumValueBits = 64 - sumKeyBits;
constexpr int droppedValueBits = 31 - sumValueBits; // Of the Float32 without its sign.

std::uint64_t packSum(const sum_entry &sum)
{
    const double value = std::isnan(sum.value) ? 0 : std::clamp(sum.value, 0.0, maxSum);
    const std::uint32_t rounded = std::bit_cast<std::uint32_t>(static_cast<float>(value)) + (1U << (droppedValueBits - 1));
    return sum.key << sumValueBits | rounded >> droppedValueBits;
}

template <typename Builder>
void writeSums(Builder out, std::span<const sum_entry> sums)
{
    for (unsigned i = 0; i < sums.size(); ++i) {
        out.set(i, packSum(sums[i]));
    }
}

// Leaves out values that no daemon sends, such as infinity.
template <typename Reader>
std::vector<sum_entry> readSums(Reader in)
{
    std::vector<sum_entry> out;
    out.reserve(in.size());
    for (const std::uint64_t word : in) {
        const auto bits = static_cast<std::uint32_t>(word & ((1ULL << sumValueBits) - 1)) << droppedValueBits;
        if (const double value = std::bit_cast<float>(bits); value <= 2 * maxSum) {
            out.push_back({word >> sumValueBits, value});
        }
    }
    return out;
}

// Writes the lists that summaries and tables have in common.
template <typename Builder, typename Message>
void writeLists(Builder root, const Message &message)
{
    auto loads = root.initLoads(static_cast<unsigned>(message.loads.size()));
    for (unsigned i = 0; i < loads.size(); ++i) {
        const auto &[endpoint, load] = message.loads[i];
        loads[i].setEndpoint(endpoint);
        loads[i].setRunning(clampTo<std::uint32_t>(load.running));
        loads[i].setPromptTokens(clampTo<std::uint32_t>(load.promptTokens));
    }
    auto uses = root.initPrefixUses(static_cast<unsigned>(message.prefixUses.size()));
    for (unsigned i = 0; i < uses.size(); ++i) {
        const auto &use = message.prefixUses[i];
        uses[i].setBlock(use.prefixBlock);
        uses[i].setEngine(use.engine);
        uses[i].setTokens(clampTo<std::uint32_t>(use.tokens));
        uses[i].setUnshared(clampTo<std::uint32_t>(use.unsharedTokens));
    }
    auto suspects = root.initSuspects(static_cast<unsigned>(message.suspects.size()));
    for (unsigned i = 0; i < suspects.size(); ++i) {
        suspects[i].setFingerprint(message.suspects[i].fingerprint);
        const auto &processes = message.suspects[i].crashed;
        auto crashed = suspects[i].initCrashed(static_cast<unsigned>(processes.size()));
        for (unsigned k = 0; k < crashed.size(); ++k) {
            crashed.set(k, processes[k]);
        }
        suspects[i].setAgeMs(clampTo<std::uint32_t>(static_cast<double>(message.suspects[i].ageMs)));
        const auto &ages = message.suspects[i].crashAgesMs;
        auto crashAges = suspects[i].initCrashAgesMs(static_cast<unsigned>(ages.size()));
        for (unsigned k = 0; k < crashAges.size(); ++k) {
            crashAges.set(k, clampTo<std::uint32_t>(static_cast<double>(ages[k])));
        }
        if (const auto success = message.suspects[i].successAgeMs) {
            suspects[i].setSuccessAgeMs(clampTo<std::uint32_t>(static_cast<double>(*success)));
        }
    }
    auto reserved = root.initReserved(static_cast<unsigned>(message.reserved.size()));
    for (unsigned i = 0; i < reserved.size(); ++i) {
        reserved.set(i, message.reserved[i]);
    }
    auto notices = root.initNotices(static_cast<unsigned>(message.notices.size()));
    for (unsigned i = 0; i < notices.size(); ++i) {
        const auto &notice = message.notices[i];
        notices[i].setEndpoint(notice.endpoint);
        notices[i].setAgeMs(clampTo<std::uint32_t>(static_cast<double>(notice.ageMs)));
        notices[i].setLeaving(notice.leaving);
        notices[i].setLimited(notice.limit.has_value());
        notices[i].setPerSecond(notice.limit.value_or(0));
    }
}

template <typename Reader, typename Message>
void readLists(Reader root, Message &out)
{
    for (const auto load : root.getLoads()) {
        const auto running = static_cast<int>(std::min<std::uint32_t>(load.getRunning(), std::numeric_limits<int>::max()));
        out.loads.push_back({load.getEndpoint(), {running, static_cast<double>(load.getPromptTokens())}});
    }
    for (const auto use : root.getPrefixUses()) {
        out.prefixUses.push_back({use.getBlock(), use.getEngine(), static_cast<double>(use.getTokens()), static_cast<double>(use.getUnshared())});
    }
    for (const auto suspect : root.getSuspects()) {
        auto &added = out.suspects.emplace_back(suspect_report{.fingerprint = suspect.getFingerprint(), .ageMs = suspect.getAgeMs()});
        for (const auto process : suspect.getCrashed()) {
            added.crashed.push_back(process);
        }
        for (const auto age : suspect.getCrashAgesMs()) {
            added.crashAgesMs.push_back(age);
        }
        if (suspect.getSuccessAgeMs() != noSuccess) {
            added.successAgeMs = suspect.getSuccessAgeMs();
        }
    }
    for (const auto engine : root.getReserved()) {
        out.reserved.push_back(engine);
    }
    for (const auto notice : root.getNotices()) {
        auto &added = out.notices.emplace_back(notice_report{.endpoint = notice.getEndpoint(), .leaving = notice.getLeaving(), .ageMs = notice.getAgeMs()});
        if (notice.getLimited() && std::isfinite(notice.getPerSecond()) && notice.getPerSecond() >= 0) {
            added.limit = notice.getPerSecond();
        }
    }
}

struct message_writer
{
    wire::ExchangeMessage::Builder root;

    void operator()(const daemon_summary &summary)
    {
        auto out = root.initSummary();
        out.setSender(summary.sender);
        out.setSequence(summary.sequence);
        out.setIncarnation(summary.incarnation);
        out.setServing(summary.serving);
        out.setHoldsLease(summary.holdsLease);
        out.setWallMs(summary.wallMs);
        out.setReportedBefore(summary.reportedBefore);
        writeLists(out, summary);
        if (const auto &sums = summary.sums) {
            writeSums(out.initSums(static_cast<unsigned>(sums->size())), *sums);
        }
        out.setSumsVersion(summary.sumsVersion);
        if (const auto &poll = summary.poll) {
            write(out.initPosition(), *poll);
        }
    }

    void operator()(const domain_poll &poll)
    {
        auto out = root.initPoll();
        out.setSender(poll.sender);
        write(out.initPosition(), poll.position);
    }

    void operator()(const sums_request &request)
    {
        root.initSumsRequest().setSender(request.sender);
    }

    void operator()(const exchange_tables &tables)
    {
        auto out = root.initTables();
        out.setSender(tables.sender);
        out.setSequence(tables.sequence);
        out.setWallMs(tables.wallMs);
        out.setAgeMs(clampTo<std::uint32_t>(static_cast<double>(tables.ageMs)));
        out.setComplete(tables.complete);
        out.setWarm(tables.warm);
        out.setStartLoads(tables.startLoads);
        out.setStartDaemons(tables.startDaemons);
        out.setStartSums(tables.startSums);
        out.setSumsComplete(tables.sumsComplete);
        write(out.initPosition(), tables.position);
        writeLists(out, tables);
        if (!tables.sums.empty()) {
            writeSums(out.initSums(static_cast<unsigned>(tables.sums.size())), tables.sums);
        }
        auto daemons = out.initDaemons(static_cast<unsigned>(tables.daemons.size()));
        for (unsigned i = 0; i < daemons.size(); ++i) {
            const auto &[id, status] = tables.daemons[i];
            daemons[i].setId(id);
            daemons[i].setAlive(status.has_value());
            if (status) {
                daemons[i].setServing(status->serving);
                daemons[i].setHoldsLease(status->holdsLease);
                daemons[i].setClockDifferenceMs(clampTo<std::int32_t>(static_cast<double>(status->clockDifferenceMs)));
                daemons[i].setReportedBefore(status->reportedBefore);
            }
        }
    }
};

daemon_summary readSummary(wire::Summary::Reader in)
{
    daemon_summary out{
        .sender = in.getSender(),
        .sequence = in.getSequence(),
        .incarnation = in.getIncarnation(),
        .serving = in.getServing(),
        .holdsLease = in.getHoldsLease(),
        .wallMs = in.getWallMs(),
        .reportedBefore = in.getReportedBefore(),
    };
    readLists(in, out);
    if (in.hasSums()) {
        out.sums = readSums(in.getSums());
    }
    out.sumsVersion = in.getSumsVersion();
    if (in.hasPosition()) {
        out.poll = read(in.getPosition());
    }
    return out;
}

exchange_tables readTables(wire::Tables::Reader in)
{
    exchange_tables out{
        .sender = in.getSender(),
        .sequence = in.getSequence(),
        .wallMs = in.getWallMs(),
        .ageMs = in.getAgeMs(),
        .complete = in.getComplete(),
        .warm = in.getWarm(),
        .startLoads = in.getStartLoads(),
        .startDaemons = in.getStartDaemons(),
        .startSums = in.getStartSums(),
        .position = read(in.getPosition()),
    };
    readLists(in, out);
    out.sums = readSums(in.getSums());
    out.sumsComplete = in.getSumsComplete();
    for (const auto daemon : in.getDaemons()) {
        daemon_entry entry{.id = daemon.getId()};
        if (daemon.getAlive()) {
            entry.status = daemon_status{
                .serving = daemon.getServing(),
                .holdsLease = daemon.getHoldsLease(),
                .clockDifferenceMs = daemon.getClockDifferenceMs(),
                .reportedBefore = daemon.getReportedBefore(),
            };
        }
        out.daemons.push_back(std::move(entry));
    }
    return out;
}

}

std::string encodeExchange(const exchange_message &message)
{
    capnp::MallocMessageBuilder builder;
    std::visit(message_writer{builder.initRoot<wire::ExchangeMessage>()}, message);
    return packMessage(builder);
}

absl::StatusOr<exchange_message> parseExchange(std::string_view datagram)
{
    exchange_message out;
    bool known = true;
    const auto status = unpackMessage(datagram, "invalid exchange datagram", maxMessageWords, [&](capnp::MessageReader &message) {
        const auto root = message.getRoot<wire::ExchangeMessage>();
        switch (root.which()) {
        case wire::ExchangeMessage::SUMMARY:
            out = readSummary(root.getSummary());
            return;
        case wire::ExchangeMessage::POLL: {
            const auto poll = root.getPoll();
            out = domain_poll{.sender = poll.getSender(), .position = read(poll.getPosition())};
            return;
        }
        case wire::ExchangeMessage::SUMS_REQUEST:
            out = sums_request{.sender = root.getSumsRequest().getSender()};
            return;
        case wire::ExchangeMessage::TABLES:
            out = readTables(root.getTables());
            return;
        }
        known = false;
    });
    if (!status.ok()) {
        return status;
    }
    if (!known) {
        return absl::InvalidArgumentError("invalid exchange datagram: unknown kind of message");
    }
    return out;
}

}
