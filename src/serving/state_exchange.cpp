#include "serving/state_exchange.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <span>
#include <utility>

namespace lacewinglock
{

namespace
{

void addAge(suspect_report &report, std::int64_t ms)
{
    report.ageMs += ms;
    for (auto &age : report.crashAgesMs) {
        age += ms;
    }
    if (report.successAgeMs) {
        *report.successAgeMs += ms;
    }
}

// Limits of one answer, so that it fits one packet of 1,400 bytes. The rest follows with the next poll.
constexpr std::size_t maxLoadsPerAnswer = 64;
constexpr std::size_t maxDaemonsPerAnswer = 16;
constexpr std::size_t maxUsesPerAnswer = 12;
constexpr std::size_t maxSumsPerAnswer = 32;
constexpr std::size_t maxSumsPerSummary = 64; // More are ignored: the tables must stay bounded.
constexpr auto sumsRequestInterval = std::chrono::milliseconds(100); // A summary after the request takes up to 65 ms and the way.
constexpr double pushedTokens = 1000; // The prefill of a shorter prompt takes less time than a push would save.
constexpr std::size_t maxLoggedUses = 256;
constexpr auto warmUpTime = std::chrono::milliseconds(300); // Several summaries of each daemon of the domain, and polls of all other domains.
constexpr auto stallLimit = std::chrono::milliseconds(500); // A daemon that did not run for so long may hold queued messages of any age.
constexpr auto pruneInterval = std::chrono::seconds(10); // Longer than any reader keeps tables without an answer.
constexpr double intervalJitter = 0.2; // Keeps the daemons from sending in step.
constexpr std::int64_t clockTolerance = 20; // In ms. A smaller change of a clock difference is not worth sending.
constexpr auto incompletePause = std::chrono::milliseconds(10); // Before the next poll when an answer could not hold all changes.
constexpr std::string_view domainPrefix = "domain/"; // Distinguishes failure domains from daemons as sources of loads.

std::string sourceName(std::string_view domain)
{
    return std::string(domainPrefix) + std::string(domain);
}

bool isSimilar(const std::optional<daemon_status> &left, const std::optional<daemon_status> &right)
{
    return left && right && left->serving == right->serving && left->holdsLease == right->holdsLease && left->reportedBefore == right->reportedBefore
        && std::abs(left->clockDifferenceMs - right->clockDifferenceMs) <= clockTolerance;
}

}

state_exchange::state_exchange(std::string id, std::string failureDomain, std::uint64_t incarnation, exchange_intervals intervals)
    : m_id(std::move(id))
    , m_failureDomain(std::move(failureDomain))
    , m_incarnation(incarnation)
    , m_intervals(intervals)
    , m_random(incarnation)
    , m_epoch(incarnation)
{
}

duration state_exchange::jittered(duration interval)
{
    const double factor = std::uniform_real_distribution<double>(1 - intervalJitter, 1)(m_random);
    return std::chrono::duration_cast<duration>(interval * factor);
}

void state_exchange::setMembers(std::vector<exchange_member> members, instant now)
{
    if (m_domainOf.size() <= 1) {
        m_newsAt = now;
    }
    m_domainOf.clear();
    for (const auto &member : members) {
        m_domainOf[member.id] = member.failureDomain;
    }
    m_ownRanks = rankAggregators(members, m_failureDomain);
    std::vector<std::string> others = m_ownRanks;
    std::erase(others, m_id);
    m_reader.setAggregators(std::move(others));
    for (const auto &[id, domain] : m_domainOf) {
        if (domain != m_failureDomain) {
            m_remote.try_emplace(domain);
        }
    }
    for (auto it = m_remote.begin(); it != m_remote.end();) {
        const auto current = it++;
        auto ranked = rankAggregators(members, current->first);
        if (ranked.empty()) {
            absorbDomain(current->first, current->second.reader.drop(), 0, now);
            m_remote.erase(current);
        } else {
            current->second.reader.setAggregators(std::move(ranked));
        }
    }
    for (const auto &[id, sender] : std::map(m_senders)) {
        if (!m_domainOf.contains(id)) {
            dropSender(id, now);
        }
    }
    std::erase_if(m_pollers, [&](const auto &poller) {
        return !m_domainOf.contains(poller.first);
    });
    updateDuty(now);
    readOwnTables(now);
}

// A daemon is on duty as an aggregator if it is one of the first two in rank, or if none before it answers. Another one that is asked by others
// aggregates too, but reads the tables of a daemon before it, because not all daemons may send their summaries to it.
bool state_exchange::isOnDuty() const
{
    const auto own = std::ranges::find(m_ownRanks, m_id);
    const bool isFirst = own - m_ownRanks.begin() < static_cast<std::ptrdiff_t>(aggregatorsPerDomain);
    return own != m_ownRanks.end() && (isFirst || std::all_of(m_ownRanks.begin(), own, [&](const std::string &id) {
                                           return m_reader.isSilent(id);
                                       }));
}

void state_exchange::updateDuty(instant now)
{
    const bool aggregated = aggregates(now);
    if (std::exchange(m_onDuty, isOnDuty()) != m_onDuty && m_onDuty && !aggregated) {
        startAggregating(now);
    }
}

bool state_exchange::aggregates(instant now) const
{
    return m_aggregatesSince != instant{} && (m_onDuty || now - m_lastPolled <= m_intervals.timeout);
}

// A daemon that takes over the duty first reads another aggregator for as long as its own tables are incomplete.
bool state_exchange::readsOwnTables(instant now) const
{
    const auto end = m_ownRanks.begin() + static_cast<std::ptrdiff_t>(std::min(m_ownRanks.size(), aggregatorsPerDomain));
    const bool isFirst = std::find(m_ownRanks.begin(), end, m_id) != end;
    return isFirst || (m_onDuty && now - m_aggregatesSince >= warmUpTime);
}

void state_exchange::startAggregating(instant now)
{
    m_aggregatesSince = now;
    m_domainPollDue = now;
}

// After a stall, the tables are old and the messages in the socket may be too. A new epoch starts with empty tables, and readers use another aggregator
// until this one is warm again.
void state_exchange::noteTime(instant now)
{
    if (m_lastTime != instant{} && now - m_lastTime > stallLimit) {
        m_epoch = m_random();
        m_domainTables = {.sums = sum_table(domainSumInterval)};
        m_allTables = {.sums = sum_table(readerSumInterval)};
        m_senders.clear();
        m_pollers.clear();
        m_pruneMark = {};
        for (auto &[domain, remote] : m_remote) {
            remote.reader.drop();
        }
        if (m_aggregatesSince != instant{}) {
            startAggregating(now);
        }
        if (m_ownPosition) {
            m_ownPosition = table_position{};
            m_events.emplace_back(view_reset{});
        }
    }
    m_lastTime = now;
}

void state_exchange::expedite(instant now)
{
    m_summaryDue = std::min(m_summaryDue, std::max(now, m_summarySentAt + m_intervals.earlySummary));
}

instant state_exchange::nextDue() const
{
    const instant pollDue = aggregates(m_lastTime) && !m_remote.empty() ? m_domainPollDue : instant::max();
    return std::min({m_summaryDue, pollDue, m_pushDue});
}

std::vector<outgoing_message> state_exchange::tick(const summary_source &makeSummary, instant now, std::int64_t wallMs)
{
    noteTime(now);
    expire(now);
    updateDuty(now);
    std::vector<outgoing_message> out;
    if (now >= m_summaryDue) {
        out = sendSummary(makeSummary, now, wallMs);
    }
    if (aggregates(now) && now >= m_domainPollDue) {
        auto polls = pollDomains(now);
        std::ranges::move(polls, std::back_inserter(out));
    }
    noteLargeChange(now);
    auto pushed = sendPushes(now, wallMs);
    std::ranges::move(pushed, std::back_inserter(out));
    readOwnTables(now);
    return out;
}

// The summary goes to the two first aggregators in rank, even if they are silent: they may be silent towards this daemon only, and serve others. Further
// to the aggregator that is read and its standby.
std::vector<outgoing_message> state_exchange::sendSummary(const summary_source &makeSummary, instant now, std::int64_t wallMs)
{
    m_summarySentAt = now;
    m_summaryDue = now + jittered(m_intervals.summary);
    auto summary = makeSummary();
    summary.sender = m_id;
    summary.sequence = ++m_sequence;
    summary.incarnation = m_incarnation;
    if (summary.sums) {
        m_sums = *summary.sums;
        m_sumsVersion = m_sumsVersion == std::numeric_limits<std::uint16_t>::max() ? 1 : m_sumsVersion + 1; // 0 means that there are none.
        m_sumsWanted.clear();
    }
    summary.sumsVersion = m_sumsVersion;
    const auto newSums = std::exchange(summary.sums, m_sums); // The own tables may have lost them in a stall.
    absorbSummary(summary, now, wallMs);
    const auto firstTwo = std::span(m_ownRanks).first(std::min(m_ownRanks.size(), aggregatorsPerDomain));
    // An aggregator polls another one too, to notice which daemons before it in rank answer, and which one takes over if its partner is lost.
    const auto polled = m_reader.pollTargets(now);
    std::vector<std::string> targets(firstTwo.begin(), firstTwo.end());
    targets.insert(targets.end(), polled.begin(), polled.end());
    targets.push_back(m_reader.standby());
    std::vector<outgoing_message> out;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const auto &target = targets[i];
        const bool repeated
            = std::find(targets.begin(), targets.begin() + static_cast<std::ptrdiff_t>(i), target) != targets.begin() + static_cast<std::ptrdiff_t>(i);
        if (target.empty() || target == m_id || repeated) {
            continue;
        }
        summary.poll.reset();
        if (std::ranges::find(polled, target) != polled.end()) {
            summary.poll = m_reader.position(target);
        }
        summary.sums = m_sumsWanted.contains(target) ? std::optional(m_sums) : newSums;
        out.push_back({target, summary});
    }
    m_sumsWanted.clear();
    return out;
}

