#include "serving/admission_log.h"
#include "serving/admission_meter.h"
#include "serving/placement_log.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <set>

namespace lacewinglock
{

namespace
{

using namespace std::chrono_literals;

/// A kind of requests that callers send all the time, or during a burst.
struct traffic
{
    std::string organisation;
    int priority = 2;
    double tokens = 380;
    double targetMs = 450;
    double deadlineMs = 3000;
    double perSecond = 0;
    double fromMs = 0;
    double toMs = 1e9;
};

struct figures
{
    double sent = 0;
    double served = 0;
    double onTime = 0;
    double attempts = 0;

    double servedShare() const
    {
        return served / sent;
    }
    double onTimeShare() const
    {
        return onTime / sent;
    }
};

/// Daemons that admit requests to engines, each from its own part of the traffic, with loads that are 100 ms old and the sums of the others, on a virtual
/// clock. Callers that are refused come back after the time they were told, at any daemon, until their deadline.
class admission_fleet
{
public:
    admission_fleet(std::size_t daemons, bool ordered, double lossRate = 0)
        : m_daemons(daemons)
        , m_ordered(ordered)
        , m_lossRate(lossRate)
    {
    }

    /// Requests per second that keep all engines busy.
    static double capacity(double tokens)
    {
        return engines * 1000 / workMs(tokens);
    }

    std::vector<figures> run(const std::vector<traffic> &kinds, double ms)
    {
        std::vector<figures> out(kinds.size());
        for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
            std::exponential_distribution<double> gap(kinds[kind].perSecond / 1000);
            for (double at = kinds[kind].fromMs + gap(m_random); at < std::min(kinds[kind].toMs, ms); at += gap(m_random)) {
                m_arrivals.emplace(at, request{kind, at});
                ++out[kind].sent;
            }
        }
        for (m_ms = 0; m_ms < ms + 6000; m_ms += 5) {
            if (static_cast<int>(m_ms) % 250 == 0) {
                exchangeSums();
            }
            m_history.push_back(m_freeAt);
            m_history.erase(m_history.begin(), m_history.end() - std::min<std::ptrdiff_t>(21, static_cast<std::ptrdiff_t>(m_history.size())));
            std::multimap<double, request> due;
            while (!m_arrivals.empty() && m_arrivals.begin()->first <= m_ms) {
                due.insert(m_arrivals.extract(m_arrivals.begin()));
            }
            for (auto &[at, request] : due) {
                const auto &kind = kinds[request.kind];
                if (!request.waits) {
                    request.daemon = m_random() % m_daemons.size();
                    request.arrivedMs = m_ms;
                    m_daemons[request.daemon].meter.noteArrival(metered(kind), now());
                    ++out[request.kind].attempts;
                }
                decide(request, kind, out[request.kind]);
            }
        }
        return out;
    }

    bool sumsLost = false; ///< No daemon has news of the others.
    std::size_t waits = 0;
    std::size_t longestEngineQueueMs = 0;

private:
    static constexpr std::size_t engines = 10;
    static constexpr double overheadMs = 61;

    struct request
    {
        std::size_t kind = 0;
        double sentMs = 0;
        double arrivedMs = 0;
        std::size_t daemon = 0;
        bool waits = false;
    };
    struct daemon
    {
        admission_meter meter;
        shared_sums sums;
        std::vector<sum_entry> published;
        std::deque<std::pair<double, std::size_t>> sent; ///< Time and engine of the requests that the loads do not include yet.
        std::multiset<double> running; ///< When they end.
    };

    static double workMs(double tokens)
    {
        return tokens / 54.6 + 6;
    }

    static metered_request metered(const traffic &kind)
    {
        return {.service = "s", .priority = kind.priority, .organisation = kind.organisation, .size = kind.tokens};
    }

    instant now() const
    {
        return instant() + 1h + fromMs(m_ms);
    }

