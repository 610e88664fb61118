#include "serving/limit_share.h"

#include <algorithm>
#include <cmath>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>
#include <random>
#include <span>
#include <variant>
#include <vector>

DEFINE_double(demand, 5, "requests a second at each daemon that the endpoint could serve");
DEFINE_double(age_ms, 130, "age of what a daemon knows of the others");
DEFINE_double(skew_ms, 50, "clocks differ by up to this much from the true time");
DEFINE_bool(roster_changes, true, "half of the daemons miss one member for a second of every ten");
DEFINE_double(change_ms, 0, "the endpoint changes its limit by a little each time this has passed; 0: never");
DEFINE_uint64(seed, 1, "seed of the arrivals");

// Compares ways to share the request limit of one endpoint between daemons that get its requests at random. A request that a way does not let through is
// dropped, as if another endpoint served it.
namespace
{

using lacewinglock::limit_share;

constexpr double runMs = 240'000;
constexpr double windowMs = 4000;
constexpr double allowedFactor = 1.5;
constexpr double allowedExtra = 5;
constexpr double changeSize = 0.0137; // Of the limit, each time.
constexpr double changesPerCycle = 7; // Then the first limit holds again.

/// What a daemon knows when a request arrives.
struct arrival
{
    double atMs = 0;
    double clockMs = 0; ///< Time by the daemon's clock.
    std::size_t daemon = 0;
    std::size_t daemons = 1; ///< As the daemon counts them.
    double limit = 1; ///< Requests per second.
    double limitSinceMs = 0; ///< By the daemon's clock, the time from which roundLimit() has had the same result.
    std::span<const double> sent; ///< Times of all requests that were sent, by any daemon.
    std::span<const std::size_t> senders;
};

/// Each daemon has a bucket of one token, filled with its part of the limit.
struct equal_buckets
{
    std::vector<double> filledAt;

    bool admit(const arrival &now)
    {
        auto &last = filledAt[now.daemon];
        if (now.atMs - last < 1000 * static_cast<double>(now.daemons) / now.limit) {
            return false;
        }
        last = now.atMs;
        return true;
    }
};

/// Each daemon counts the requests of all daemons in the last second, those of the others as late as it hears of them.
struct gossip_count
{
    static bool admit(const arrival &now)
    {
        const double windowOfCountMs = std::max(1000.0, 1000 / now.limit);
        double count = 0;
        for (std::size_t i = now.sent.size(); i-- > 0 && now.sent[i] > now.atMs - windowOfCountMs;) {
            count += now.senders[i] == now.daemon || now.sent[i] < now.atMs - FLAGS_age_ms ? 1 : 0;
        }
        return count + 1 <= std::max(1.0, now.limit * windowOfCountMs / 1000);
    }
};

/// As many daemons as the limit has requests a second send, each with an equal part; the others send nothing.
struct responsible_daemons
{
    std::vector<double> filledAt;

    bool admit(const arrival &now)
    {
        const auto responsible = std::clamp<std::size_t>(static_cast<std::size_t>(now.limit), 1, now.daemons);
        auto &last = filledAt[now.daemon];
        if (now.daemon >= responsible || now.atMs - last < 1000 * static_cast<double>(responsible) / now.limit) {
            return false;
        }
        last = now.atMs;
        return true;
    }
};

/// The slots of limit_share.h.
struct time_slots
{
    std::vector<double> usedMs;