std::vector<outgoing_message> state_exchange::pollDomains(instant now)
{
    m_domainPollDue = now + jittered(m_intervals.domainPoll);
    std::vector<outgoing_message> out;
    for (auto &[domain, remote] : m_remote) {
        for (const auto &target : remote.reader.pollTargets(now)) {
            out.push_back({target, domain_poll{.sender = m_id, .position = remote.reader.position(target)}});
        }
    }
    return out;
}

std::vector<outgoing_message> state_exchange::receive(const exchange_message &message, instant now, std::int64_t wallMs)
{
    noteTime(now);
    expire(now);
    auto out = std::visit(
        [&](const auto &content) {
            return m_domainOf.contains(content.sender) && content.sender != m_id ? handle(content, now, wallMs) : std::vector<outgoing_message>();
        },
        message);
    noteLargeChange(now);
    auto pushed = sendPushes(now, wallMs);
    std::ranges::move(pushed, std::back_inserter(out));
    readOwnTables(now);
    return out;
}

std::vector<outgoing_message> state_exchange::handle(const daemon_summary &summary, instant now, std::int64_t wallMs)
{
    if (m_domainOf[summary.sender] != m_failureDomain) {
        return {};
    }
    if (!aggregates(now)) {
        startAggregating(now);
    }
    m_lastPolled = now;
    absorbSummary(summary, now, wallMs);
    m_newsAt = m_ownPosition ? now : m_newsAt;
    std::vector<outgoing_message> out;
    if (auto &sender = m_senders[summary.sender]; sender.sumsWanted && now - sender.sumsRequestedAt >= sumsRequestInterval) {
        sender.sumsRequestedAt = now;
        out.push_back({summary.sender, sums_request{.sender = m_id}});
    }
    if (!summary.poll) {
        return out;
    }
    auto &poller = m_pollers[summary.sender];
    poller.ofAllDomains = true;
    poller.position = *summary.poll;
    poller.polledAt = now;
    out.push_back(answer(summary.sender, poller, now, wallMs));
    return out;
}