    void exchangeSums()
    {
        std::uniform_real_distribution<double> uniform;
        std::map<std::uint64_t, double> totals;
        for (auto &daemon : m_daemons) {
            daemon.meter.publish(daemon.sums, now());
            if (uniform(m_random) >= m_lossRate) {
                daemon.published = daemon.sums.toPublish(64);
            }
            for (const auto &[key, value] : daemon.published) {
                totals[key] += value;
            }
        }
        for (auto &daemon : m_daemons) {
            if (sumsLost || uniform(m_random) < m_lossRate) {
                continue;
            }
            auto others = totals;
            for (const auto &[key, value] : daemon.published) {
                others[key] -= value;
            }
            daemon.sums.clearOthers();
            for (const auto &[key, value] : others) {
                daemon.sums.setOthers({key, value});
            }
        }
    }

    void decide(request &request, const traffic &kind, figures &out)
    {
        auto &daemon = m_daemons[request.daemon];
        const double work = workMs(kind.tokens);
        // The better of two engines, as this daemon knows them: all would choose the same best one.
        auto known = m_history.front();
        std::erase_if(daemon.sent, [&](const auto &entry) {
            return entry.first < m_ms - 100;
        });
        for (const auto &[at, engine] : daemon.sent) {
            known[engine] = std::max(known[engine], at) + work;
        }
        const std::size_t first = m_random() % engines;
        const std::size_t second = m_random() % engines;
        const std::size_t engine = known[first] <= known[second] ? first : second;
        const double queue = std::max(0.0, known[engine] - m_ms);
        const double elapsed = m_ms - request.arrivedMs;
        const double remaining = request.sentMs + kind.deadlineMs - m_ms;
        admission_outlook outlook{.available = true, .queueMs = queue, .workMs = work + overheadMs, .slots = 160, .freePercent = 100};
        outlook.onTime = elapsed + queue + outlook.workMs <= kind.targetMs;
        outlook.runsLate = queue <= 40 && queue + outlook.workMs <= 0.6 * remaining;
        const double roll = std::uniform_real_distribution<double>()(m_random);
        admission_result result;
        if (m_ordered) {
            admission_input input{.priority = kind.priority, .size = kind.tokens, .elapsedMs = elapsed, .targetMs = kind.targetMs, .remainingMs = remaining};
            input.outlook = outlook;
            input.load = daemon.meter.loadFor(metered(kind), daemon.sums, now());
            input.credit = daemon.meter.creditOf(metered(kind));
            input.ageMs = sumsLost ? lostAgeMs : 100;
            input.daemons = static_cast<double>(m_daemons.size());
            daemon.running.erase(daemon.running.begin(), daemon.running.upper_bound(m_ms));
            input.ownRunning = static_cast<double>(daemon.running.size());
            input.returnsMs = daemon.meter.returnsMs(metered(kind), now());
            input.jitter = roll;
            result = decideAdmission(input);
        } else if (!outlook.onTime && !outlook.runsLate) {
            result = {.verdict = admission_verdict::Refuse, .retryAfterMs = std::clamp(queue, 250.0, 3000.0) * (1 + 0.5 * roll)};
        }
        request.waits = result.verdict == admission_verdict::Wait;
        if (result.verdict == admission_verdict::Run) {
            daemon.meter.noteRun(metered(kind), now());
            daemon.sent.emplace_back(m_ms, engine);
            longestEngineQueueMs = std::max(longestEngineQueueMs, static_cast<std::size_t>(std::max(0.0, m_freeAt[engine] - m_ms)));
            m_freeAt[engine] = std::max(m_freeAt[engine], m_ms) + work;
            const double answeredMs = m_freeAt[engine] + overheadMs;
            daemon.running.insert(answeredMs);
            out.served += answeredMs <= request.sentMs + kind.deadlineMs ? 1 : 0;
            out.onTime += answeredMs <= std::min(request.arrivedMs + kind.targetMs, request.sentMs + kind.deadlineMs) ? 1 : 0;
        } else if (request.waits) {
            ++waits;
            m_arrivals.emplace(m_ms + 15, request);
        } else {
            daemon.meter.noteRefusal(metered(kind), now());
            if (const double at = m_ms + result.retryAfterMs; at < request.sentMs + kind.deadlineMs) {
                m_arrivals.emplace(at, request);
            }
        }
    }

