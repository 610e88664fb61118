#pragma once

#include "transport/core_time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace lacewinglock
{

enum class quota_unit : std::uint8_t {
    Requests,
    Tokens
};

/// Rate limit of an organisation over all daemons together, as configured.
struct quota_limits
{
    double ratePerSecond = 0; ///< More than 0.
    double burst = 0; ///< Units that may be used at once after a pause.
    quota_unit unit = quota_unit::Requests;
    double uncountedCost = 1; ///< Tokens that a request costs if it does not tell its number.

    bool operator==(const quota_limits &) const = default;
};

/// What a daemon knows of the others when it decides on a quota.
struct quota_fleet
{
    std::size_t daemons = 1; ///< Members, including this daemon.
    std::size_t heard = 1; ///< Members whose summaries arrive, including this daemon.
    double ageMs = 0; ///< Age of the sums over the others.
};

/// Use and refused demand of an organisation, in units per second.
struct quota_flow
{
    double used = 0;
    double refused = 0;
};

/// Input of decideQuota().
struct quota_input
{
    double cost = 1; ///< Of the request.
    double ratePerSecond = 1; ///< Of all daemons that hear each other.
    double depth = 1; ///< Highest level.
    double fullPaceLevel = 1; ///< From this level on, the room of the window is the only limit.
    double level = 0; ///< Of the bucket of all daemons, without what this daemon admitted unheard.
    double windowRoom = 0; ///< What all daemons may still admit in the window, without what this daemon admitted unheard.
    double windowLimit = 1; ///< What all daemons may admit in a window.
    double share = 1; ///< This daemon's share of the room; at most 1.
    double unheard = 0; ///< Admitted by this daemon, but perhaps not known to the others.
    double unheardMs = 0; ///< How long it takes until the others know of an admission; 0 if there are no others.
    double demandPerSecond = 0; ///< Usual demand at all daemons.
    double dither = 1; ///< Part of the cost that the allowance must cover, in (0, 1].
    double promised = 0; ///< Units of refused requests that were told to return earlier.
};

struct quota_decision
{
    bool admitted = true;
    bool mayWait = false; ///< The quota has room, but not for this daemon at this moment. Waiting for the next sums is likely to help.
    double retryAfterMs = 0; ///< When a refused request can expect to be admitted.
};

/// Decides whether a request is within the quota of its organisation.
///
/// Addresses demand beyond a quota that arrives at any number of daemons. What others have admitted is known late, so each daemon admits no more than its
/// share of the remaining room until the others have heard of it. The sum over daemons then stays within the room, whatever they admit at the same time. The
/// share is enlarged as far as a jump to 7.5 times the usual demand, the largest that callers cause, would still fit.
quota_decision decideQuota(const quota_input &input);

/// The allowance beyond the limits in a window of 8 s: 190,000 tokens, or one request per daemon.
double quotaAllowance(const quota_limits &limits, std::size_t daemons);

/// One daemon's view of the quota of an organisation: the bucket and the window of all daemons, as far as it knows what others admit.
///
/// Replayable: depends only on its calls and the times passed in.
class quota_account
{
public:
    /// `pastKnown`: this daemon has served for a whole window, so that the sums tell the usual use. Otherwise the window counts as fully used.
    quota_account(const quota_limits &limits, duration window, bool pastKnown, const quota_fleet &fleet, const quota_flow &others, instant now);

    /// A lowered limit is in force at once.
    void setLimits(const quota_limits &limits);
    /// Adds what the others have admitted since the last call. `published` is the own flow as sent last. `fits` is false if the own flow is not published.
    void advance(const quota_fleet &fleet, const quota_flow &others, const quota_flow &published, bool fits, instant now);
    /// Decides on a request after advance(). `uniform` is a random number in [0, 1).
    quota_decision decide(double cost, double uniform, instant now);
    /// Counts a request that is refused for good.
    void noteRefusal(double cost, double retryAfterMs, instant now);
    /// Returns what a request cost that was admitted but did not run.
    void giveBack(double cost, instant now);

    /// The own flow to be published: such that its sum over time tells the others exactly what was admitted and refused.
    quota_flow own() const;
    /// Demand at all daemons, in units per second.
    double demand() const;
    /// This daemon's share of the room.
    double share() const;

private:
    static constexpr std::size_t windowBins = 32;
    static constexpr std::size_t recentBins = 40;

    /// Amounts by time, for a limited past.
    template <std::size_t Bins>
    struct history
    {
        std::array<double, Bins> amounts{};
        std::int64_t newest = 0; ///< Number of the newest bin since the epoch of the clock.

        void moveTo(std::int64_t bin);
        double sum(std::size_t bins) const;
        double &current()
        {
            return amounts[static_cast<std::size_t>(newest) % Bins];
        }
    };

    void moveTo(instant now);
    quota_input makeInput(double cost) const;
    quota_decision decideAlone(double cost) const;
    void admit(double cost);

    quota_limits m_limits;
    duration m_windowBin;
    quota_fleet m_fleet;
    bool m_alone = false; ///< Others don't know of the own use, or it is not known what they use: an equal share holds.
    instant m_advancedAt;
    double m_level = 0; ///< Of the bucket of all daemons.
    double m_equalLevel = 0; ///< Of a bucket with an equal share of the quota.
    double m_othersUntold = 0; ///< Admitted by the others before their flow was sent, but not yet integrated from it.
    quota_flow m_untold; ///< Units that this daemon admitted or refused, less what its published flow has told the others.
    history<windowBins> m_window; ///< Admitted by all daemons.
    history<recentBins> m_used; ///< Admitted by this daemon.
    double m_ownDemand = 0; ///< Smoothed, per second.
    double m_publishedDemand = 0;
    double m_othersDemand = 0;
    double m_usualDemand = 0; ///< At all daemons, smoothed over a longer time.
    double m_dither = 1;
    instant m_ditheredAt;
    instant m_promisedUntil; ///< Time by which all refused requests have been told to return.
};

}
