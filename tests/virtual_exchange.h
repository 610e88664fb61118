#pragma once

#include "serving/endpoint_notice.h"
#include "serving/shared_sums.h"
#include "serving/state_exchange.h"

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lacewinglock
{

/// Daemons that exchange their state over links with delay, bandwidth and loss, on a virtual clock.
class virtual_exchange
{
public:
    struct daemon
    {
        std::string id;
        std::string domain;
        double capacity = 1;
        std::unique_ptr<state_exchange> exchange;
        std::map<std::uint64_t, endpoint_load> own;
        bool serving = true;
        // What the daemon has learned.
        std::map<std::uint64_t, endpoint_load> others;
        std::map<std::string, daemon_status> peers;
        std::vector<prefix_use> uses;
        std::vector<prefix_use> unsentUses;
        endpoint_registry endpoints; ///< With what they say of themselves.
        std::size_t nextNotice = 0;
        shared_sums sums;
        // Faults.
        bool alive = true;
        bool frozen = false;
        std::vector<std::pair<std::string, std::string>> inbox; ///< Sender and datagram, received while frozen.
        std::int64_t clockOffsetMs = 0;
        instant tickAt;
        std::uint64_t nextTick = 0; ///< Number of the scheduled tick; earlier ones are void.
        duration extraDelay = duration::zero(); ///< Of each datagram that it sends.
        // Its uplink.
        instant uplinkFreeAt;
        double bytesSent = 0;
        double bytesReceived = 0;
        std::size_t messagesSent = 0;
    };

    explicit virtual_exchange(std::size_t count, std::size_t domains, std::uint64_t seed = 1, exchange_intervals intervals = {})
        : m_intervals(intervals)
        , m_random(seed)
    {
        for (std::size_t i = 0; i < count; ++i) {
            daemons.push_back({.id = "edge-" + std::to_string(i), .domain = "domain-" + std::to_string(i % domains)});
            m_index[daemons.back().id] = i;
        }
        for (std::size_t i = 0; i < count; ++i) {
            start(i);
        }
    }

    /// Starts the process of a daemon, again after a kill.
    void start(std::size_t index)
    {
        auto &daemon = daemons[index];
        daemon.alive = true;
        daemon.frozen = false;
        daemon.exchange = std::make_unique<state_exchange>(daemon.id, daemon.domain, m_random(), m_intervals);
        daemon.others.clear();
        daemon.peers.clear();
        daemon.sums = {};
        daemon.inbox.clear();
        daemon.exchange->setMembers(members(), now);
        scheduleTick(index, now + std::chrono::microseconds(m_random() % 300000));
    }

    void kill(std::size_t index)
    {
        daemons[index].alive = false;
        daemons[index].own.clear();
    }

    void thaw(std::size_t index)
    {
        auto &daemon = daemons[index];
        daemon.frozen = false;
        for (const auto &[sender, datagram] : std::exchange(daemon.inbox, {})) {
            deliver(sender, index, datagram);
        }
        scheduleTick(index, now);
    }

    /// Lets a daemon act on what its exchange has become due to do.
    void wake(std::size_t index)
    {
        if (daemons[index].alive && !daemons[index].frozen) {
            scheduleTick(index, std::max(now, daemons[index].exchange->nextDue()));
        }
    }

    /// Runs for `time`; `observe` is called each millisecond.
    void run(duration time, const std::function<void()> &observe = nullptr)
    {
        const instant end = now + time;
        instant nextObservation = now;
        while (!m_events.empty() && m_events.top().at <= end) {
            auto event = m_events.top();
            m_events.pop();
            while (observe && nextObservation < event.at) {
                now = nextObservation;
                observe();
                nextObservation += std::chrono::milliseconds(1);
            }
            now = std::max(now, event.at);
            event.action();
        }
        now = end;
    }

    /// Runs `action` at a time.
    void schedule(instant at, std::function<void()> action)
    {
        m_events.push({at, m_eventNumber++, std::move(action)});
    }

    /// Sends bytes over a daemon's uplink. Returns the time at which the first byte leaves, after all bytes that wait there.
    instant occupyUplink(daemon &sender, std::size_t bytes)
    {
        const instant begin = std::max(now, sender.uplinkFreeAt);
        const auto transmit = std::chrono::duration<double>(static_cast<double>(bytes) * 8 / (linkMbps * 1e6));
        sender.uplinkFreeAt = begin + std::chrono::duration_cast<duration>(transmit);
        return begin;
    }

    /// Sum of the loads of all other live daemons at an endpoint.
    endpoint_load trueOthers(std::size_t index, std::uint64_t endpoint) const
    {
        endpoint_load sum;
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            if (const auto found = daemons[i].own.find(endpoint); i != index && found != daemons[i].own.end()) {
                sum.running += found->second.running;
                sum.promptTokens += found->second.promptTokens;
            }
        }
        return sum;
    }

    endpoint_load knownOthers(std::size_t index, std::uint64_t endpoint) const
    {
        const auto found = daemons[index].others.find(endpoint);
        return found == daemons[index].others.end() ? endpoint_load{} : found->second;
    }

    /// Daemons of a domain in the order in which they aggregate.
    std::vector<std::size_t> ranked(const std::string &domain) const
    {
        std::vector<std::size_t> out;
        const auto all = members();
        for (const auto &id : rankAggregators(all, domain)) {
            out.push_back(m_index.at(id));
        }
        return out;
    }

    std::vector<exchange_member> members() const
    {
        std::vector<exchange_member> out;
        for (const auto &daemon : daemons) {
            out.push_back({daemon.id, daemon.domain, daemon.capacity});
        }
        return out;
    }

    std::uint64_t random()
    {
        return m_random();
    }

    std::vector<daemon> daemons;
    instant now = instant() + std::chrono::hours(1);
    double linkMbps = 1000;
    double lossRate = 0;
    duration delay = std::chrono::microseconds(900);
    std::set<std::pair<std::size_t, std::size_t>> cuts; ///< From, to: datagrams are dropped.

private:
    struct event
    {
        instant at;
        std::uint64_t number = 0;
        std::function<void()> action;

        bool operator<(const event &other) const
        {
            return std::pair(at, number) > std::pair(other.at, other.number);
        }
    };

    std::int64_t wallMs(const daemon &daemon) const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() + daemon.clockOffsetMs;
    }

    void scheduleTick(std::size_t index, instant at)
    {
        const auto number = ++daemons[index].nextTick;
        daemons[index].tickAt = at;
        schedule(at, [this, index, number] {
            auto &daemon = daemons[index];
            if (!daemon.alive || daemon.frozen || daemon.nextTick != number) {
                return;
            }
            if (daemon.exchange->nextDue() <= now) {
                const auto summary = [&daemon, this] {
                    daemon_summary out{.serving = daemon.serving, .wallMs = wallMs(daemon)};
                    for (const auto &[endpoint, load] : daemon.own) {
                        out.loads.push_back({endpoint, load});
                    }
                    out.prefixUses = std::exchange(daemon.unsentUses, {});
                    out.notices = selectReports(daemon.endpoints, 8, daemon.nextNotice, now);
                    out.sums = daemon.sums.takeDue(now);
                    return out;
                };
                send(index, daemon.exchange->tick(summary, now, wallMs(daemon)));
                applyEvents(daemon);
            }
            scheduleTick(index, std::max(daemon.exchange->nextDue(), now + std::chrono::milliseconds(1)));
        });
    }

    void send(std::size_t from, const std::vector<outgoing_message> &messages)
    {
        constexpr std::size_t headerBytes = 28; // IP and UDP.
        for (const auto &[member, message] : messages) {
            auto &sender = daemons[from];
            const std::size_t to = m_index.at(member);
            const std::string datagram = encodeExchange(message);
            sender.bytesSent += static_cast<double>(datagram.size() + headerBytes);
            ++sender.messagesSent;
            occupyUplink(sender, datagram.size() + headerBytes);
            if (cuts.contains({from, to}) || std::uniform_real_distribution<double>()(m_random) < lossRate) {
                continue;
            }
            schedule(sender.uplinkFreeAt + delay + sender.extraDelay, [this, from, to, datagram] {
                daemons[to].bytesReceived += static_cast<double>(datagram.size() + headerBytes);
                if (daemons[to].frozen) {
                    daemons[to].inbox.emplace_back(daemons[from].id, datagram);
                } else {
                    deliver(daemons[from].id, to, datagram);
                }
            });
        }
    }

    void deliver(const std::string & /*sender*/, std::size_t to, const std::string &datagram)
    {
        auto &daemon = daemons[to];
        if (!daemon.alive) {
            return;
        }
        const auto message = parseExchange(datagram);
        if (message.ok()) {
            send(to, daemon.exchange->receive(*message, now, wallMs(daemon)));
            applyEvents(daemon);
            if (daemon.exchange->nextDue() < daemon.tickAt) {
                wake(to);
            }
        }
    }

    void applyEvents(daemon &daemon)
    {
        struct applier
        {
            virtual_exchange::daemon &daemon;
            instant now;
            void operator()(const view_reset & /*event*/) const
            {
                daemon.others.clear();
                daemon.peers.clear();
                daemon.sums.clearOthers();
            }
            void operator()(const load_entry &entry) const
            {
                daemon.others[entry.endpoint] = entry.load;
            }
            void operator()(const daemon_entry &entry) const
            {
                daemon.peers.erase(entry.id);
                if (entry.status) {
                    daemon.peers.emplace(entry.id, *entry.status);
                }
            }
            void operator()(const prefix_use &use) const
            {
                daemon.uses.push_back(use);
            }
            void operator()(const suspect_report & /*suspect*/) const { }
            void operator()(const engine_reserved & /*reserved*/) const { }
            void operator()(const sum_entry &sum) const
            {
                daemon.sums.setOthers(sum);
            }
            void operator()(const notice_report &report) const
            {
                applyReport(daemon.endpoints, report, now);
            }
        };
        for (const auto &event : daemon.exchange->takeEvents()) {
            std::visit(applier{daemon, now}, event);
        }
    }

    exchange_intervals m_intervals;
    std::mt19937_64 m_random;
    std::map<std::string, std::size_t> m_index;
    std::priority_queue<event> m_events;
    std::uint64_t m_eventNumber = 0;
};

}
