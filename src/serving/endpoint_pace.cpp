#include "serving/endpoint_pace.h"

#include <algorithm>
#include <cmath>

namespace lacewinglock
{

namespace
{

// Other work slows a machine down for about this long. The chance that it still does falls linearly with the age of the figure.
constexpr double figureLifetimeMs = 600;
constexpr double figureMeanMs = 5000; // Several slow phases of a machine, which come about every 4 s.
constexpr double sampleDecay = 0.9; // Per sample: ten tell the speed of a machine although single ones vary; older ones are forgotten.
constexpr double maxOthersWeight = 40; // The own samples count for a fifth at least, so that a daemon is not misled by others for ever.
constexpr double priorSampleWeight = 0.5; // Of the pace 1, until there are samples.
// Of a sample above the expected time: many of them waited behind requests of other daemons that this one did not know of yet.
constexpr double slowSampleWeight = 0.6;
constexpr double minPrefillTrust = 0.5; // Prefills that take longer than the overhead are compared with the model, others only with each other.
constexpr auto unevenTime = std::chrono::seconds(60); // The pace counts as even when no endpoint has told otherwise for so long.
constexpr double regressionDecay = 0.98; // Per sample: the last 50 count. A daemon sees a few prompts per second.
constexpr double priorWeight = 3; // Samples that the model itself counts for, so that few or equal prompts don't change it much.
constexpr double priorShortMs = 15; // Model work of a prompt of 380 tokens, and of one of 17,000 tokens.
constexpr double priorLongMs = 400;
constexpr double minWorkCorrection = 0.5;
constexpr double maxWorkCorrection = 2;
constexpr double minOverheadRatio = 0.25; // Bounds of the corrected overhead as a ratio to the model's.
constexpr double maxOverheadRatio = 4;
constexpr double sharedWeight = 0.05; // Of a sample in the means over all endpoints: they cover about twenty samples.
constexpr double maxStepRatio = 100; // Events of up to a hundred steps.
constexpr double maxCallMs = 60'000;
constexpr std::size_t maxRoutes = 256; // Routes of removed configurations are dropped when there are more.

bool isPositive(double value)
{
    return std::isfinite(value) && value > 0;
}

// Adds a sample to the own ones. Each one makes the older ones count less, whatever its own weight, so that many of low trust don't outweigh better ones.
ratio_sum withSample(const ratio_sum &sum, double ratio, double expected, double trust)
{
    const double sample = std::clamp(ratio, minPace, maxPace);
    const double weight = trust * (sample > expected ? slowSampleWeight : 1);
    return {.weight = sum.weight * sampleDecay + weight, .sum = sum.sum * sampleDecay + weight * sample};
}

// Errors count relative to the predicted time, because those of long prompts are larger.
double sampleWeight(double workMs, double overheadMs)
{
    const double expectedMs = std::max(1.0, workMs + overheadMs);
    return 1e4 / (expectedMs * expectedMs);
}

}

void endpoint_pace::noteFigure(double figure, instant now)
{
    if (!isPositive(figure)) {
        return;
    }
    m_figure = std::clamp(figure, minPace, maxPace);
    const double elapsedMs = m_figureAt ? toMs(now - *m_figureAt) : figureLifetimeMs;
    m_figureMean += (1 - std::exp(-std::clamp(elapsedMs, 0.0, figureLifetimeMs) / figureMeanMs)) * (m_figure - m_figureMean);
    m_figureAt = now;
}

void endpoint_pace::noteSample(double ratio, double figure, double trust)
{
    if (isPositive(ratio) && isPositive(figure)) {
        m_samples = withSample(m_samples, ratio / figure, mean(1), std::clamp(trust, 0.0, 1.0));
    }
}

void endpoint_pace::notePrefill(double ratio, double figure, double work)
{
    if (isPositive(ratio) && isPositive(figure) && isPositive(work)) {
        m_prefills = withSample(m_prefills, ratio / figure, mean(work) * work, 1);
    }
}

const ratio_sum &endpoint_pace::prefills() const
{
    return m_prefills;
}

void endpoint_pace::setOthers(const ratio_sum &others)
{
    if (isPositive(others.weight) && isPositive(others.sum)) {
        const double weight = std::min(others.weight, maxOthersWeight);
        m_others = {.weight = weight, .sum = weight * std::clamp(others.sum / others.weight, minPace, maxPace)};
    }
}

double endpoint_pace::figure(instant now) const
{
    if (!m_figureAt) {
        return 1;
    }
    const double weight = std::clamp(1 - toMs(now - *m_figureAt) / figureLifetimeMs, 0.0, 1.0);
    return m_figureMean + weight * (m_figure - m_figureMean);
}

double endpoint_pace::mean(double work) const
{
    const double sum = priorSampleWeight + m_samples.sum + (m_prefills.sum + m_others.sum) / work;
    return sum / (priorSampleWeight + m_samples.weight + m_prefills.weight + m_others.weight);
}

double endpoint_pace::estimate(instant now, double work) const
{
    return std::clamp(mean(work) * figure(now), minPace, maxPace);
}

bool service_pace::noteFigure(double figure, instant now)
{
    if (!isPositive(figure) || figure == 1) {
        return false;
    }
    const bool begins = !isUneven(now);
    m_unevenAt = m_unevenAt ? std::max(*m_unevenAt, now) : now;
    return begins;
}

bool service_pace::isUneven(instant now) const
{
    return m_unevenAt && now - *m_unevenAt < unevenTime;
}

void service_pace::regression::add(double workMs, double timeMs, double sampleWeight)
{
    weight += sampleWeight;
    x += sampleWeight * workMs;
    y += sampleWeight * timeMs;
    xx += sampleWeight * workMs * workMs;
    xy += sampleWeight * workMs * timeMs;
}

void service_pace::noteFirstEvent(endpoint_pace &engine, const first_event_sample &sample)
{
    if (!isPositive(sample.workMs) || !isPositive(sample.elapsedMs) || !isPositive(sample.figure)) {
        return;
    }
    const auto known = correction(sample.overheadMs);
    // A time below the overhead gives the lowest pace.
    const double measuredMs = std::max(1.0, sample.elapsedMs - sample.overheadMs - known.overheadMs);
    // The shorter the prompt, the more of its time depends on other things than the pace.
    const double trust = sample.workMs / (sample.workMs + sample.overheadMs);
    if (trust >= minPrefillTrust) {
        engine.notePrefill(measuredMs / sample.workMs, sample.figure, known.work);
    } else {
        engine.noteSample(measuredMs / (sample.workMs * known.work), sample.figure, trust);
    }
    const double scaledMs = sample.workMs * sample.figure;
    // A time far outside of the bounds of the correction has another cause, such as a connection that had to be opened again.
    const double longestMs = maxWorkCorrection * scaledMs + maxOverheadRatio * sample.overheadMs;
    const double timeMs = std::min(sample.elapsedMs, longestMs) - sample.overheadMs;
    for (double *sum : {&m_firstEvents.weight, &m_firstEvents.x, &m_firstEvents.y, &m_firstEvents.xx, &m_firstEvents.xy}) {
        *sum *= regressionDecay;
    }
    const bool isSlow = timeMs > scaledMs * known.work + known.overheadMs;
    m_firstEvents.add(scaledMs, timeMs, sampleWeight(scaledMs, sample.overheadMs) * (isSlow ? slowSampleWeight : 1));
}

model_correction service_pace::correction(double overheadMs) const
{
    auto sums = m_firstEvents;
    for (const double workMs : {priorShortMs, priorLongMs}) {
        sums.add(workMs, workMs, priorWeight * sampleWeight(workMs, overheadMs));
    }
    const double spread = sums.weight * sums.xx - sums.x * sums.x;
    const double slope = spread > 0 ? (sums.weight * sums.xy - sums.x * sums.y) / spread : 1;
    model_correction out{.work = std::clamp(slope, minWorkCorrection, maxWorkCorrection)};
    const double offset = (sums.y - out.work * sums.x) / sums.weight;
    out.overheadMs = std::clamp(offset, (minOverheadRatio - 1) * overheadMs, (maxOverheadRatio - 1) * overheadMs);
    return out;
}

void service_pace::noteStep(endpoint_pace &engine, double ratio, double figure)
{
    if (!isPositive(ratio) || !isPositive(figure)) {
        return;
    }
    const double sample = std::min(ratio, maxStepRatio) / figure;
    if (m_stepRatio) {
        engine.noteSample(ratio / *m_stepRatio, figure);
    }
    m_stepRatio = m_stepRatio ? *m_stepRatio + sharedWeight * (sample - *m_stepRatio) : sample;
}

void service_pace::noteCall(endpoint_pace &endpoint, std::string_view route, double ms, double figure)
{
    if (!isPositive(ms) || !isPositive(figure)) {
        return;
    }
    const double sample = std::min(ms, maxCallMs) / figure;
    if (const auto found = m_callMs.find(route); found != m_callMs.end()) {
        endpoint.noteSample(ms / found->second, figure);
        found->second += sharedWeight * (sample - found->second);
        return;
    }
    if (m_callMs.size() >= maxRoutes) {
        m_callMs.clear();
    }
    m_callMs.emplace(route, sample);
}

std::optional<double> service_pace::callMs(std::string_view route) const
{
    const auto found = m_callMs.find(route);
    return found == m_callMs.end() ? std::nullopt : std::optional(found->second);
}

}
