#pragma once

#include "transport/core_time.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

/// Pace of endpoints: the time that work takes, as a ratio to the time that the model predicts. 2 is twice as long.
namespace lacewinglock
{

/// Bounds of a pace, so that no figure of an endpoint changes a prediction by more.
inline constexpr double minPace = 0.25;
inline constexpr double maxPace = 4;

/// Load that an endpoint reports of itself.
struct load_figures
{
    int running = 0;
    int waiting = 0;
    int slots = 1;
    std::optional<double> pace; ///< Ratio of the time that work takes there at the moment to the usual time.

    bool operator==(const load_figures &) const = default;
};

/// Weighted sum of ratios of measured to predicted times.
struct ratio_sum
{
    double weight = 0;
    double sum = 0;
};

/// Estimates the pace of one endpoint from measured times and from the figures that it reports.
///
/// Addresses load that is uneven for two reasons: machines of different speeds, and machines that are slowed down for some hundred milliseconds by
/// other work. The measured mean covers the first, the reported figure the second. A measured time is divided by the figure that was in force, so it
/// does not matter whether figures include the speed of the machine.
class endpoint_pace
{
public:
    /// Notes a reported ratio. Values that are not positive numbers are ignored.
    void noteFigure(double figure, instant now);
    /// Notes the ratio of a measured time to the one expected of the endpoints of the service on average. `figure` is the reported ratio that was in
    /// force; `trust` between 0 and 1 scales the weight.
    void noteSample(double ratio, double figure, double trust = 1);
    /// Notes the ratio of a measured prefill time to that of the model.
    void notePrefill(double ratio, double figure, double work);
    /// The own prefill times, for the other daemons.
    const ratio_sum &prefills() const;
    /// Replaces the sum over the prefill times of the other daemons. One daemon of many sees too few long prompts to know the speed of an engine. An
    /// invalid or empty sum leaves the last one in use, because the speed of a process seldom changes.
    void setOthers(const ratio_sum &others);

    /// The reported ratio as estimated at `now`: the newest figure when it is fresh, their mean when it is old.
    double figure(instant now) const;
    /// Pace without the reported ratio. `work` is the factor between the model and the average of the service.
    double mean(double work) const;
    /// The pace relative to the average of the service, between minPace and maxPace.
    double estimate(instant now, double work) const;

private:
    ratio_sum m_samples; ///< Relative to the average of the service.
    ratio_sum m_prefills; ///< Relative to the model, like the next one.
    ratio_sum m_others;
    double m_figure = 1;
    double m_figureMean = 1;
    std::optional<instant> m_figureAt;
};

/// Correction of the model of engines for one service.
struct model_correction
{
    double overheadMs = 0; ///< Added to the first-token overhead.
    double work = 1; ///< Factor of the time of prefill and steps.
};

/// Model work and measured time of the first event of one prompt that did not wait in a queue.
struct first_event_sample
{
    double workMs = 0; ///< Prefill time by the model.
    double elapsedMs = 0; ///< From the dispatch to the first event or the end of the prefill.
    double overheadMs = 0; ///< First-token overhead of the model.
    double figure = 1; ///< Reported ratio of the engine meanwhile.
};

/// What this daemon has learned about the endpoints of a service together: whether they report an uneven pace, and corrections of the model.
///
/// The corrections are shared by all endpoints of the service and are kept apart from the pace of each one. They are bounded, and are used only while
/// the pace is uneven.
class service_pace
{
public:
    /// Notes a ratio that an endpoint has reported. Returns whether the pace of the service has become uneven.
    bool noteFigure(double figure, instant now);
    /// Whether an endpoint has reported a ratio other than 1 within the last 60 s.
    bool isUneven(instant now) const;

    /// Notes the time of a prompt, here and in the pace of its engine.
    void noteFirstEvent(endpoint_pace &engine, const first_event_sample &sample);
    /// The correction of a model with this first-token overhead.
    model_correction correction(double overheadMs) const;

    /// Notes the ratio of the measured time between events to the step time of the model. It depends on how many tokens an event holds, so engines are
    /// compared with each other.
    void noteStep(endpoint_pace &engine, double ratio, double figure);

    /// Notes the time of a plain call of a route that found a free slot.
    void noteCall(endpoint_pace &endpoint, std::string_view route, double ms, double figure);
    /// Mean time of the calls of a route without the reported ratios; nullopt before the first.
    std::optional<double> callMs(std::string_view route) const;

private:
    /// Weighted sums of a linear regression of the measured time, without the model's overhead, on the model work.
    struct regression
    {
        double weight = 0;
        double x = 0;
        double y = 0;
        double xx = 0;
        double xy = 0;

        void add(double workMs, double timeMs, double sampleWeight);
    };

    std::optional<instant> m_unevenAt; ///< Last report of a ratio other than 1.
    regression m_firstEvents;
    std::optional<double> m_stepRatio;
    std::map<std::string, double, std::less<>> m_callMs; ///< By route name.
};

}