std::vector<outgoing_message> state_exchange::handle(const sums_request &request, instant /*now*/, std::int64_t /*wallMs*/)
{
    m_sumsWanted.insert(request.sender);
    return {};
}

std::vector<outgoing_message> state_exchange::handle(const domain_poll &poll, instant now, std::int64_t wallMs)
{
    if (!aggregates(now)) {
        startAggregating(now);
    }
    m_lastPolled = now;
    auto &poller = m_pollers[poll.sender];
    poller.position = poll.position;
    poller.polledAt = now;
    return {answer(poll.sender, poller, now, wallMs)};
}

std::vector<outgoing_message> state_exchange::handle(const exchange_tables &tables, instant now, std::int64_t wallMs)
{
    const std::string domain = m_domainOf[tables.sender];
    noteReports(tables);
    if (domain == m_failureDomain) {
        const auto updates = m_reader.accept(tables, now);
        if (m_ownPosition || m_reader.source() != tables.sender) {
            return {};
        }
        if (!tables.complete) {
            m_summaryDue = std::min(m_summaryDue, now + incompletePause);
        }
        m_sourceClockDifferenceMs = tables.wallMs - wallMs;
        m_sourceAgeMs = tables.ageMs;
        if (m_reader.updatedAt() == now) {
            m_newsAt = now;
            m_sourceWarm = tables.warm;
        }
        passOn(updates);
        m_events.insert(m_events.end(), tables.prefixUses.begin(), tables.prefixUses.end());
        return {};
    }
    auto &remote = m_remote[domain];
    const auto updates = remote.reader.accept(tables, now);
    if (remote.reader.source() != tables.sender) {
        return {};
    }
    m_newsAt = m_ownPosition ? now : m_newsAt;
    if (!tables.complete) {
        m_domainPollDue = std::min(m_domainPollDue, now + incompletePause);
    }
    remote.reserved = tables.reserved;
    remote.ageMs = tables.ageMs;
    absorbDomain(domain, updates, tables.wallMs - wallMs, now);
    for (const auto &use : tables.prefixUses) {
        logUse(m_allTables, domain, use);
    }
    return {};
}