    std::vector<daemon> m_daemons;
    bool m_ordered;
    double m_lossRate;
    std::mt19937_64 m_random{11};
    double m_ms = 0;
    std::array<double, engines> m_freeAt{};
    std::vector<std::array<double, engines>> m_history;
    std::multimap<double, request> m_arrivals;
};

void record(const std::string &name, const figures &result)
{
    testing::Test::RecordProperty(name + "_served", std::to_string(result.servedShare()));
    testing::Test::RecordProperty(name + "_on_time", std::to_string(result.onTimeShare()));
}

double servedTokens(const std::vector<traffic> &kinds, const std::vector<figures> &results)
{
    double sum = 0;
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        sum += results[i].served * kinds[i].tokens;
    }
    return sum;
}

constexpr double lossRate = 1.0 / 3;

}

// Guards against shares that exceed the capacity, or leave some of it unused.
TEST(request_admission, fair_shares_use_the_whole_capacity)
{
    EXPECT_EQ(fairShare(std::vector<double>{1, 1, 1, 40}, 10), 7);
    EXPECT_EQ(fairShare(std::vector<double>{5, 5}, 4), 2);
    EXPECT_EQ(fairShare(std::vector<double>{1, 2}, 4), unlimitedShare);
    EXPECT_EQ(fairShare({}, 4), unlimitedShare);
    EXPECT_EQ(fairShare(std::vector<double>{3}, -1), 0);
}

// Guards against restrictions while there is room, requests held in vain, and less urgent requests that go first.
TEST(request_admission, decides_by_room_rank_and_time)
{
    admission_input input{.targetMs = 600, .remainingMs = 3000, .daemons = 84};
    input.outlook = {.available = true, .onTime = true, .queueMs = 300, .workMs = 100, .slots = 16, .freePercent = 50};
    input.load = {.demand = 100, .unserved = 0, .urgentLevels = 2, .organisationDemand = 90, .fairShare = 10};
    EXPECT_EQ(decideAdmission(input).verdict, admission_verdict::Run); // Nobody is refused.
    input.load.unserved = 50;
    EXPECT_EQ(decideAdmission(input).reason, "others go first");
    input.outlook.queueMs = 100;
    EXPECT_EQ(decideAdmission(input).verdict, admission_verdict::Wait);
    input.load.urgentLevels = 0;
    input.credit = 1;
    EXPECT_EQ(decideAdmission(input).verdict, admission_verdict::Run);
    input.outlook.queueMs = 0;
    input.load.urgentLevels = 2;
    input.credit = -1;
    EXPECT_EQ(decideAdmission(input).verdict, admission_verdict::Run); // An idle endpoint serves anyone.
    input.outlook = {.available = true, .queueMs = 900, .workMs = 100, .slots = 16};
    EXPECT_EQ(decideAdmission(input).verdict, admission_verdict::Refuse); // A wait of 200 ms at most would be in vain.
    EXPECT_GE(decideAdmission(input).retryAfterMs, 900);
    input.outlook.queueMs = 100;
    const auto wait = decideAdmission(input);
    EXPECT_EQ(wait.verdict, admission_verdict::Wait);
    EXPECT_LE(wait.waitMs, 200);
    input.remainingMs = 250;
    EXPECT_EQ(decideAdmission(input).verdict, admission_verdict::Refuse); // It would be served after its deadline.
    input.remainingMs = 3000;
    input.queueHasRoom = false;
    EXPECT_EQ(decideAdmission(input).verdict, admission_verdict::Refuse);
    input.outlook = {.available = true, .onTime = true, .workMs = 100, .slots = 168, .freePercent = 100};
    input.ageMs = lostAgeMs;
    input.ownRunning = 2;
    EXPECT_EQ(decideAdmission(input).verdict, admission_verdict::Run);
    input.ownRunning = 3;
    EXPECT_EQ(decideAdmission(input).reason, "own part is used");
    input.outlook.available = false;
    EXPECT_EQ(decideAdmission(input).verdict, admission_verdict::Run); // Placement knows why.
}

