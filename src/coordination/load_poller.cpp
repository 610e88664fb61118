#include "coordination/load_poller.h"

#include "protocol/errors.h"
#include "protocol/tunables.h"
#include "state/rendezvous.h"

#include <algorithm>
#include <charconv>
#include <glog/logging.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace lacewinglock
{

namespace
{

endpoint_role parseRole(const std::string &name)
{
    if (name == "prefill") {
        return endpoint_role::Prefill;
    }
    return name == "decode" ? endpoint_role::Decode : endpoint_role::Mixed;
}

std::vector<std::uint64_t> parseHashes(const nlohmann::json &list)
{
    std::vector<std::uint64_t> hashes;
    for (const auto &item : list) {
        const auto text = item.get<std::string>();
        std::uint64_t hash = 0;
        if (std::from_chars(text.data(), text.data() + text.size(), hash, 16).ec == std::errc()) {
            hashes.push_back(hash);
        }
    }
    return hashes;
}

void updateCounters(const httplib::Result &answer, metrics *counters)
{
    if (counters == nullptr) {
        return;
    }
    if (answer) {
        counters->count(metric_counter::ControlBytesReceived, answer->body.size());
    } else {
        counters->count(metric_counter::PollFailures);
    }
}

/// Number of events between `since` and the answer's `next` that the answer does not list. An answer with a gap has lost at least one. Several
/// events of one block are listed once, so the others count as lost; that only makes the cache estimates more conservative.
std::uint64_t countLostEvents(const nlohmann::json &answer, std::uint64_t since, std::uint64_t listed)
{
    if (!answer.value("gap", false)) {
        return 0;
    }
    const std::uint64_t elapsedEvents = std::max(answer.value("next", since), since) - since;
    return elapsedEvents > listed ? elapsedEvents - listed : 1;
}

/// Fetches the cache events since `next` into the table and returns the position after them, or `next` on a failure.
std::uint64_t fetchCacheEvents(httplib::Client &client, const std::string &id, std::uint64_t next, endpoint_table &endpoints, metrics *counters)
{
    const auto answer = client.Get("/cache-events?since=" + std::to_string(next));
    updateCounters(answer, counters);
    if (!answer || answer->status != 200) {
        return next;
    }
    try {
        const auto json = nlohmann::json::parse(answer->body);
        const auto stored = parseHashes(json.value("stored", nlohmann::json::array()));
        const auto evicted = parseHashes(json.value("evicted", nlohmann::json::array()));
        endpoints.applyCacheEvent(id, stored, evicted, countLostEvents(json, next, stored.size() + evicted.size()));
        return json.value("next", next);
    } catch (const nlohmann::json::exception &error) {
        LOG(WARNING) << "parse cache events [" << id << "]: " << error.what();
        return next;
    }
}

}

absl::StatusOr<endpoint_report> parseLoadReport(const std::string &id, const std::string &body)
{
    try {
        const auto json = nlohmann::json::parse(body);
        return endpoint_report{
            .endpoint = id,
            .leaving = json.value("leaving", false),
            .role = parseRole(json.value("role", "mixed")),
            .changingRole = json.value("changing_role", false),
            .orderRevision = json.value("order_revision", std::uint64_t{0}),
            .orderEpoch = json.value("order_epoch", std::uint64_t{0}),
            .queuedPromptTokens = json.value("queued_prompt_tokens", 0.0),
            .runningStreams = json.value("running_streams", json.value("running", 0)),
            .freeKvTokens = json.value("free_kv_tokens", 0.0),
            .prefillTokensPerSecond = json.value("prefill_tokens_per_second", 8000.0),
            .ageMs = json.value("age_ms", 0.0),
        };
    } catch (const nlohmann::json::exception &error) {
        return makeError(absl::StatusCode::kInvalidArgument, "parse load report", id, error.what());
    }
}

load_poller::load_poller(std::string instanceId, endpoint_table &endpoints, std::function<instant()> now, int threads, metrics *counters)
    : m_instanceId(std::move(instanceId))
    , m_endpoints(endpoints)
    , m_now(std::move(now))
    , m_counters(counters)
    , m_pool(threads)
{
}

void load_poller::setOnLeaving(std::function<void()> handler)
{
    m_onLeaving = std::move(handler);
}

void load_poller::poll(const configuration &config, const std::map<std::string, endpoint> &endpoints, const std::vector<std::string> &members)
{
    const instant now = m_now();
    const std::lock_guard lock(m_mutex);
    for (const auto &[id, target] : endpoints) {
        // Without a roster the daemon polls every endpoint, so that it can serve as soon as it is admitted to the cell.
        if (!m_schedule.start(id, rendezvousRank(id, m_instanceId, members) == 0, now)) {
            continue;
        }
        auto &state = m_polls[id];
        if (std::exchange(state.running, true)) {
            continue;
        }
        const auto group = config.groups.find(target.group);
        const route_kind kind = group == config.groups.end() ? route_kind::Service : group->second.kind;
        m_pool.submit([this, id = id, target = target, kind, next = state.nextCacheEvent] {
            pollOne(id, target, kind, next);
        });
    }
    std::erase_if(m_polls, [&](const auto &item) {
        return !item.second.running && (!endpoints.contains(item.first) || !m_schedule.isPolling(item.first));
    });
}

void load_poller::noteOtherPoll(const std::string &endpointId, instant takenAt)
{
    const std::lock_guard lock(m_mutex);
    m_schedule.noteOtherPoll(endpointId, takenAt);
}

void load_poller::pollOne(const std::string &id, const endpoint &target, route_kind kind, std::uint64_t nextCacheEvent)
{
    httplib::Client client("http://" + target.address);
    client.set_connection_timeout(tunables::pollTimeout);
    client.set_read_timeout(tunables::pollTimeout);
    // Taken before the request is sent: work that is sent to the endpoint while the answer is in transit must count as sent after the report.
    const instant takenAt = m_now();
    const auto answer = client.Get("/load");
    updateCounters(answer, m_counters);
    auto report = answer && answer->status == 200 ? parseLoadReport(id, answer->body) : endpoint_report{.endpoint = id, .reachable = false};
    if (!report.ok()) {
        LOG(WARNING) << report.status().message();
        report = endpoint_report{.endpoint = id, .reachable = false};
    }
    m_endpoints.applyReport(*report, takenAt);
    if (report->reachable && kind == route_kind::Model) {
        nextCacheEvent = fetchCacheEvents(client, id, nextCacheEvent, m_endpoints, m_counters);
    }
    std::unique_lock lock(m_mutex);
    auto &state = m_polls[id];
    const bool firstNotice = report->leaving && !state.report.leaving;
    state = {.running = false, .nextCacheEvent = nextCacheEvent, .report = *report, .takenAt = takenAt, .polled = true};
    lock.unlock();
    if (firstNotice && m_onLeaving) {
        m_onLeaving();
    }
}

std::vector<endpoint_report> load_poller::reports(instant now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<endpoint_report> all;
    for (const auto &[id, state] : m_polls) {
        if (state.polled) {
            all.push_back(state.report);
            all.back().ageMs += toMs(now - state.takenAt);
        }
    }
    return all;
}

}