void state_exchange::absorbSummary(const daemon_summary &summary, instant now, std::int64_t wallMs)
{
    auto &sender = m_senders[summary.sender];
    if (!sender.order.accept(summary.incarnation, summary.sequence)) {
        return;
    }
    sender.receivedAt = now;
    sender.reserved = summary.reserved;
    daemon_status status{
        .serving = summary.serving, .holdsLease = summary.holdsLease, .clockDifferenceMs = summary.wallMs - wallMs, .reportedBefore = summary.reportedBefore};
    if (summary.sender == m_id) {
        status.clockDifferenceMs = 0;
    }
    for (auto *tables : {&m_domainTables, &m_allTables}) {
        m_largestOwnChange = std::max(m_largestOwnChange, tables->loads.setPart(summary.sender, summary.loads));
        if (!isSimilar(tables->daemons.get(summary.sender), status)) {
            tables->daemons.set(summary.sender, status);
        }
        for (const auto &use : summary.prefixUses) {
            logUse(*tables, summary.sender, use);
        }
    }
    absorbSums(summary, sender, now);
    if (summary.sender == m_id) {
        m_reportedAt = now;
        m_suspects = summary.suspects;
        m_notices = summary.notices;
        return;
    }
    noteReports(summary);
}

void state_exchange::absorbSums(const daemon_summary &summary, summary_sender &sender, instant now)
{
    const bool held = sender.sumsIncarnation == summary.incarnation && sender.sumsVersion == summary.sumsVersion;
    const bool given = summary.sums || summary.sumsVersion == 0;
    sender.sumsWanted = !given && !held;
    if (!given || (held && !summary.sums)) {
        return;
    }
    sender.sumsIncarnation = summary.incarnation;
    sender.sumsVersion = summary.sumsVersion;
    const auto sums = summary.sums ? std::span(*summary.sums) : std::span<const sum_entry>();
    for (auto *tables : {&m_domainTables, &m_allTables}) {
        tables->sums.setPart(summary.sender, sums.first(std::min(sums.size(), maxSumsPerSummary)), now);
    }
}