// Guards against shares that stay at nothing after an outage in which all requests were refused.
TEST(request_admission, shares_recover_after_an_outage)
{
    admission_meter meter;
    const shared_sums sums;
    const metered_request large{.service = "s", .organisation = "a", .size = 10};
    auto shareAfter = [&, ms = 0](int end, bool served) mutable {
        double share = 0;
        for (; ms < end; ms += 10) {
            const instant now = instant() + 1h + std::chrono::milliseconds(ms);
            meter.noteArrival(large, now);
            share = meter.loadFor(large, sums, now).fairShare;
            if (!served || ms % 20 == 0) {
                meter.noteUnserved(large, now);
            }
        }
        return share;
    };
    EXPECT_GE(shareAfter(4000, true), 400);
    EXPECT_LE(shareAfter(10000, false), 130);
    EXPECT_GE(shareAfter(13000, true), 400);
}

// Guards against decisions that can't be replayed from the log.
TEST(request_admission, is_replayed_from_its_log_line)
{
    std::mt19937_64 random(5);
    const auto tenths = [&](int most) {
        return static_cast<double>(random() % static_cast<std::uint64_t>(most)) / 10;
    };
    for (int i = 0; i < 300; ++i) {
        admission_input input{.requestId = std::to_string(i), .service = "s", .organisation = "o", .priority = static_cast<int>(random() % 10)};
        input.size = tenths(100000);
        input.elapsedMs = tenths(3000);
        input.targetMs = tenths(9000);
        input.remainingMs = tenths(50000);
        input.returning = random() % 2 == 0;
        input.outlook = {random() % 9 != 0, random() % 2 == 0, random() % 2 == 0, tenths(9000), tenths(9000), tenths(900), tenths(1000)};
        input.load = {tenths(90000), tenths(9000), static_cast<int>(random() % 4), tenths(9000), random() % 3 == 0 ? unlimitedShare : tenths(9000)};
        input.credit = toTenth(tenths(1000) - 50);
        input.ageMs = tenths(20000);
        input.daemons = static_cast<double>(1 + random() % 90);
        input.ownRunning = static_cast<double>(random() % 9);
        input.returnsMs = tenths(9000);
        input.queueHasRoom = random() % 4 != 0;
        input.jitter = tenths(10);
        log_line line(1, admissionEvent);
        logAdmission(line, input, decideAdmission(input));
        const auto text = line.take();
        EXPECT_EQ(parseAdmission(text)->value(), input) << text;
        EXPECT_TRUE(replayAdmission(text).value()) << text;
    }
    EXPECT_FALSE(replayAdmission(R"({"event":"admission","id":"x"})").ok());
    EXPECT_FALSE(replayAdmission(R"({"event":"request"})").value());
}

// Guards against an organisation that takes the service from the others, and against capacity that stays unused.
TEST(request_admission, three_small_organisations_are_served_beside_one_of_forty_times_the_demand)
{
    const double unit = 2 * admission_fleet::capacity(380) / 43;
    const std::vector<traffic> kinds{
        {"a", 2, 380, 450, 3000, unit}, {"b", 2, 380, 450, 3000, unit}, {"c", 2, 380, 450, 3000, unit}, {"d", 2, 380, 450, 3000, 40 * unit}};
    for (const std::size_t daemons : {1, 9, 84}) {
        const auto results = admission_fleet(daemons, true, lossRate).run(kinds, 20000);
        const auto before = admission_fleet(daemons, false, lossRate).run(kinds, 20000);
        for (std::size_t i = 0; i < kinds.size(); ++i) {
            const std::string name = std::to_string(daemons) + "_daemons_" + kinds[i].organisation;
            record(name, results[i]);
            record(name + "_before", before[i]);
            if (i < 3) {
                EXPECT_GE(results[i].servedShare(), 0.97) << name;
                EXPECT_GE(results[i].onTimeShare(), 0.7) << name;
            }
        }
        EXPECT_GE(servedTokens(kinds, results), 0.95 * servedTokens(kinds, before)) << daemons;
    }
}