    bool admit(const arrival &now)
    {
        const limit_share share{.perSecond = lacewinglock::roundLimit(now.limit),
                                .daemons = now.daemons,
                                .rank = now.daemon % now.daemons,
                                .offset = 7,
                                .sinceMs = now.limitSinceMs};
        const double slot = lacewinglock::nextFreeSlotMs(share, usedMs[now.daemon], now.clockMs);
        if (slot > now.clockMs) {
            return false;
        }
        usedMs[now.daemon] = slot;
        return true;
    }
};

using way = std::variant<equal_buckets, gossip_count, responsible_daemons, time_slots>;

struct outcome
{
    int worst = 0; ///< Most requests in a window.
    double used = 0; ///< Share of the limit that was used.
    std::size_t starved = 0; ///< Daemons that sent nothing.
};

outcome play(way &sharing, std::size_t daemons, double limit)
{
    std::mt19937_64 random(FLAGS_seed);
    std::exponential_distribution<double> pause(static_cast<double>(daemons) * FLAGS_demand / 1000);
    std::uniform_real_distribution<double> skew(-FLAGS_skew_ms, FLAGS_skew_ms);
    std::vector<double> offsets(daemons);
    std::ranges::generate(offsets, [&] {
        return skew(random);
    });
    std::vector<double> sent;
    std::vector<std::size_t> senders;
    std::vector<bool> served(daemons);
    outcome out;
    std::size_t windowBegin = 0;
    double limitNow = limit;
    double roundedLimit = 0;
    double roundedSinceMs = 0;
    for (double at = 10'000; at < 10'000 + runMs; at += pause(random)) {
        const auto daemon = static_cast<std::size_t>(random() % daemons);
        const bool missesOne = FLAGS_roster_changes && std::fmod(at, 10'000) < 1000 && daemon % 2 == 0 && daemons > 1;
        if (FLAGS_change_ms > 0) {
            const double change = std::floor(at / FLAGS_change_ms);
            limitNow = limit * (1 - changeSize * std::fmod(change, changesPerCycle));
            if (const double rounded = lacewinglock::roundLimit(limitNow); rounded != roundedLimit) {
                roundedLimit = rounded;
                roundedSinceMs = change * FLAGS_change_ms;
            }
        }
        const arrival now{.atMs = at,
                          .clockMs = at + offsets[daemon],
                          .daemon = daemon,
                          .daemons = missesOne ? daemons - 1 : daemons,
                          .limit = limitNow,
                          .limitSinceMs = roundedSinceMs + offsets[daemon],
                          .sent = sent,
                          .senders = senders};
        const auto admits = [&now](auto &chosen) {
            return chosen.admit(now);
        };
        if (!std::visit(admits, sharing)) {
            continue;
        }
        sent.push_back(at);
        senders.push_back(daemon);
        served[daemon] = true;
        while (sent[windowBegin] <= at - windowMs) {
            ++windowBegin;
        }
        out.worst = std::max(out.worst, static_cast<int>(sent.size() - windowBegin));
    }
    out.used = static_cast<double>(sent.size()) / (limit * runMs / 1000);
    out.starved = static_cast<std::size_t>(std::ranges::count(served, false));
    return out;
}

}

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("compares ways to share the request limit of an endpoint between daemons");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::cout << std::fixed << std::setprecision(2) << "daemons limit/s  way          worst 4 s  allowed  used  daemons without a request\n";
    for (const std::size_t daemons : {9U, 90U, 195U, 1100U}) {
        for (const double limit : {0.5, 1.0, 3.5, 20.0}) {
            const std::vector<double> empty(daemons, -1e9);
            const std::pair<const char *, way> ways[] = {
                {"equal buckets", equal_buckets{empty}},
                {"gossip", gossip_count{}},
                {"responsible", responsible_daemons{empty}},
                {"slots", time_slots{empty}},
            };
            for (auto [name, sharing] : ways) {
                const auto result = play(sharing, daemons, limit);
                const double allowed = allowedFactor * limit * windowMs / 1000 + allowedExtra;
                std::cout << std::setw(7) << daemons << std::setw(8) << limit << "  " << std::left << std::setw(13) << name << std::right << std::setw(9)
                          << result.worst << std::setw(9) << std::floor(allowed) << std::setw(6) << result.used << std::setw(8) << result.starved << "\n";
            }
        }
    }
    return 0;
}