void state_exchange::passOn(const table_updates &updates)
{
    m_events.insert(m_events.end(), updates.loads.begin(), updates.loads.end());
    m_events.insert(m_events.end(), updates.daemons.begin(), updates.daemons.end());
    m_events.insert(m_events.end(), updates.sums.begin(), updates.sums.end());
}

void state_exchange::absorbDomain(const std::string &domain, const table_updates &updates, std::int64_t clockDifferenceMs, instant now)
{
    for (const auto &entry : updates.loads) {
        m_largestChange = std::max(m_largestChange, m_allTables.loads.setOne(sourceName(domain), entry));
    }
    for (auto [id, status] : updates.daemons) {
        if (status) {
            status->clockDifferenceMs += clockDifferenceMs;
        }
        m_allTables.daemons.set(id, status);
    }
    for (const auto &entry : updates.sums) {
        m_allTables.sums.setOne(sourceName(domain), entry, now);
    }
}

template <typename Message>
void state_exchange::noteReports(const Message &message)
{
    m_events.insert(m_events.end(), message.suspects.begin(), message.suspects.end());
    m_events.insert(m_events.end(), message.notices.begin(), message.notices.end());
    for (const auto engine : message.reserved) {
        m_events.emplace_back(engine_reserved{engine});
    }
}

void state_exchange::logUse(table_set &tables, std::string_view source, const prefix_use &use)
{
    tables.uses.push_back({++tables.lastUse, std::string(source), use});
    if (tables.uses.size() > maxLoggedUses) {
        tables.uses.pop_front();
    }
}

void state_exchange::dropSender(const std::string &id, instant now)
{
    for (auto *tables : {&m_domainTables, &m_allTables}) {
        tables->loads.dropPart(id);
        tables->sums.dropPart(id, now);
        tables->daemons.set(id, std::nullopt);
    }
    m_senders.erase(id);
}

void state_exchange::expire(instant now)
{
    for (auto it = m_senders.begin(); it != m_senders.end();) {
        const auto current = it++;
        if (current->first != m_id && now - current->second.receivedAt > m_intervals.timeout) {
            dropSender(std::string(current->first), now);
        }
    }
    for (auto &[domain, remote] : m_remote) {
        if (const auto updates = remote.reader.expire(now, m_intervals.timeout); !updates.loads.empty() || !updates.daemons.empty() || !updates.sums.empty()) {
            remote.reserved.clear();
            absorbDomain(domain, updates, 0, now);
        }
    }
    if (const auto updates = m_reader.expire(now, m_intervals.timeout); !m_ownPosition) {
        passOn(updates);
    }
    // The first sums of other daemons come within the warm-up time, and must be known at its end.
    const bool settled = now - m_aggregatesSince >= 2 * warmUpTime;
    for (auto *tables : {&m_domainTables, &m_allTables}) {
        settled ? tables->sums.listDue(now) : tables->sums.listAll(now);
    }
    if (now - m_pruneMark.at > pruneInterval) {
        const auto &versions = m_pruneMark.versions;
        m_domainTables.loads.prune(versions[0]);
        m_domainTables.daemons.prune(versions[1]);
        m_allTables.loads.prune(versions[2]);
        m_allTables.daemons.prune(versions[3]);
        m_domainTables.sums.prune(versions[4]);
        m_allTables.sums.prune(versions[5]);
        m_pruneMark = {now,
                       {m_domainTables.loads.sums().version(),
                        m_domainTables.daemons.version(),
                        m_allTables.loads.sums().version(),
                        m_allTables.daemons.version(),
                        m_domainTables.sums.listed().version(),
                        m_allTables.sums.listed().version()}};
    }
}