// Guards against urgent requests that are refused while less urgent ones are served.
TEST(request_admission, urgent_requests_go_first_at_twice_the_capacity)
{
    const double capacity = admission_fleet::capacity(380);
    const std::vector<traffic> kinds{{"a", 0, 380, 450, 3000, 0.8 * capacity}, {"a", 2, 380, 450, 3000, 1.2 * capacity}};
    const auto results = admission_fleet(84, true, lossRate).run(kinds, 20000);
    const auto before = admission_fleet(84, false, lossRate).run(kinds, 20000);
    record("urgent", results[0]);
    record("urgent_before", before[0]);
    record("other", results[1]);
    record("other_before", before[1]);
    EXPECT_GE(results[0].servedShare(), 0.97);
    EXPECT_GE(results[0].onTimeShare(), 0.8);
    EXPECT_GE(servedTokens(kinds, results), 0.95 * servedTokens(kinds, before));
}

// Guards against short prompts that starve in a burst of long ones, or long ones that are never served because short ones fit better.
TEST(request_admission, long_and_short_prompts_share_the_engines_in_a_burst)
{
    const std::vector<traffic> kinds{{"a", 2, 380, 450, 3000, 0.4 * admission_fleet::capacity(380)},
                                     {"b", 2, 17000, 900, 6000, 1.5 * admission_fleet::capacity(17000), 3000, 5800}};
    const auto results = admission_fleet(84, true, lossRate).run(kinds, 9000);
    const auto before = admission_fleet(84, false, lossRate).run(kinds, 9000);
    record("short", results[0]);
    record("short_before", before[0]);
    record("long", results[1]);
    record("long_before", before[1]);
    EXPECT_GE(results[0].servedShare(), 0.97);
    EXPECT_GE(results[1].servedShare(), 0.9);
    EXPECT_GE(results[0].onTimeShare(), before[0].onTimeShare() - 0.02);
    EXPECT_GE(results[1].onTimeShare(), before[1].onTimeShare() - 0.02);
}

// Guards against refused callers that return together and keep the service overloaded, and against a restriction of a service that has room.
TEST(request_admission, a_burst_ends_without_a_retry_storm)
{
    const double capacity = admission_fleet::capacity(380);
    const std::vector<traffic> kinds{{"a", 2, 380, 450, 3000, 0.6 * capacity, 0, 4000},
                                     {"a", 2, 380, 450, 3000, 2.5 * capacity, 4000, 7000},
                                     {"a", 2, 380, 450, 3000, 0.6 * capacity, 10500, 16000}};
    admission_fleet fleet(84, true, lossRate);
    const auto results = fleet.run(kinds, 16000);
    const auto before = admission_fleet(84, false, lossRate).run(kinds, 16000);
    record("before_the_burst", results[0]);
    record("in_the_burst", results[1]);
    record("in_the_burst_before", before[1]);
    record("after_the_burst", results[2]);
    EXPECT_GE(results[0].onTimeShare(), 0.99);
    EXPECT_GE(results[2].onTimeShare(), 0.98);
    EXPECT_GE(results[1].served, 0.95 * before[1].served);
    EXPECT_LE(results[1].attempts, before[1].attempts);
}

// Guards against daemons that all take the engines for idle when none knows of the others.
TEST(request_admission, without_news_the_daemons_open_no_faster_than_the_engines)
{
    const std::vector<traffic> kinds{{"a", 2, 380, 450, 3000, 3 * admission_fleet::capacity(380), 0, 2000}};
    admission_fleet fleet(84, true);
    fleet.sumsLost = true;
    const auto results = fleet.run(kinds, 2000);
    record("without_news", results[0]);
    EXPECT_GE(results[0].served, admission_fleet::capacity(380) * 2 * 0.8);
    EXPECT_LE(fleet.longestEngineQueueMs, 700U);
}

}
