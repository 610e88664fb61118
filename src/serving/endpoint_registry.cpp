#include "serving/endpoint_registry.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <xxhash.h>

namespace lacewinglock
{

namespace
{

constexpr auto initialBackoff = std::chrono::milliseconds(200); // A restarted endpoint takes at least a few hundred milliseconds to listen again.
constexpr auto maxBackoff = std::chrono::seconds(2); // Bounds how long a recovered endpoint stays unused.
constexpr auto leavingMemory = std::chrono::minutes(10); // A leaving process ends within its drain time, which is a matter of seconds.
constexpr auto copiedEntryTime = std::chrono::seconds(6); // The store drops an entry after three heartbeats of silence, 3.6 s at the usual interval.
constexpr std::size_t maxServicePaces = 256; // Of more services, those without endpoints are dropped.
constexpr double failureWeight = 0.1; // Weight of one attempt: about ten attempts distinguish a failing endpoint from a single failure.

void noteOutcome(ejection_state &ejection, attempt_result result, instant now)
{
    switch (result) {
    case attempt_result::Succeeded:
        return ejection.noteAnswer(now);
    case attempt_result::Failed:
        return ejection.noteError(now);
    case attempt_result::ConnectionLost:
    case attempt_result::NoAnswer:
        return ejection.noteLoss(now);
    case attempt_result::Unreachable:
        // An endpoint that serves has the backoff for this; a trial has failed.
        if (ejection.phase(now) == ejection_phase::Trial) {
            ejection.noteLoss(now);
        }
        return;
    case attempt_result::Rejected:
        return ejection.noteRefusal(now);
    }
}

std::uint64_t hashOf(const endpoint_entry &entry)
{
    return XXH3_64bits_withSeed(entry.id.data(), entry.id.size(), static_cast<std::uint64_t>(entry.startedMs));
}

}

bool endpoint_state::usable(instant now) const
{
    return !entry.draining && now >= downUntil && now >= reservedUntil;
}

double endpoint_state::overdueMs(instant now) const
{
    return answerDeadlines.empty() ? 0 : std::max(0.0, std::round(toMs(now - *answerDeadlines.begin())));
}

void endpoint_registry::update(endpoint_entry entry)
{
    const auto hash = hashOf(entry);
    m_copied.erase(entry.id);
    m_removed.erase(hash);
    auto &state = m_byId[entry.id];
    // A delayed entry of an earlier process: a newer process has this id now.
    if (state && entry.startedMs != 0 && entry.startedMs < state->entry.startedMs) {
        return;
    }
    if (state && state->hash != hash) {
        m_byHash.erase(state->hash);
        state = nullptr;
    }
    if (!state) {
        state = std::make_shared<endpoint_state>();
        state->hash = hash;
        m_byHash[hash] = state;
        if (const auto load = m_peerLoads.find(hash); load != m_peerLoads.end()) {
            state->peers = load->second;
        }
    }
    // A draining process never becomes ready again, so a delayed "ready" entry with the same start time is ignored.
    state->saysLeaving = state->saysLeaving || m_leaving.contains(hash);
    entry.draining = entry.draining || state->entry.draining || state->saysLeaving;
    state->entry = std::move(entry);
    state->missing = false;
}

void endpoint_registry::updateFromCopy(endpoint_entry entry, instant now)
{
    if (m_removed.contains(hashOf(entry))) {
        const std::string id = entry.id;
        m_copied.insert_or_assign(id, copied_entry{std::move(entry), now});
    } else {
        update(std::move(entry));
    }
}

void endpoint_registry::erase(std::map<std::string, endpoint_ptr, std::less<>>::iterator found, instant now)
{
    m_removed[found->second->hash] = now;
    // Requests in progress still hold the state; marking it as draining stops new ones.
    found->second->entry.draining = true;
    m_byHash.erase(found->second->hash);
    m_byId.erase(found);
}

void endpoint_registry::remove(std::string_view id, instant now)
{
    forgetCopy(id);
    if (const auto found = m_byId.find(id); found != m_byId.end()) {
        erase(found, now);
    }
}

void endpoint_registry::noteLeaving(std::uint64_t hash, instant now)
{
    m_leaving.try_emplace(hash, now);
}

void endpoint_registry::forgetCopy(std::string_view id)
{
    if (const auto copied = m_copied.find(id); copied != m_copied.end()) {
        m_copied.erase(copied);
    }
}

void endpoint_registry::noteMissing(std::string_view id, instant now)
{
    forgetCopy(id);
    if (const auto found = m_byId.find(id); found != m_byId.end() && !found->second->missing) {
        found->second->missing = true;
        found->second->missingSince = now;
    }
}

void endpoint_registry::expireMissing(instant now, duration grace)
{
    const auto isForgotten = [now](const auto &process) {
        return now - process.second > leavingMemory;
    };
    std::erase_if(m_leaving, isForgotten);
    std::erase_if(m_removed, isForgotten);
    for (auto it = m_copied.begin(); it != m_copied.end();) {
        const auto current = it++;
        if (now - current->second.since >= copiedEntryTime) {
            auto entry = std::move(current->second.entry);
            m_copied.erase(current);
            update(std::move(entry));
        }
    }
    for (auto it = m_byId.begin(); it != m_byId.end();) {
        const auto current = it++;
        if (current->second->missing && now - current->second->missingSince >= grace) {
            erase(current, now);
        }
    }
}

void endpoint_registry::reconcile(const std::vector<std::string> &listed, bool storeWasFailing, instant now)
{
    for (auto it = m_byId.begin(); it != m_byId.end();) {
        const auto current = it++;
        if (std::ranges::find(listed, current->first) != listed.end()) {
            continue;
        }
        if (storeWasFailing) {
            noteMissing(current->first, now);
        } else {
            erase(current, now);
        }
    }
}

std::vector<endpoint_ptr> endpoint_registry::ofService(std::string_view service) const
{
    std::vector<endpoint_ptr> out;
    for (const auto &[id, endpoint] : m_byId) {
        if (endpoint->entry.service == service) {
            out.push_back(endpoint);
        }
    }
    return out;
}

endpoint_ptr endpoint_registry::find(std::string_view id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? nullptr : found->second;
}

endpoint_ptr endpoint_registry::findByHash(std::uint64_t hash) const
{
    const auto found = m_byHash.find(hash);
    return found == m_byHash.end() ? nullptr : found->second;
}

std::vector<endpoint_ptr> endpoint_registry::all() const
{
    std::vector<endpoint_ptr> out;
    out.reserve(m_byId.size());
    for (const auto &[id, endpoint] : m_byId) {
        out.push_back(endpoint);
    }
    return out;
}

void endpoint_registry::noteResult(endpoint_state &endpoint, attempt_result result, instant now)
{
    noteOutcome(endpoint.ejection, result, now);
    if (result == attempt_result::Unreachable) {
        const auto backoff = std::min<duration>(initialBackoff * (1 << std::min(endpoint.consecutiveUnreachable, 4)), maxBackoff);
        endpoint.downUntil = now + backoff;
        ++endpoint.consecutiveUnreachable;
        return;
    }
    endpoint.consecutiveUnreachable = 0;
    if (result == attempt_result::Rejected) {
        return;
    }
    const double failed = result == attempt_result::Succeeded ? 0 : 1;
    endpoint.failureRate += failureWeight * (failed - endpoint.failureRate);
}

void endpoint_registry::setPeerLoad(const load_entry &entry)
{
    if (entry.load == endpoint_load{}) {
        m_peerLoads.erase(entry.endpoint);
    } else {
        m_peerLoads[entry.endpoint] = entry.load;
    }
    if (const auto endpoint = findByHash(entry.endpoint)) {
        endpoint->peers = entry.load;
    }
}

void endpoint_registry::clearPeerLoads()
{
    for (const auto &[hash, load] : m_peerLoads) {
        if (const auto endpoint = findByHash(hash)) {
            endpoint->peers = {};
        }
    }
    m_peerLoads.clear();
}

bool endpoint_registry::notePace(endpoint_state &endpoint, double figure, instant now)
{
    endpoint.pace.noteFigure(figure, now);
    return servicePace(endpoint.entry.service).noteFigure(figure, now);
}

bool endpoint_registry::hasUnevenPace(std::string_view service, instant now) const
{
    const auto found = m_servicePaces.find(service);
    return found != m_servicePaces.end() && found->second.isUneven(now);
}

service_pace &endpoint_registry::servicePace(std::string_view service)
{
    if (const auto found = m_servicePaces.find(service); found != m_servicePaces.end()) {
        return found->second;
    }
    if (m_servicePaces.size() >= maxServicePaces) {
        std::erase_if(m_servicePaces, [this](const auto &entry) {
            return ofService(entry.first).empty();
        });
    }
    return m_servicePaces.try_emplace(std::string(service)).first->second;
}

load_reservation::load_reservation(endpoint_ptr endpoint, double promptTokens)
    : m_endpoint(std::move(endpoint))
    , m_promptTokens(promptTokens)
{
    ++m_endpoint->own.running;
    m_endpoint->own.promptTokens += promptTokens;
}

load_reservation::~load_reservation()
{
    release();
}

load_reservation::load_reservation(load_reservation &&other) noexcept
    : m_endpoint(std::move(other.m_endpoint))
    , m_promptTokens(std::exchange(other.m_promptTokens, 0))
{
    other.m_endpoint = nullptr;
}

load_reservation &load_reservation::operator=(load_reservation &&other) noexcept
{
    if (this != &other) {
        release();
        m_endpoint = std::move(other.m_endpoint);
        other.m_endpoint = nullptr;
        m_promptTokens = std::exchange(other.m_promptTokens, 0);
    }
    return *this;
}

void load_reservation::prefillDone()
{
    if (m_endpoint) {
        m_endpoint->own.promptTokens = std::max(0.0, m_endpoint->own.promptTokens - std::exchange(m_promptTokens, 0));
    }
}

void load_reservation::release()
{
    if (m_endpoint) {
        prefillDone();
        --m_endpoint->own.running;
        m_endpoint = nullptr;
    }
}

}