outgoing_message state_exchange::answer(const std::string &reader, table_poller &poller, instant now, std::int64_t wallMs)
{
    poller.answeredAt = now;
    poller.pushDue.reset();
    poller.position.prefixUses = std::max(poller.position.prefixUses, poller.sentUses);
    auto tables
        = poller.ofAllDomains ? makeTables(m_allTables, poller.position, reader, now, wallMs) : makeTables(m_domainTables, poller.position, {}, now, wallMs);
    poller.sentUses = tables.position.prefixUses;
    return {reader, std::move(tables)};
}

// Placement of a long prompt depends on the other long prompts of the last milliseconds, so their start and end are not held until the next poll.
void state_exchange::noteLargeChange(instant now)
{
    const double ownChange = std::exchange(m_largestOwnChange, 0);
    if (const double change = std::exchange(m_largestChange, 0); std::max(change, ownChange) < pushedTokens) {
        return;
    }
    const duration spacing = std::max<duration>(m_intervals.push, m_intervals.pushPerMember * static_cast<int>(m_domainOf.size()));
    for (auto &[reader, poller] : m_pollers) {
        const bool concerned = poller.ofAllDomains || ownChange >= pushedTokens;
        if (concerned && !poller.pushDue && now - poller.polledAt <= m_intervals.timeout) {
            poller.pushDue = std::max(now, poller.answeredAt + spacing);
            m_pushDue = std::min(m_pushDue, *poller.pushDue);
        }
    }
}

std::vector<outgoing_message> state_exchange::sendPushes(instant now, std::int64_t wallMs)
{
    std::vector<outgoing_message> out;
    if (now < m_pushDue) {
        return out;
    }
    m_pushDue = instant::max();
    for (auto &[reader, poller] : m_pollers) {
        if (poller.pushDue && *poller.pushDue <= now) {
            out.push_back(answer(reader, poller, now, wallMs));
        } else if (poller.pushDue) {
            m_pushDue = std::min(m_pushDue, *poller.pushDue);
        }
    }
    return out;
}

exchange_tables state_exchange::makeTables(const table_set &tables, const table_position &from, std::string_view reader, instant now, std::int64_t wallMs)
{
    const table_position start = from.epoch == m_epoch ? from : table_position{.prefixUses = tables.lastUse - std::min(tables.lastUse, maxUsesPerAnswer)};
    exchange_tables out{.sender = m_id, .sequence = ++m_sequence, .wallMs = wallMs, .warm = now - m_aggregatesSince >= warmUpTime};
    const auto loads = tables.loads.sums().since(start.loads, maxLoadsPerAnswer);
    for (const auto &[endpoint, sum] : loads.entries) {
        out.loads.push_back({endpoint, tables.loads.without(reader, endpoint, sum)});
    }
    const auto daemons = tables.daemons.since(start.daemons, maxDaemonsPerAnswer);
    for (const auto &[id, status] : daemons.entries) {
        out.daemons.push_back({id, status});
    }
    out.complete = loads.complete && daemons.complete;
    const auto sums = tables.sums.listed().since(start.sums, maxSumsPerAnswer);
    for (const auto &[key, listed] : sums.entries) {
        out.sums.push_back({key, tables.sums.without(reader, key)});
    }
    out.sumsComplete = sums.complete;
    out.startSums = sums.version == start.sums ? 0 : start.sums;
    out.startLoads = start.loads;
    out.startDaemons = start.daemons;
    out.position = {.epoch = m_epoch,
                    .loads = loads.version,
                    .daemons = daemons.version,
                    .prefixUses = start.prefixUses,
                    .sums = sums.version == start.sums ? 0 : sums.version};
    for (const auto &[sequence, source, use] : tables.uses) {
        if (sequence > out.position.prefixUses && out.prefixUses.size() < maxUsesPerAnswer) {
            out.position.prefixUses = sequence;
            if (source != reader) {
                out.prefixUses.push_back(use);
            }
        }
    }
    const auto sinceReports = std::chrono::ceil<std::chrono::milliseconds>(now - m_reportedAt).count();
    out.suspects = m_suspects;
    for (auto &suspect : out.suspects) {
        addAge(suspect, sinceReports);
    }
    out.notices = m_notices;
    for (auto &notice : out.notices) {
        notice.ageMs += sinceReports;
    }
    const bool ofAllDomains = &tables == &m_allTables;
    for (const auto &[id, sender] : m_senders) {
        out.reserved.insert(out.reserved.end(), sender.reserved.begin(), sender.reserved.end());
        out.ageMs = std::max<std::int64_t>(out.ageMs, std::chrono::duration_cast<std::chrono::milliseconds>(now - sender.receivedAt).count());
    }
    for (const auto &[domain, remote] : m_remote) {
        if (const auto updatedAt = remote.reader.updatedAt(); ofAllDomains && updatedAt) {
            out.reserved.insert(out.reserved.end(), remote.reserved.begin(), remote.reserved.end());
            const auto sinceUpdate = std::chrono::duration_cast<std::chrono::milliseconds>(now - *updatedAt).count();
            out.ageMs = std::max<std::int64_t>(out.ageMs, remote.ageMs + sinceUpdate);
        }
    }
    return out;
}

