#pragma once

#include "coordination/config_editor.h"
#include "protocol/invariant.h"
#include "standin/virtual_daemon.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace lacewinglock
{

struct cell_options
{
    std::uint64_t seed = 1;
    int daemons = 9;
    int domains = 3;
    int engines = 6;
    int reclaimable = 3; ///< Of the engines, the last ones.
    int services = 2;
    int keys = 4;
    broken_mechanism broken = broken_mechanism::None;
};

struct violation
{
    invariant which = invariant::NoConflictingOrders;
    std::string detail;
    instant at;
    std::vector<std::string> trace; ///< The last events before it.
};

/// Totals of a run.
struct cell_totals
{
    int calls = 0;
    std::map<std::string, int> outcomes; ///< By outcome of each arrival.
    std::map<std::string, int> codes; ///< By error code of each refusal.
    std::map<std::string, int> edits; ///< Operator edits by outcome.
};

/// A cell of daemons on virtual time with callers, operators and faults. Violations of invariants are collected while it exists.
/// Daemons are named d1, d2, ..., domains z1, ..., engines e1, ..., services s1, ..., keys k1, ... .
class virtual_cell
{
public:
    explicit virtual_cell(const cell_options &options);
    ~virtual_cell();
    virtual_cell(const virtual_cell &) = delete;
    virtual_cell &operator=(const virtual_cell &) = delete;

    void runFor(duration length);
    virtual_world &world();
    virtual_platform &platform();
    virtual_daemon &daemon(const std::string &id);
    virtual_endpoint &endpoint(const std::string &id);
    std::vector<std::string> daemonIds() const;
    std::vector<std::string> engineIds() const;

    /// Sends a request to a daemon; an empty name picks a live one. A caller whose request ended in another way than whole sends it again
    /// through other daemons up to `retries` times.
    struct call_options
    {
        std::string daemon;
        std::string key = "k1";
        std::string booking; ///< Idempotency key; empty for a completion.
        std::string poison; ///< Prompt of a request that crashes its engines.
        std::uint64_t tokens = 20;
        int retries = 0;
        duration retryAfter = std::chrono::seconds(1);
    };
    std::shared_ptr<virtual_call> send(const call_options &options);

    /// Operator patches through a daemon. Returns the outcome: stored, conflict, invalid, unavailable, unknown or unreachable.
    std::string patch(const std::string &daemonId, const nlohmann::json &change);
    /// A second operator commits between the first one's reading and its commit.
    std::string patchRace(const std::string &daemonId, const nlohmann::json &change, const std::string &rivalId, const nlohmann::json &rivalChange);
    std::string withdrawKey(const std::string &daemonId, const std::string &keyId);
    std::string grantKey(const std::string &daemonId, const std::string &keyId);

    void partition(const std::vector<std::string> &left, const std::vector<std::string> &right);
    void heal();
    void reclaim(const std::string &failureDomain, duration untilGone);
    /// Asks whichever daemon holds the duty, until it takes the request.
    void orderRole(const std::string &endpointId, endpoint_role role);
    void provision(const std::string &failureDomain, int count);

    std::string holder(const std::string &duty) const;
    const std::vector<violation> &violations() const;
    const cell_totals &totals() const;

private:
    nlohmann::json firstDocument(const cell_options &options) const;
    void addEndpoints(const cell_options &options);
    void watch();
    void arrive(const std::shared_ptr<virtual_call> &call, const std::string &daemonId, int retries, duration retryAfter);
    std::string pickDaemon();
    std::string edit(const std::string &daemonId, const nlohmann::json &change, std::uint64_t base, const std::function<void()> &beforeCommit);

    invariant_handler m_former;
    virtual_world m_world;
    virtual_platform m_platform;
    virtual_surroundings m_around;
    std::vector<violation> m_violations;
    cell_totals m_totals;
    int m_operators = 0;
};

/// Text and configuration entry of a test key; the same for each name.
std::string virtualKeyText(const std::string &keyId);
nlohmann::json virtualKeyEntry(const std::string &keyId);

}
