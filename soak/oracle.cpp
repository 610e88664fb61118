#include "soak/oracle.h"

namespace faultsoak
{

namespace
{

constexpr std::int64_t revokeBoundMs = 5000; // revoke-ms of the deployments.
constexpr std::int64_t drainBoundMs = 2000; // drain-ms of the deployments.
constexpr std::int64_t contactMs = 3000; // contact-ms: bounds on draining hold only while the store was sound for so long.
constexpr double recoveredShare = 0.9; // Of the requests after the faults; error answers of the endpoints are not made by the stand-ins.

bool mayRunOnce(call_kind kind)
{
    return kind != call_kind::Read;
}

bool promisesNotRun(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

}

std::string streamEvent(std::string_view id, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + std::string(id) + "\n\n";
}

std::string expectedBody(call_kind kind, std::string_view id)
{
    if (kind != call_kind::Stream) {
        return "answer to " + std::string(id);
    }
    std::string out;
    for (int number = 1; number <= streamEvents; ++number) {
        out += streamEvent(id, number);
    }
    return out;
}

void oracle::violate(const std::string &text)
{
    m_violations.push_back(text);
}

void oracle::noteSent(const std::string &id, const std::string &key, std::int64_t at)
{
    m_sent[id] = {key, at};
}

void oracle::noteRun(const endpoint_run &run)
{
    m_runs[run.id].push_back(run);
    const auto sent = m_sent.find(run.id);
    if (sent == m_sent.end()) {
        violate("request " + run.id + " ran at " + run.endpoint + " and no caller sent it");
        return;
    }
    const auto &[key, sentAt] = sent->second;
    if (run.keySeen) {
        violate("the key of request " + run.id + " reached endpoint " + run.endpoint);
    }
    if (const auto owner = m_organisations.find(key); owner == m_organisations.end() || owner->second != run.organisation) {
        violate("request " + run.id + " ran for organisation \"" + run.organisation + "\", which does not own its key");
    }
    if (const auto withdrawn = m_withdrawn.find(key); withdrawn != m_withdrawn.end() && sentAt > withdrawn->second + revokeBoundMs) {
        violate("request " + run.id + " ran " + std::to_string(sentAt - withdrawn->second) + " ms after its key was withdrawn");
    }
    if (const auto leaving = m_leaving.find(run.endpoint); leaving != m_leaving.end()) {
        const bool storeWasSound = leaving->second > m_storeFaultAt + contactMs;
        if (storeWasSound && run.at > leaving->second + drainBoundMs && sentAt > leaving->second + drainBoundMs) {
            violate("request " + run.id + " reached " + run.endpoint + " " + std::to_string(run.at - leaving->second) + " ms after it began to leave");
        }
    }
}

void oracle::noteCaller(const caller_view &view)
{
    m_views[view.id] = view;
    const bool success = view.status >= 200 && view.status < 300;
    if (success && view.whole && !view.sealed) {
        violate("request " + view.id + " got a success without a seal");
    }
    if (success && view.whole && view.body != expectedBody(view.kind, view.id)) {
        violate("request " + view.id + " got another body than its endpoint gave");
    }
    if (success && !view.whole && expectedBody(view.kind, view.id).rfind(view.body, 0) != 0) {
        violate("request " + view.id + " got pieces that are not the beginning of its answer");
    }
}

void oracle::noteKey(const std::string &key, const std::string &organisation)
{
    m_organisations[key] = organisation;
}

void oracle::noteWithdrawn(const std::string &key, std::int64_t at)
{
    m_withdrawn[key] = at;
}

void oracle::noteLeaving(const std::string &endpoint, std::int64_t at)
{
    m_leaving.try_emplace(endpoint, at);
}

void oracle::noteStoreFault(std::int64_t at)
{
    m_storeFaultAt = at;
}

void oracle::noteReport(std::int64_t window, const std::string &counts)
{
    const auto [place, added] = m_reports.try_emplace(window, counts);
    if (!added && place->second != counts) {
        violate("window " + std::to_string(window) + " was reported as " + place->second + " and as " + counts);
    }
}

void oracle::noteToken(const std::string &duty, std::uint64_t token, const std::string &holder)
{
    const auto [place, added] = m_holders.try_emplace({duty, token}, holder);
    if (!added && place->second != holder) {
        violate("token " + std::to_string(token) + " of duty " + duty + " was used by " + place->second + " and " + holder);
    }
}

void oracle::noteHealed(std::int64_t at)
{
    m_healedAt = at;
}

void oracle::finish()
{
    int asked = 0;
    int served = 0;
    for (const auto &[id, view] : m_views) {
        const auto runs = m_runs.find(id);
        const std::size_t count = runs == m_runs.end() ? 0 : runs->second.size();
        if (mayRunOnce(view.kind) && count > 1) {
            violate("request " + id + " may run once and ran " + std::to_string(count) + " times");
        }
        if (mayRunOnce(view.kind) && promisesNotRun(view.status) && count > 0) {
            violate("request " + id + " was answered " + std::to_string(view.status) + " and ran");
        }
        if (m_healedAt >= 0 && view.sentAt >= m_healedAt && !m_withdrawn.contains(view.key)) {
            ++asked;
            served += view.status == 200 && view.whole ? 1 : 0;
        }
    }
    if (m_healedAt >= 0 && served < recoveredShare * asked) {
        violate("after the faults only " + std::to_string(served) + " of " + std::to_string(asked) + " requests were served");
    }
    if (m_healedAt >= 0 && asked == 0) {
        violate("no request was sent after the faults");
    }
}

const std::vector<std::string> &oracle::violations() const
{
    return m_violations;
}

std::string oracle::summary() const
{
    std::map<int, int> byStatus;
    for (const auto &[id, view] : m_views) {
        ++byStatus[view.whole || view.status == 0 ? view.status : -view.status];
    }
    std::string out = std::to_string(m_views.size()) + " requests:";
    for (const auto &[status, count] : byStatus) {
        out += " "
            + (status < 0        ? std::to_string(-status) + " cut"
                   : status == 0 ? std::string("no answer")
                                 : std::to_string(status))
            + " x" + std::to_string(count);
    }
    return out + "; " + std::to_string(m_reports.size()) + " usage reports";
}

}