// An aggregator is a reader of its own tables, without polls.
void state_exchange::readOwnTables(instant now)
{
    if (!readsOwnTables(now)) {
        if (m_ownPosition) {
            m_ownPosition.reset();
            m_reader.drop(); // So that its next answers list all entries.
            m_events.emplace_back(view_reset{});
        }
        return;
    }
    if (!m_ownPosition) {
        m_ownPosition = table_position{};
        m_sourceClockDifferenceMs = 0;
        m_events.emplace_back(view_reset{});
    }
    constexpr auto unlimited = static_cast<std::size_t>(-1);
    const auto loads = m_allTables.loads.sums().since(m_ownPosition->loads, unlimited);
    for (const auto &[endpoint, sum] : loads.entries) {
        m_events.emplace_back(load_entry{endpoint, m_allTables.loads.without(m_id, endpoint, sum)});
    }
    const auto daemons = m_allTables.daemons.since(m_ownPosition->daemons, unlimited);
    for (const auto &[id, status] : daemons.entries) {
        m_events.emplace_back(daemon_entry{id, status});
    }
    const auto sums = m_allTables.sums.listed().since(m_ownPosition->sums, unlimited);
    for (const auto &[key, listed] : sums.entries) {
        m_events.emplace_back(sum_entry{key, m_allTables.sums.without(m_id, key)});
    }
    m_ownPosition->sums = sums.version;
    m_ownPosition->loads = loads.version;
    m_ownPosition->daemons = daemons.version;
    for (const auto &[sequence, source, use] : m_allTables.uses) {
        if (sequence > m_ownPosition->prefixUses) {
            m_ownPosition->prefixUses = sequence;
            if (source != m_id) {
                m_events.emplace_back(use);
            }
        }
    }
}

std::vector<exchange_event> state_exchange::takeEvents()
{
    return std::exchange(m_events, {});
}

double state_exchange::ageMs(instant now) const
{
    if (m_domainOf.size() <= 1) {
        return 0;
    }
    double oldest = toMs(now - m_newsAt);
    // Tables that are still incomplete count like none.
    if (m_ownPosition ? now - m_aggregatesSince < warmUpTime : !m_sourceWarm) {
        oldest = std::max(oldest, toMs(m_intervals.timeout));
    }
    if (!m_ownPosition) {
        return m_reader.updatedAt() ? std::max(oldest, static_cast<double>(m_sourceAgeMs) + toMs(now - *m_reader.updatedAt())) : oldest;
    }
    for (const auto &[id, sender] : m_senders) {
        oldest = std::max(oldest, toMs(now - sender.receivedAt));
    }
    for (const auto &[domain, remote] : m_remote) {
        if (const auto updatedAt = remote.reader.updatedAt()) {
            oldest = std::max(oldest, static_cast<double>(remote.ageMs) + toMs(now - *updatedAt));
        }
    }
    return oldest;
}

std::int64_t state_exchange::sourceClockDifferenceMs() const
{
    return m_sourceClockDifferenceMs;
}

}
