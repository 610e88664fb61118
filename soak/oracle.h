#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// Judges a soak run by what callers and endpoints see. Shares no code with the product. Times are milliseconds of one clock.
namespace faultsoak
{

enum class call_kind {
    Read, ///< May run more than once.
    Book, ///< May run once.
    Stream ///< May run once; not resumable.
};

/// What a caller got for one request.
struct caller_view
{
    std::string id;
    call_kind kind = call_kind::Read;
    std::string key;
    std::int64_t sentAt = 0;
    std::int64_t endedAt = 0;
    int status = 0; ///< 0: no answer.
    bool whole = false; ///< The answer ended as HTTP says it must.
    bool sealed = false;
    std::string body;
};

/// One run of a request at an endpoint.
struct endpoint_run
{
    std::string id;
    std::string endpoint;
    std::string organisation;
    bool keySeen = false; ///< The caller's key reached the endpoint.
    std::int64_t at = 0;
};

/// The body that an endpoint gives for a request.
std::string expectedBody(call_kind kind, std::string_view id);
/// One event of a stream's body.
std::string streamEvent(std::string_view id, int number);
constexpr int streamEvents = 5;

class oracle
{
public:
    void noteSent(const std::string &id, const std::string &key, std::int64_t at);
    void noteRun(const endpoint_run &run);
    void noteCaller(const caller_view &view);
    void noteKey(const std::string &key, const std::string &organisation);
    /// The store acknowledged a configuration without the key.
    void noteWithdrawn(const std::string &key, std::int64_t at);
    /// The store acknowledged that the endpoint leaves.
    void noteLeaving(const std::string &endpoint, std::int64_t at);
    /// The store answered badly for some daemon, until now.
    void noteStoreFault(std::int64_t at);
    /// The platform accepted a report or an order.
    void noteReport(std::int64_t window, const std::string &counts);
    void noteToken(const std::string &duty, std::uint64_t token, const std::string &holder);
    /// All faults were healed long enough; what callers got from now on counts for recovery.
    void noteHealed(std::int64_t at);

    /// Checks what can only be judged at the end.
    void finish();

    const std::vector<std::string> &violations() const;
    std::string summary() const;

private:
    void violate(const std::string &text);

    std::map<std::string, std::vector<endpoint_run>> m_runs;
    std::map<std::string, caller_view> m_views;
    std::map<std::string, std::pair<std::string, std::int64_t>> m_sent; ///< Key and time by id.
    std::map<std::string, std::string> m_organisations;
    std::map<std::string, std::int64_t> m_withdrawn;
    std::map<std::string, std::int64_t> m_leaving;
    std::int64_t m_storeFaultAt = -1'000'000;
    std::map<std::int64_t, std::string> m_reports;
    std::map<std::pair<std::string, std::uint64_t>, std::string> m_holders;
    std::int64_t m_healedAt = -1;
    std::vector<std::string> m_violations;
};

}
