#include "coordination/fair_queue.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

constexpr double minWeight = 0.001; // Same value as in orderWaiting().
constexpr std::size_t minPruneThreshold = 256; // The threshold is twice the number left after pruning, so that the amortised cost per request is constant.

}

void fair_queue::add(const entry &request)
{
    auto &queue = m_organisations[request.organisation];
    if (queue.empty()) {
        queue.served = std::max(queue.served, m_virtualTime);
    }
    eraseHeads(queue);
    (request.late ? queue.late : queue.onTime)[request.arrival] = {.weight = request.weight, .costTokens = request.costTokens};
    m_owners[request.arrival] = &queue;
    insertHeads(queue);
    pruneIdleOrganisations();
}

void fair_queue::remove(std::uint64_t arrival)
{
    if (const auto owner = m_owners.find(arrival); owner != m_owners.end()) {
        auto &queue = *owner->second;
        eraseHeads(queue);
        extractItem(queue, arrival);
        insertHeads(queue);
    }
}

void fair_queue::serve(std::uint64_t arrival)
{
    if (const auto owner = m_owners.find(arrival); owner != m_owners.end()) {
        auto &queue = *owner->second;
        eraseHeads(queue);
        const auto item = extractItem(queue, arrival);
        m_virtualTime = std::max(m_virtualTime, queue.served);
        queue.served += item.costTokens / std::max(minWeight, item.weight);
        insertHeads(queue);
    }
}

std::optional<std::uint64_t> fair_queue::first() const
{
    return m_heads.empty() ? std::nullopt : std::optional(m_heads.begin()->arrival);
}

std::size_t fair_queue::size() const
{
    return m_owners.size();
}

void fair_queue::endBusyPeriod()
{
    if (m_owners.empty()) {
        m_organisations.clear();
        m_virtualTime = 0;
    }
}

queue_order_input fair_queue::toOrderInput() const
{
    queue_order_input input;
    for (const auto &[organisation, queue] : m_organisations) {
        input.served.push_back({.organisation = organisation, .servedPerWeight = queue.served});
        for (const bool late : {false, true}) {
            for (const auto &[arrival, item] : late ? queue.late : queue.onTime) {
                input.waiting.push_back({.id = std::to_string(arrival),
                                         .organisation = organisation,
                                         .weight = item.weight,
                                         .costTokens = item.costTokens,
                                         .arrival = arrival,
                                         .late = late});
            }
        }
    }
    return input;
}

std::vector<fair_queue::head> fair_queue::headsOf(const organisation_queue &queue)
{
    std::vector<head> heads;
    for (const bool late : {false, true}) {
        if (const auto &waiting = late ? queue.late : queue.onTime; !waiting.empty()) {
            const auto &[arrival, item] = *waiting.begin();
            heads.push_back({.late = late, .finish = queue.served + item.costTokens / std::max(minWeight, item.weight), .arrival = arrival});
        }
    }
    return heads;
}

// The position of a head depends on its organisation's service, so heads are erased before a change and inserted again after it.
void fair_queue::eraseHeads(const organisation_queue &queue)
{
    for (const auto &item : headsOf(queue)) {
        m_heads.erase(item);
    }
}

void fair_queue::insertHeads(const organisation_queue &queue)
{
    for (const auto &item : headsOf(queue)) {
        m_heads.insert(item);
    }
}

fair_queue::waiting_item fair_queue::extractItem(organisation_queue &queue, std::uint64_t arrival)
{
    auto node = queue.onTime.extract(arrival);
    if (node.empty()) {
        node = queue.late.extract(arrival);
    }
    m_owners.erase(arrival);
    return node.mapped();
}

// Erases organisations without waiting requests whose service is not above the virtual time, since a new organisation starts there, too.
void fair_queue::pruneIdleOrganisations()
{
    if (m_organisations.size() < std::max(m_pruneThreshold, minPruneThreshold)) {
        return;
    }
    std::erase_if(m_organisations, [&](const auto &item) {
        return item.second.empty() && item.second.served <= m_virtualTime;
    });
    m_pruneThreshold = 2 * m_organisations.size();
}

}
