#include "serving/endpoint_ejection.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lacewinglock
{

namespace
{

constexpr auto countHalfLife = std::chrono::seconds(5); // With a hundredth of the traffic a daemon sees about one attempt per endpoint and second.
constexpr auto firstEjection = std::chrono::milliseconds(500); // Long enough to spare callers a burst of failures; a link fault is often over by then.
constexpr int maxLevel = 3; // Doubles the first ejection to 4 s. A process that ended leaves the list of endpoints within about that time.
constexpr auto levelTime = std::chrono::seconds(5); // An endpoint that has served for longer than the longest ejection counts as better by one level.
constexpr auto trialInterval = std::chrono::seconds(1); // Until another trial if the last one has no outcome; it may have been cancelled.
constexpr auto unrepeatableWait = std::chrono::milliseconds(500); // With the first ejection, trials begin within a second also without repeatable requests.
constexpr int trialsToServe = 3; // An endpoint that loses every second connection passes one time in eight.
constexpr int trialErrorsToEject = 3; // With 14% of error answers at every endpoint, three come before three good answers in 2% of the cases.
constexpr auto answerWeightTime = std::chrono::seconds(2); // Reports of others may be this old after packet loss.
constexpr auto lossReportTime = std::chrono::seconds(3); // Longer than reports take after packet loss.
constexpr double priorAttempts = 5; // Assumed beside the counted ones, because one failure among few attempts says little.

constexpr double chance = 13.8; // ln(10^6): by chance, an endpoint like the others is ejected less than once in a million attempts.
constexpr double usualLossRate = 0.05; // Lower rates of the others are taken for this one. Five losses in a row are then beyond chance.
constexpr double usualErrorRate = 0.2; // Above the 14% of reads that endpoints answer with an error. Nine errors in a row are then beyond chance.
constexpr double minFailureRate = 0.2; // The ratio of the retry budget: above it, retries can't make up for the failures.
constexpr double minRatio = 2; // To the others. A smaller difference is left to the failure rate in the cost of placement.
constexpr double minReportedLosses = 5; // Each daemon reports two at the most, so at least three daemons have lost attempts.

double lossesOf(const ejection_candidate &candidate)
{
    return candidate.own.losses + candidate.othersLosses;
}

double errorsOf(const ejection_candidate &candidate)
{
    return candidate.own.errors;
}

double attemptsOf(const ejection_candidate &candidate)
{
    return candidate.own.attempts + candidate.othersAttempts;
}

// Rate of failures over the better half of the other endpoints that serve, at least the usual one. The worse half may be failing for the same reason as
// this endpoint. One without attempts counts with the usual rate: endpoints that fail at once may have left it none.
double rateOfOthers(const ejection_input &input, std::size_t index, double (*failuresOf)(const ejection_candidate &), double usualRate)
{
    std::vector<std::pair<double, double>> rates; // With the number of attempts.
    for (std::size_t i = 0; i < input.endpoints.size(); ++i) {
        const auto &other = input.endpoints[i];
        if (i != index && other.phase == ejection_phase::Serving && (other.available || attemptsOf(other) > 0)) {
            const double attempts = attemptsOf(other) + priorAttempts;
            rates.emplace_back((failuresOf(other) + priorAttempts * usualRate) / attempts, attempts);
        }
    }
    std::ranges::sort(rates);
    rates.resize((rates.size() + 1) / 2);
    double attempts = 0;
    double failures = 0;
    for (const auto &[rate, count] : rates) {
        attempts += count;
        failures += rate * count;
    }
    return attempts > 0 ? std::max(usualRate, failures / attempts) : usualRate;
}

// Chernoff bound: the probability of at least this part of failures, if each attempt fails with the usual rate, is below exp(-result).
double improbability(double attempts, double failures, double usualRate)
{
    const double rate = std::min(1.0, failures / std::max(attempts, failures));
    if (failures <= 0 || rate < std::max(minFailureRate, minRatio * usualRate)) {
        return 0;
    }
    const double good = rate < 1 ? (1 - rate) * std::log((1 - rate) / (1 - usualRate)) : 0;
    return std::max(attempts, failures) * (rate * std::log(rate / usualRate) + good);
}

/// How far an endpoint is beyond what chance explains, and by what.
struct suspicion
{
    double improbability = 0;
    std::string_view reason;
};

suspicion judge(const ejection_input &input, std::size_t index)
{
    const auto &candidate = input.endpoints[index];
    suspicion out;
    const auto consider = [&out](double attempts, double failures, double usualRate, std::string_view reason) {
        if (const double value = improbability(attempts, failures, usualRate); value > out.improbability) {
            out = {value, reason};
        }
    };
    const double losses = rateOfOthers(input, index, lossesOf, usualLossRate);
    const double errors = rateOfOthers(input, index, errorsOf, usualErrorRate);
    consider(candidate.lossesInRow, candidate.lossesInRow, losses, "losses in a row");
    consider(candidate.own.attempts, candidate.own.losses, losses, "losses");
    consider(candidate.errorsInRow, candidate.errorsInRow, errors, "errors in a row");
    consider(candidate.own.attempts, candidate.own.errors, errors, "errors");
    if (lossesOf(candidate) >= minReportedLosses && !candidate.answeredLately) {
        consider(attemptsOf(candidate), lossesOf(candidate), losses, "losses of all daemons");
    }
    return out;
}

double ejectionMs(int level)
{
    return toMs(firstEjection) * (1 << std::clamp(level, 0, maxLevel));
}

/// Endpoints of one kind: those that could be used, and how many of them are ejected.
struct kind_count
{
    int available = 0;
    int ejected = 0;

    template <typename Endpoint>
    void add(const Endpoint &endpoint)
    {
        available += endpoint.available ? 1 : 0;
        ejected += endpoint.available && endpoint.phase != ejection_phase::Serving ? 1 : 0;
    }
    int most() const
    {
        return available / 2;
    }
};

}

void ejection_state::count(double loss, double error, instant now)
{
    m_counts = counts(now);
    m_countedAt = now;
    m_counts.attempts += 1;
    m_counts.losses += loss;
    m_counts.errors += error;
    m_changed = m_changed || loss > 0 || error > 0 || m_ejected;
}

void ejection_state::noteAnswer(instant now)
{
    count(0, 0, now);
    m_lossesInRow = 0;
    m_errorsInRow = 0;
    m_answeredAt = now;
    if (phase(now) == ejection_phase::Trial) {
        ++m_trialAnswers;
        m_nextTrialAt = now;
    }
}

void ejection_state::noteError(instant now)
{
    count(0, 1, now);
    m_lossesInRow = 0;
    ++m_errorsInRow;
    m_answeredAt = now;
    if (phase(now) == ejection_phase::Trial) {
        ++m_trialErrors;
        m_nextTrialAt = now;
    }
}

void ejection_state::noteLoss(instant now)
{
    count(1, 0, now);
    ++m_lossesInRow;
    m_lostAt = now;
    if (phase(now) == ejection_phase::Trial) {
        ++m_trialLosses;
    }
}

void ejection_state::noteRefusal(instant now)
{
    m_lossesInRow = 0;
    m_answeredAt = now;
}

void ejection_state::noteAnswering(instant now)
{
    if (phase(now) == ejection_phase::Trial) {
        m_nextTrialAt = now;
    }
}

bool ejection_state::noteSent(instant now)
{
    const bool trial = phase(now) == ejection_phase::Trial;
    if (trial) {
        m_nextTrialAt = now + trialInterval;
    }
    return trial;
}

void ejection_state::eject(duration time, instant now)
{
    m_level = std::min(level(now) + 1, maxLevel);
    m_ejected = true;
    m_until = now + time;
    m_nextTrialAt = m_until;
    m_trialAnswers = 0;
    m_trialErrors = 0;
    m_trialLosses = 0;
}

void ejection_state::restore(instant now)
{
    m_ejected = false;
    m_restoredAt = now;
    m_counts = {};
    m_lossesInRow = 0;
    m_errorsInRow = 0;
    m_lostAt = {};
}

ejection_phase ejection_state::phase(instant now) const
{
    if (!m_ejected) {
        return ejection_phase::Serving;
    }
    return now < m_until ? ejection_phase::Ejected : ejection_phase::Trial;
}

bool ejection_state::takesTrial(bool mayRepeat, instant now) const
{
    return phase(now) == ejection_phase::Trial && now >= m_nextTrialAt && (mayRepeat || now >= m_until + unrepeatableWait);
}

instant ejection_state::ejectedUntil() const
{
    return m_until;
}

attempt_counts ejection_state::counts(instant now) const
{
    const double factor = std::exp2(-std::max(0.0, toMs(now - m_countedAt)) / toMs(countHalfLife));
    return {m_counts.attempts * factor, m_counts.losses * factor, m_counts.errors * factor};
}

double ejection_state::lossRate(instant now) const
{
    const auto recent = counts(now);
    return recent.losses / (recent.attempts + priorAttempts);
}

int ejection_state::lossesInRow() const
{
    return m_lossesInRow;
}

int ejection_state::errorsInRow() const
{
    return m_errorsInRow;
}

bool ejection_state::answeredLately(instant now) const
{
    return m_lossesInRow == 0 && m_answeredAt != instant{} && now - m_answeredAt < answerWeightTime;
}

bool ejection_state::lostLately(instant now) const
{
    return m_lostAt != instant{} && now - m_lostAt < lossReportTime;
}

int ejection_state::level(instant now) const
{
    if (m_ejected || m_level == 0) {
        return m_level;
    }
    return std::max(0, m_level - static_cast<int>((now - m_restoredAt) / levelTime));
}

int ejection_state::trialAnswers() const
{
    return m_trialAnswers;
}

int ejection_state::trialErrors() const
{
    return m_trialErrors;
}

int ejection_state::trialLosses() const
{
    return m_trialLosses;
}

bool ejection_state::takeChange()
{
    return std::exchange(m_changed, false);
}

std::vector<ejection_change> decideEjections(const ejection_input &input)
{
    std::vector<ejection_change> changes;
    kind_count kinds[2];
    std::vector<std::pair<std::size_t, suspicion>> suspects;
    for (std::size_t i = 0; i < input.endpoints.size(); ++i) {
        const auto &candidate = input.endpoints[i];
        kinds[candidate.prefills ? 1 : 0].add(candidate);
        const int index = static_cast<int>(i);
        if (candidate.phase == ejection_phase::Trial) {
            if (candidate.trialLosses > 0 || candidate.trialErrors >= trialErrorsToEject) {
                changes.push_back({index, true, ejectionMs(candidate.level), "trial failed"});
            } else if (candidate.trialAnswers >= trialsToServe) {
                changes.push_back({index, false, 0, "trials answered"});
            }
        } else if (candidate.phase == ejection_phase::Serving && candidate.available) {
            if (const auto found = judge(input, i); found.improbability >= chance) {
                suspects.emplace_back(i, found);
            }
        }
    }
    std::ranges::stable_sort(suspects, std::ranges::greater(), [](const auto &suspect) {
        return suspect.second.improbability;
    });
    for (const auto &[index, found] : suspects) {
        const auto &candidate = input.endpoints[index];
        if (auto &kind = kinds[candidate.prefills ? 1 : 0]; kind.ejected < kind.most()) {
            ++kind.ejected;
            changes.push_back({static_cast<int>(index), true, ejectionMs(candidate.level), found.reason});
        }
    }
    return changes;
}

std::vector<bool> passedOver(const std::vector<ejection_seat> &seats)
{
    std::vector<bool> out(seats.size());
    for (const bool prefills : {false, true}) {
        kind_count kind;
        std::vector<std::size_t> ejected;
        for (std::size_t i = 0; i < seats.size(); ++i) {
            if (seats[i].prefills == prefills) {
                kind.add(seats[i]);
                if (seats[i].available && seats[i].phase != ejection_phase::Serving) {
                    ejected.push_back(i);
                }
            }
        }
        std::ranges::stable_sort(ejected, std::ranges::greater(), [&](std::size_t i) {
            return seats[i].until;
        });
        ejected.resize(std::min(ejected.size(), static_cast<std::size_t>(kind.most())));
        for (const auto i : ejected) {
            out[i] = !seats[i].takesTrial;
        }
    }
    return out;
}

}
