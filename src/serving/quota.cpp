#include "serving/quota.h"

#include <algorithm>
#include <cmath>

namespace lacewinglock
{

namespace
{

constexpr double windowSeconds = 8; // Of the rule for quotas.
constexpr double tokenAllowance = 190'000;
// Part of the allowance that daemons count on. The rest covers sums that are not exact: a change of less than a tenth is not published.
constexpr double usedAllowance = 0.7;
constexpr double bucketExcess = 0.08; // Of the limit of a window, added to the burst.
// Of the limit of a window, for what is admitted before others hear of it. With 0.08, 84 daemons refused up to 24 in 1,000 tokens at nine tenths of the quota,
// with 0.10 up to 16. A sudden jump from the whole quota to 7.5 times reached 0.992 of the allowed amount at 9 daemons, one within a second 0.951 (ten seeds).
constexpr double windowExcess = 0.10;
constexpr double startUse = 0.75; // Of the rate: the past use that a daemon assumes that has just started.
// Demand rises to 7.5 times the usual one within a second, so to about three times on average until the others have heard of it.
constexpr double jumpFactor = 3;
// A share grows with the third power of the number of jumps that fit the room, so that it no longer binds when 7.5 times the usual demand fits.
constexpr double shareExponent = 3;
constexpr double maxJumps = 10; // Then the share is the whole room for up to 500 daemons.
// Part of one request that a daemon may admit whatever its share is, times the factor of the share. Of many daemons only few have a request before the others
// hear of it. Without it 1,100 daemons refused 15 in 100 tokens at nine tenths of the quota, with it 7; with 0.35 the worst window of 300 daemons rose from
// 0.93 to 0.96 of the allowed amount.
constexpr double singlePart = 0.2;
constexpr double equalPart = 0.5; // Of the room, divided equally, so that a daemon that gets its first requests can serve them.
constexpr double shareSmoothingS = 5; // A daemon that gets a hundredth of the demand sees a request every few seconds.
constexpr double usualSmoothingS = 30; // Bursts of long and of short prompts alternate every 2.8 s.
// By then most of the others have heard of an admission: a summary carries sums at most every 250 ms, and the exchange takes 30 to 300 ms.
constexpr double hearMs = 400;
constexpr double publishMs = 250;
constexpr std::size_t publishBins = 10; // Of 50 ms: twice the time between two summaries with sums.
// With older sums the bucket grows by a part of the rate at most. The age is that of the daemon that was heard longest ago, which may have ended: without
// any growth, sums that were always late left 0.01 of a quota usable at 9 daemons.
constexpr double lateMs = 700;
constexpr double latePart = 0.25;
constexpr double lostMs = 1250; // Sums of daemons that do not report are removed after 1 s, which others learn a few polls later.
constexpr auto lostTime = std::chrono::milliseconds(1250); // The same for a daemon that did not run itself.
constexpr auto recentBin = std::chrono::milliseconds(50);
// In which an admission is told to the others. Twice the time between two summaries with sums, so that a lost one costs less than half of it.
constexpr double flowSeconds = 0.5;
constexpr double smallestFlow = 0.1; // Of an equal share of the rate. A smaller one is kept until it has grown, which saves messages.
constexpr auto equalDitherTime = std::chrono::seconds(2); // A daemon that drew a high level tries another one within the window.
constexpr double maxWindowsPerSecond = 4; // All of a window admitted at once, as a flow, is half of this. A larger sum of others is odd.
constexpr double minRetryMs = 50;
constexpr double maxRetryMs = 8000; // Everything that was admitted until now has left the window by then.

double seconds(duration time)
{
    return toMs(time) / 1000;
}

double windowUnits(const quota_limits &limits)
{
    return limits.ratePerSecond * windowSeconds + limits.burst;
}

double depthOf(const quota_limits &limits, std::size_t daemons)
{
    return limits.burst + bucketExcess * windowUnits(limits) + usedAllowance * quotaAllowance(limits, daemons);
}

// Half of the bucket, without the allowance: it may be much larger than what a small quota gains in seconds.
double fullPaceLevel(const quota_limits &limits)
{
    return (limits.burst + bucketExcess * windowUnits(limits)) / 2;
}

double windowLimitOf(const quota_limits &limits, std::size_t daemons)
{
    return (1 + windowExcess) * windowUnits(limits) + usedAllowance * quotaAllowance(limits, daemons);
}

// A sum of other daemons may be odd. It is then cut, or counts as 0.
quota_flow checked(const quota_flow &flow, double windowLimit)
{
    const auto check = [&](double value) {
        return std::isfinite(value) ? std::clamp(value, 0.0, maxWindowsPerSecond * windowLimit) : 0;
    };
    return {.used = check(flow.used), .refused = check(flow.refused)};
}

double retryTime(const quota_input &input)
{
    const double shareRate = std::max(input.share * input.ratePerSecond, 1e-9);
    return std::clamp((input.promised + input.cost) / shareRate * 1000, minRetryMs, maxRetryMs);
}

}

double quotaAllowance(const quota_limits &limits, std::size_t daemons)
{
    return limits.unit == quota_unit::Tokens ? tokenAllowance : static_cast<double>(daemons);
}

quota_decision decideQuota(const quota_input &input)
{
    if (input.unheardMs <= 0) {
        // A single daemon knows everything. A request that is larger than the bucket needs all of it.
        const bool admitted = input.level >= std::min(input.cost, input.depth) && input.cost <= input.windowLimit;
        const double missing = std::min(input.cost, input.depth) + input.promised - input.level;
        return {.admitted = admitted, .retryAfterMs = admitted ? 0 : std::clamp(missing / input.ratePerSecond * 1000, minRetryMs, maxRetryMs)};
    }
    const double hearTime = input.unheardMs / 1000;
    const double room = std::max(0.0, input.windowRoom);
    // Of a demand beyond the quota, most is refused already. Counted in full, it left 0.29 of a quota unused at 1,100 daemons, and 0.12 with this bound.
    const double jump = std::max(jumpFactor * std::min(input.demandPerSecond, input.ratePerSecond) * hearTime, 1e-9);
    const double shareFactor = std::pow(std::clamp(room / jump, 1.0, maxJumps), shareExponent);
    // At a low level less is admitted, so that the use settles at the rate.
    const double supply = input.ratePerSecond * hearTime;
    const double pace = std::clamp((input.level + supply) / (input.fullPaceLevel + supply), 0.0, 1.0);
    const double single = room >= input.cost ? input.cost * std::min(1.0, singlePart * shareFactor) : 0;
    // No daemon takes more than the bucket at once, so that a jump from low demand does not use up the window in its first moments.
    const double allowance = std::min(std::max(std::min(1.0, input.share * shareFactor) * room, single) * pace, input.level + supply);
    if (input.cost <= input.windowLimit && input.unheard + input.cost * input.dither <= allowance) {
        return {};
    }
    const bool hasRoom = pace >= 1 && input.cost <= input.windowLimit && room >= input.cost;
    return {.admitted = false, .mayWait = hasRoom, .retryAfterMs = hasRoom ? input.unheardMs / 2 : std::max(input.unheardMs / 2, retryTime(input))};
}

template <std::size_t Bins>
void quota_account::history<Bins>::moveTo(std::int64_t bin)
{
    const auto passed = std::clamp<std::int64_t>(bin - newest, 0, Bins);
    for (std::int64_t i = 1; i <= passed; ++i) {
        amounts[static_cast<std::size_t>(bin - passed + i) % Bins] = 0;
    }
    newest = std::max(newest, bin);
}

template <std::size_t Bins>
double quota_account::history<Bins>::sum(std::size_t bins) const
{
    double total = 0;
    for (std::size_t i = 0; i < std::min(bins, Bins); ++i) {
        total += amounts[(static_cast<std::size_t>(newest) + Bins - i) % Bins];
    }
    return total;
}

quota_account::quota_account(const quota_limits &limits, duration window, bool pastKnown, const quota_fleet &fleet, const quota_flow &others, instant now)
    : m_limits(limits)
    , m_windowBin(std::max<duration>(window / (windowBins - 1), std::chrono::milliseconds(1)))
    , m_fleet(fleet)
    , m_advancedAt(now)
    , m_ditheredAt(now)
    , m_promisedUntil(now)
{
    moveTo(now);
    m_fleet.daemons = std::max<std::size_t>(fleet.daemons, 1);
    const auto heard = checked(others, windowLimitOf(m_limits, m_fleet.daemons));
    m_othersDemand = heard.used + heard.refused;
    // The present flow of a small quota is 0 or much more than its mean.
    const double used = pastKnown ? std::min(heard.used, startUse * m_limits.ratePerSecond) : startUse * m_limits.ratePerSecond;
    m_window.amounts.fill(used * seconds(m_windowBin));
    m_level = depthOf(m_limits, m_fleet.daemons) * (1 - used / m_limits.ratePerSecond);
    m_usualDemand = pastKnown ? m_othersDemand : used;
}

void quota_account::moveTo(instant now)
{
    m_window.moveTo(now.time_since_epoch() / m_windowBin);
    m_used.moveTo(now.time_since_epoch() / recentBin);
}

void quota_account::setLimits(const quota_limits &limits)
{
    if (limits == m_limits) {
        return;
    }
    // What was admitted under a higher limit must not use up the lower one, which is binding only for windows that begin later.
    const bool sameUnit = limits.unit == m_limits.unit;
    const double scale = sameUnit ? std::min(1.0, windowUnits(limits) / windowUnits(m_limits)) : 0;
    std::ranges::for_each(m_window.amounts, [&](double &amount) {
        amount *= scale;
    });
    if (!sameUnit) {
        m_used.amounts.fill(0);
        m_untold = {};
        m_level = 0;
    }
    m_limits = limits;
    m_level = std::min(m_level, depthOf(m_limits, m_fleet.daemons));
    const auto daemons = static_cast<double>(m_fleet.daemons);
    m_equalLevel = std::clamp(m_equalLevel, -windowSeconds * m_limits.ratePerSecond / daemons, m_limits.burst / daemons);
}

void quota_account::advance(const quota_fleet &fleet, const quota_flow &others, const quota_flow &published, bool fits, instant now)
{
    const duration passed = std::max(now - m_advancedAt, duration::zero());
    m_advancedAt = std::max(now, m_advancedAt);
    m_fleet = fleet;
    m_fleet.daemons = std::max<std::size_t>(fleet.daemons, 1);
    m_fleet.heard = std::clamp<std::size_t>(fleet.heard, 1, m_fleet.daemons);
    moveTo(m_advancedAt);
    const double windowLimit = windowLimitOf(m_limits, m_fleet.daemons);
    const auto heard = checked(others, windowLimit);
    const auto told = checked(published, windowLimit);
    const double time = seconds(passed);
    const auto daemons = static_cast<double>(m_fleet.daemons);
    const double heardPart = static_cast<double>(m_fleet.heard) / daemons;
    const double rate = m_limits.ratePerSecond * heardPart;
    // Nothing is published, although there has been time for it: the others can't take the own use into account.
    const double smallest = smallestFlow * m_limits.ratePerSecond / daemons;
    const bool untold = told.used == 0 && m_untold.used - m_used.sum(publishBins) > smallest * flowSeconds;
    m_alone = m_fleet.daemons > 1 && (m_fleet.heard == 1 || m_fleet.ageMs > lostMs || !fits || untold);
    m_equalLevel = std::min(m_equalLevel + m_limits.ratePerSecond / daemons * time,
                            (m_limits.burst + usedAllowance * quotaAllowance(m_limits, m_fleet.daemons)) / daemons);
    // What the others used while they were not heard is unknown: it counts as the whole rate.
    const bool unknown = m_fleet.daemons > 1 && (m_fleet.heard == 1 || m_fleet.ageMs > lostMs || passed > lostTime);
    const double othersUse = m_fleet.daemons == 1 ? 0 : unknown ? m_limits.ratePerSecond : heard.used;
    const double growth = (rate - othersUse) * time;
    const double lateGrowth = std::max(1 / daemons, latePart) * rate * time;
    m_level = std::min(m_level + (m_fleet.ageMs > lateMs ? std::min(growth, lateGrowth) : growth), depthOf(m_limits, m_fleet.daemons) * heardPart);
    // All that counts has left the window after 8 s, whatever the others told.
    m_level = std::clamp(m_level, -windowLimit, unknown ? 0.0 : depthOf(m_limits, m_fleet.daemons));
    m_window.current() += othersUse * time;
    m_othersUntold = othersUse * flowSeconds;
    const double maxUntold = m_limits.ratePerSecond * windowSeconds;
    const auto tell = [&](double &untold, double perSecond) {
        untold = std::clamp(untold - perSecond * time, -maxUntold, maxUntold);
    };
    tell(m_untold.used, told.used);
    tell(m_untold.refused, told.refused);
    const double shareWeight = 1 - std::exp(-time / shareSmoothingS);
    const auto mine = own();
    m_ownDemand += shareWeight * (mine.used + mine.refused - m_ownDemand);
    m_publishedDemand += shareWeight * (told.used + told.refused - m_publishedDemand);
    m_othersDemand += shareWeight * (heard.used + heard.refused - m_othersDemand);
    m_usualDemand += (1 - std::exp(-time / usualSmoothingS)) * (m_ownDemand + m_othersDemand - m_usualDemand);
}

quota_input quota_account::makeInput(double cost) const
{
    const double heardPart = static_cast<double>(m_fleet.heard) / static_cast<double>(m_fleet.daemons);
    const auto binsOfRule = static_cast<std::size_t>(std::ceil(windowSeconds / seconds(m_windowBin))) + 1;
    const double unheardMs = m_fleet.daemons > 1 ? std::max(hearMs, m_fleet.ageMs + publishMs) : 0;
    const auto unheardBins = static_cast<std::size_t>(std::ceil(unheardMs / toMs(recentBin)));
    const double unheard = unheardMs > 0 ? std::max(0.0, m_used.sum(unheardBins)) : 0;
    return {
        .cost = cost,
        .ratePerSecond = m_limits.ratePerSecond * heardPart,
        .depth = depthOf(m_limits, m_fleet.daemons) * heardPart,
        .fullPaceLevel = fullPaceLevel(m_limits) * heardPart,
        .level = m_level - m_othersUntold + unheard,
        .windowRoom = (windowLimitOf(m_limits, m_fleet.daemons) - m_window.sum(binsOfRule) - m_othersUntold + unheard) * heardPart,
        .windowLimit = windowLimitOf(m_limits, m_fleet.daemons) * heardPart,
        .share = share(),
        .unheard = unheard,
        .unheardMs = unheardMs,
        .demandPerSecond = demand(),
        .dither = m_dither,
        .promised = seconds(std::max(m_promisedUntil - m_advancedAt, duration::zero())) * m_limits.ratePerSecond * heardPart * share(),
    };
}

// A bucket with an equal share of the quota. It may hold less than one request costs, so the level that is needed is random: on average all daemons admit
// what their shares hold, whatever a request costs.
quota_decision quota_account::decideAlone(double cost) const
{
    const double rate = m_limits.ratePerSecond / static_cast<double>(m_fleet.daemons);
    if (cost <= windowLimitOf(m_limits, m_fleet.daemons) && m_equalLevel >= cost * m_dither) {
        return {};
    }
    const double promised = seconds(std::max(m_promisedUntil - m_advancedAt, duration::zero())) * rate;
    return {.admitted = false, .retryAfterMs = std::clamp((promised + cost - m_equalLevel) / rate * 1000, minRetryMs, maxRetryMs)};
}

quota_decision quota_account::decide(double cost, double uniform, instant now)
{
    moveTo(now);
    const auto ditherTime = m_alone ? duration(equalDitherTime) : fromMs(hearMs);
    if (now - m_ditheredAt > ditherTime) {
        m_dither = 1 - uniform;
        m_ditheredAt = now;
    }
    const auto decision = m_alone ? decideAlone(cost) : decideQuota(makeInput(cost));
    if (decision.admitted) {
        admit(cost);
        m_dither = 1 - uniform;
        m_ditheredAt = now;
    }
    return decision;
}

void quota_account::admit(double cost)
{
    m_level -= cost;
    m_equalLevel = std::max(m_equalLevel - cost, -windowSeconds * m_limits.ratePerSecond / static_cast<double>(m_fleet.daemons) - cost);
    m_window.current() += cost;
    m_used.current() += cost;
    m_untold.used += cost;
}

void quota_account::noteRefusal(double cost, double retryAfterMs, instant now)
{
    m_untold.refused += cost;
    m_promisedUntil = std::max(m_promisedUntil, now + fromMs(retryAfterMs));
}

void quota_account::giveBack(double cost, instant now)
{
    moveTo(now);
    m_level = std::min(m_level + cost, depthOf(m_limits, m_fleet.daemons));
    m_equalLevel += cost;
    m_window.current() -= cost;
    m_used.current() -= cost;
    m_untold.used -= cost; // Less is told of the next admissions.
}

quota_flow quota_account::own() const
{
    const double smallest = smallestFlow * m_limits.ratePerSecond / static_cast<double>(m_fleet.daemons);
    const auto flow = [&](double untold) {
        const double perSecond = untold / flowSeconds;
        return perSecond < smallest ? 0 : perSecond;
    };
    return {.used = flow(m_untold.used), .refused = flow(m_untold.refused)};
}

double quota_account::demand() const
{
    return std::max(m_usualDemand, m_ownDemand + m_othersDemand);
}

double quota_account::share() const
{
    if (m_fleet.daemons == 1) {
        return 1;
    }
    // The smaller of the own figures is the numerator and the larger one part of the sum: a decrease acts at once, an increase when others have heard of it.
    const double own = std::min(m_ownDemand, m_publishedDemand);
    const double total = std::max(m_ownDemand, m_publishedDemand) + m_othersDemand;
    const double byDemand = total > 0 ? own / total : 1 / static_cast<double>(m_fleet.heard);
    return equalPart / static_cast<double>(m_fleet.heard) + (1 - equalPart) * byDemand;
}

}
