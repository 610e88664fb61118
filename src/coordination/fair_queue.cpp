#include "coordination/fair_queue.h"

#include <algorithm>

namespace lacewinglock
{

namespace
{

constexpr double minWeight = 0.001; // As in orderWaiting.
constexpr std::size_t minForgetAt = 256; // Idle organisations are looked for at twice the number left, so that the cost per request is constant.

}

void fair_queue::add(const entry &request)
{
    auto &queue = m_organisations[request.organisation];
    if (queue.empty()) {
        queue.served = std::max(queue.served, m_virtualTime);
    }
    dropHeads(queue);
    (request.late ? queue.late : queue.onTime)[request.arrival] = {.weight = request.weight, .costTokens = request.costTokens};
    m_owners[request.arrival] = &queue;
    putHeads(queue);
    forgetIdle();
}

void fair_queue::remove(std::uint64_t arrival)
{
    if (const auto owner = m_owners.find(arrival); owner != m_owners.end()) {
        auto &queue = *owner->second;
        dropHeads(queue);
        take(queue, arrival);
        putHeads(queue);
    }
}

void fair_queue::serve(std::uint64_t arrival)
{
    if (const auto owner = m_owners.find(arrival); owner != m_owners.end()) {
        auto &queue = *owner->second;
        dropHeads(queue);
        const auto item = take(queue, arrival);
        m_virtualTime = std::max(m_virtualTime, queue.served);
        queue.served += item.costTokens / std::max(minWeight, item.weight);
        putHeads(queue);
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

order_input fair_queue::describe() const
{
    order_input input;
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

// The place of a head depends on its organisation's service, so heads are taken out before a change and put back after it.
void fair_queue::dropHeads(const organisation_queue &queue)
{
    for (const auto &item : headsOf(queue)) {
        m_heads.erase(item);
    }
}

void fair_queue::putHeads(const organisation_queue &queue)
{
    for (const auto &item : headsOf(queue)) {
        m_heads.insert(item);
    }
}

fair_queue::waiting_item fair_queue::take(organisation_queue &queue, std::uint64_t arrival)
{
    auto node = queue.onTime.extract(arrival);
    if (node.empty()) {
        node = queue.late.extract(arrival);
    }
    m_owners.erase(arrival);
    return node.mapped();
}

// Drops organisations without waiting requests that a newcomer would not be told apart from.
void fair_queue::forgetIdle()
{
    if (m_organisations.size() < std::max(m_forgetAt, minForgetAt)) {
        return;
    }
    std::erase_if(m_organisations, [&](const auto &item) {
        return item.second.empty() && item.second.served <= m_virtualTime;
    });
    m_forgetAt = 2 * m_organisations.size();
}

}
