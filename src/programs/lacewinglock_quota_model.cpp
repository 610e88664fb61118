#include "standin/virtual_quota.h"

#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>
#include <string_view>
#include <vector>

DEFINE_uint64(seed, 1, "seed of the arrivals and of the exchange");
DEFINE_uint64(daemons, 0, "only this number of daemons; 0: 9, 84 and 1,100");
DEFINE_double(seconds, 60, "length of each run");
DEFINE_double(rate, 448713, "rate and burst of the quota");
DEFINE_bool(requests, false, "the quota counts requests");
DEFINE_string(only, "", "only scenarios with this in their names");
DEFINE_string(way, "ledger", "ledger, equal or slots");

// Reports how the quota of one organisation is kept to, and how much of it can be used, by virtual daemons that exchange sums with delays and losses.
int main(int argc, char **argv)
{
    using lacewinglock::quota_phase;
    using lacewinglock::quota_scenario;
    using lacewinglock::quota_way;
    gflags::SetUsageMessage("models the quota of an organisation over many daemons");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::vector<std::pair<const char *, quota_scenario>> scenarios{
        {"half of the quota", {.demand = 0.5}},
        {"nine tenths", {.demand = 0.9}},
        {"twice the quota", {.demand = 2}},
        {"jump from 0.5", {.demand = 0.5, .jump = quota_phase{30, 40}, .rampS = 1, .measured = {30, 40}}},
        {"jump from 1", {.demand = 1, .jump = quota_phase{30, 40}, .rampS = 1, .measured = {30, 40}}},
        {"jump at once from 1", {.demand = 1, .jump = quota_phase{30, 40}, .measured = {30, 40}}},
        {"limit to a quarter", {.demand = 0.9, .limitsAtS = 30, .measured = {33, 60}}},
        {"kill of a third, 0.9", {.demand = 0.9, .killAtS = 30, .measured = {30, 60}}},
        {"kill of a third, 2", {.demand = 2, .killAtS = 30, .measured = {40, 60}}},
        {"partition, 2", {.demand = 2, .partition = quota_phase{25, 45}, .measured = {25, 45}}},
        {"freeze of a third, 2", {.demand = 2, .freeze = quota_phase{25, 29}, .measured = {25, 35}}},
        {"a third of sums lost, 0.9", {.demand = 0.9, .lostSums = 0.33}},
        {"a third of sums lost, jump", {.demand = 1, .jump = quota_phase{30, 40}, .rampS = 1, .lostSums = 0.33, .measured = {30, 40}}},
        {"callers at two, 0.9", {.demand = 0.9, .callersAt = 2}},
        {"callers at two, 2", {.demand = 2, .callersAt = 2}},
        {"1.3 times, with returns", {.demand = 1.3, .returns = true}},
        {"twice, with returns", {.demand = 2, .returns = true}},
        {"restart of all, 2", {.demand = 2, .restartAtS = 30, .measured = {30, 38}}},
        {"all start, 2", {.demand = 2, .measured = {0, 8}}},
        {"all start, 0.5", {.demand = 0.5, .measured = {0, 8}}},
    };
    const auto way = FLAGS_way == "equal" ? quota_way::EqualShares : FLAGS_way == "slots" ? quota_way::Slots : quota_way::Ledger;
    std::vector<std::size_t> fleets{9, 84, 1100};
    if (FLAGS_daemons > 0) {
        fleets = {FLAGS_daemons};
    }
    std::cout << std::fixed << std::setprecision(3)
              << "daemons  scenario                     worst 8 s / allowed  used of quota  served of demand  waited  served on return\n";
    for (const auto daemons : fleets) {
        for (auto [name, scenario] : scenarios) {
            if (std::string_view(name).find(FLAGS_only) == std::string_view::npos) {
                continue;
            }
            scenario.daemons = daemons;
            scenario.seed = FLAGS_seed;
            scenario.seconds = FLAGS_seconds;
            scenario.limits.ratePerSecond = FLAGS_rate;
            scenario.limits.burst = FLAGS_rate;
            scenario.limits.unit = FLAGS_requests ? lacewinglock::quota_unit::Requests : lacewinglock::quota_unit::Tokens;
            scenario.way = way;
            const auto outcome = lacewinglock::runQuota(scenario);
            std::cout << std::setw(7) << daemons << "  " << std::left << std::setw(28) << name << std::right << std::setw(21) << outcome.worst << std::setw(15)
                      << outcome.used << std::setw(18) << outcome.served << std::setw(8) << outcome.waited << std::setw(18) << outcome.servedOnReturn
                      << std::endl;
        }
    }
    return 0;
}
