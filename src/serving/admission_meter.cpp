#include "serving/admission_meter.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace lacewinglock
{

namespace
{

constexpr double decayMs = 1000; // Bursts last 2.8 s; a shorter time would follow the few requests of one daemon instead.
constexpr double notableFraction = 0.02; // Of the demand of a service. Less urgent requests need not give way to less.
constexpr double negligible = 1e-3; // Per second: e to the power of -7 of one call.
constexpr std::size_t maxServices = 64;
constexpr std::size_t maxOrganisations = 64; // Of one priority of a service; each takes about 200 bytes.
constexpr std::size_t maxPublishedOrganisations = 8;
constexpr std::size_t maxPublished = 24; // The part of admission in the sums of a summary.
constexpr double stepFactor = 1.25; // Largest change of a share within the age of a sum, so that late sums cause no oscillation.
constexpr double stepMs = 250;
constexpr double smallestFraction = 0.25; // Of the largest demand. A share can rise to it at once, also after an outage in which nothing was served.
constexpr double creditSeconds = 1; // Credit that an organisation can save, in seconds of its share.
constexpr double debtSeconds = 4; // Debt that an organisation can run into while what others leave is lent to it.
constexpr double maxReturnMs = 5000;

int levelOf(int priority, int levels)
{
    return std::clamp(priority, 0, levels - 1);
}

std::uint64_t demandKey(std::string_view service, int priority)
{
    return sumKey(sum_purpose::AdmissionDemand, absl::StrCat("d/", std::string(service), "/", priority));
}

std::uint64_t refusedKey(std::string_view service)
{
    return sumKey(sum_purpose::AdmissionDemand, absl::StrCat("r/", std::string(service)));
}

std::uint64_t organisationKey(std::string_view service, int priority, std::string_view organisation)
{
    return sumKey(sum_purpose::AdmissionDemand, absl::StrCat("o/", std::string(service), "/", priority, "/", std::string(organisation)));
}

template <typename Map>
void dropLeast(Map &entries, std::size_t most, instant now)
{
    if (entries.size() <= most) {
        return;
    }
    entries.erase(std::ranges::min_element(entries, {}, [&](const auto &entry) {
        return entry.second.demand.at(now);
    }));
}

}

void decaying_rate::add(double amount, instant now)
{
    m_value = at(now) + amount * 1000 / decayMs;
    m_at = now;
}

double decaying_rate::at(instant now) const
{
    return m_value * std::exp(-std::max(0.0, toMs(now - m_at)) / decayMs);
}

admission_meter::service_state &admission_meter::stateOf(std::string_view service, instant now)
{
    if (const auto found = m_services.find(service); found != m_services.end()) {
        return found->second;
    }
    if (m_services.size() >= maxServices) {
        std::erase_if(m_services, [&](const auto &entry) {
            return std::ranges::all_of(entry.second.byPriority, [&](const priority_state &level) {
                return level.demand.at(now) < negligible;
            });
        });
    }
    return m_services[std::string(service)];
}

void admission_meter::noteArrival(const metered_request &request, instant now)
{
    auto &level = stateOf(request.service, now).byPriority[static_cast<std::size_t>(levelOf(request.priority, priorities))];
    level.demand.add(request.size, now);
    auto found = level.organisations.find(request.organisation);
    if (found == level.organisations.end()) {
        dropLeast(level.organisations, maxOrganisations - 1, now);
        found = level.organisations.emplace(std::string(request.organisation), organisation_state{.creditAt = now}).first;
    }
    found->second.demand.add(request.size, now);
}

admission_meter::service_totals admission_meter::totalsOf(std::string_view service, const service_state &state, const shared_sums &sums, instant now)
{
    service_totals out;
    for (int priority = 0; priority < priorities; ++priority) {
        const auto index = static_cast<std::size_t>(priority);
        const double own = state.byPriority[index].demand.at(now);
        out.demand[index] = own + sums.others(demandKey(service, priority));
        out.all += out.demand[index];
    }
    out.unserved = std::min(out.all, state.refused.at(now) + sums.others(refusedKey(service)));
    return out;
}

// What a request got is known as the demand without what is refused. The more urgent priorities are served first.
void admission_meter::updateShare(std::string_view service,
                                  priority_state &level,
                                  int priority,
                                  const service_totals &totals,
                                  const shared_sums &sums,
                                  instant now)
{
    double capacity = totals.all - totals.unserved;
    for (int above = 0; above < priority; ++above) {
        capacity -= totals.demand[static_cast<std::size_t>(above)];
    }
    capacity = std::max(0.0, capacity);
    std::vector<double> demands;
    double rest = totals.demand[static_cast<std::size_t>(priority)]; // Of organisations that have no requests here, or too few to be published.
    for (const auto &[name, organisation] : level.organisations) {
        demands.push_back(organisation.demand.at(now) + sums.others(organisationKey(service, priority, name)));
        rest -= demands.back();
    }
    double share = fairShare(demands, capacity - std::clamp(rest, 0.0, capacity / 2));
    const double most = std::ranges::max(demands);
    if (level.share < unlimitedShare || share < unlimitedShare) {
        // A share above the largest demand has no effect; the steps begin there.
        const double before = std::min(level.share, most);
        const double factor = std::pow(stepFactor, std::max(0.0, toMs(now - level.shareAt)) / stepMs);
        share = level.shareAt == instant{} ? std::min(share, most)
                                           : std::clamp(std::min(share, most), before / factor, std::max(before * factor, smallestFraction * most));
    }
    level.share = share >= most ? unlimitedShare : share;
    level.shareAt = now;
}

admission_load admission_meter::loadFor(const metered_request &request, const shared_sums &sums, instant now)
{
    auto &state = stateOf(request.service, now);
    const int priority = levelOf(request.priority, priorities);
    auto &level = state.byPriority[static_cast<std::size_t>(priority)];
    const auto totals = totalsOf(request.service, state, sums, now);
    admission_load out{.demand = totals.all, .unserved = totals.unserved};
    for (int above = 0; above < priority; ++above) {
        out.urgentLevels += totals.demand[static_cast<std::size_t>(above)] > notableFraction * totals.all ? 1 : 0;
    }
    const auto found = level.organisations.find(request.organisation);
    if (found == level.organisations.end()) {
        out.fairShare = unlimitedShare;
        return out;
    }
    updateShare(request.service, level, priority, totals, sums, now);
    auto &organisation = found->second;
    const double own = organisation.demand.at(now);
    out.organisationDemand = own + sums.others(organisationKey(request.service, priority, request.organisation));
    out.fairShare = level.share;
    const double rate = level.share < out.organisationDemand ? level.share * own / out.organisationDemand : own;
    organisation.runRate = std::max(rate, smallestFraction * own);
    const double elapsed = std::max(0.0, toMs(now - organisation.creditAt)) / 1000;
    organisation.credit = std::clamp(organisation.credit + rate * elapsed, -std::max(debtSeconds * rate, request.size), std::max(1.0, creditSeconds * rate));
    organisation.creditAt = now;
    return out;
}

admission_meter::organisation_state *admission_meter::find(const metered_request &request)
{
    return const_cast<organisation_state *>(std::as_const(*this).find(request));
}

const admission_meter::organisation_state *admission_meter::find(const metered_request &request) const
{
    const auto state = m_services.find(request.service);
    if (state == m_services.end()) {
        return nullptr;
    }
    const auto &organisations = state->second.byPriority[static_cast<std::size_t>(levelOf(request.priority, priorities))].organisations;
    const auto found = organisations.find(request.organisation);
    return found == organisations.end() ? nullptr : &found->second;
}

double admission_meter::creditOf(const metered_request &request) const
{
    const auto *organisation = find(request);
    return organisation == nullptr ? 0 : organisation->credit;
}

void admission_meter::noteRun(const metered_request &request, instant /*now*/)
{
    if (auto *organisation = find(request)) {
        organisation->credit -= request.size;
    }
}

void admission_meter::noteUnserved(const metered_request &request, instant now)
{
    stateOf(request.service, now).refused.add(request.size, now);
}

void admission_meter::noteRefusal(const metered_request &request, instant now)
{
    noteUnserved(request, now);
    if (auto *organisation = find(request)) {
        const double spacingMs = organisation->runRate > 0 ? std::min(maxReturnMs, request.size / organisation->runRate * 1000) : maxReturnMs;
        organisation->returnAt = std::min(std::max(organisation->returnAt, now) + fromMs(spacingMs), now + fromMs(maxReturnMs));
    }
}

double admission_meter::returnsMs(const metered_request &request, instant now) const
{
    const auto *organisation = find(request);
    return organisation == nullptr ? 0 : std::max(0.0, toMs(organisation->returnAt - now));
}

void admission_meter::publish(shared_sums &sums, instant now)
{
    std::vector<sum_entry> entries;
    std::vector<sum_entry> organisations;
    const auto add = [](std::vector<sum_entry> &to, std::uint64_t key, double value) {
        if (value >= negligible) {
            to.push_back({key, value});
        }
    };
    for (const auto &[service, state] : m_services) {
        add(entries, refusedKey(service), state.refused.at(now));
        for (int priority = 0; priority < priorities; ++priority) {
            const auto &level = state.byPriority[static_cast<std::size_t>(priority)];
            add(entries, demandKey(service, priority), level.demand.at(now));
            for (const auto &[name, organisation] : level.organisations) {
                add(organisations, organisationKey(service, priority, name), organisation.demand.at(now));
            }
        }
    }
    const auto byValue = [](const sum_entry &left, const sum_entry &right) {
        return left.value != right.value ? left.value > right.value : left.key < right.key;
    };
    std::ranges::sort(entries, byValue);
    std::ranges::sort(organisations, byValue);
    organisations.resize(std::min(organisations.size(), maxPublishedOrganisations));
    entries.resize(std::min(entries.size(), maxPublished - organisations.size()));
    entries.insert(entries.end(), organisations.begin(), organisations.end());
    std::set<std::uint64_t> published;
    for (const auto &[key, value] : entries) {
        sums.setOwn(key, value);
        published.insert(key);
        m_published.erase(key);
    }
    withdraw(sums);
    m_published = std::move(published);
}

void admission_meter::withdraw(shared_sums &sums)
{
    for (const auto key : m_published) {
        sums.setOwn(key, 0);
    }
    m_published.clear();
}

}
