#pragma once

#include "protocol/configuration.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lacewinglock
{

/// What a decision saw of one endpoint.
struct endpoint_view
{
    std::string id;
    std::string failureDomain;
    endpoint_role role = endpoint_role::Mixed;
    bool reclaimable = false;
    bool leaving = false;
    bool reachable = true;
    bool reserved = false; ///< Another request of this daemon that may crash it runs there alone.
    bool changingRole = false;
    double reportAgeMs = 0;
    double queuedPromptTokens = 0; ///< As reported.
    int runningStreams = 0; ///< As reported.
    double freeKvTokens = 0; ///< As reported.
    double ownPromptTokensSince = 0; ///< Sent by this daemon since the report was taken.
    int ownStreamsSince = 0;
    int ownInFlight = 0;
    double cachedPromptTokens = 0; ///< Estimate for this prompt.
    double prefillTokensPerSecond = 8000;
    double decodeStepMs = 20; ///< Step time with an almost empty batch.
    double decodeStepMsPerStream = 0.2;
    int ownInFlightAtReport = -1; ///< Own requests in flight when the report was taken; negative when not tracked.
    double ownPromptTokensWaiting = -1; ///< Own prompt tokens sent and not yet answered by a first token; negative when not tracked.
    double ownPromptTokensWaitingAtReport = 0; ///< The same when the report was taken.
};

/// Lowest predicted cost. The policy in service.
struct cost_routing
{
    static constexpr std::string_view name = "cost";
    bool useCache = true; ///< Baseline of the bench when false.
    bool preferReclaimable = true;
};

/// Baseline of the bench: endpoints in turn.
struct round_robin_routing
{
    static constexpr std::string_view name = "round_robin";
    std::uint64_t turn = 0;
};

/// Baseline of the bench: fewest reported streams and queued tokens, without own work or cache.
struct least_load_routing
{
    static constexpr std::string_view name = "least_load";
};

using route_policy = std::variant<cost_routing, round_robin_routing, least_load_routing>;

/// Everything the choice of an endpoint depends on.
struct route_input
{
    std::string requestId;
    std::uint64_t configVersion = 0;
    std::string group;
    std::string organisation;
    std::string promptHash;
    double promptTokens = 0;
    double maxOutputTokens = 0;
    double remainingMs = 0; ///< Until the request's deadline.
    bool repeatable = true;
    bool suspect = false;
    std::vector<std::string> excluded; ///< Endpoints that already failed this request.
    std::uint64_t seed = 0;
    std::vector<endpoint_view> endpoints;
    double demandShare = 1; ///< Part of the group's demand that comes through this daemon.
    bool kvTransfer = false; ///< The caller of the decision can run prefill on one endpoint and decode on another.
    route_policy policy;
};

struct candidate_score
{
    std::string endpoint;
    double costMs = 0;
    std::string reason; ///< "chosen", or why it was passed over.
};

struct route_result
{
    std::string endpoint; ///< Empty when none can take the request. Delivers the answer.
    std::string prefillEndpoint; ///< When set, computes the prompt's KV cache, which `endpoint` then imports.
    double predictedFirstTokenMs = 0;
    double predictedQueueMs = 0; ///< Part of it spent behind other prompts.
    std::string reason;
    std::vector<candidate_score> candidates;
};

/// Weighted fair shares with borrowing. The policy in service.
struct fair_share_admission
{
    static constexpr std::string_view name = "fair_share";
};

/// Baseline of the bench: limits and capacity only, in order of arrival.
struct first_come_admission
{
    static constexpr std::string_view name = "first_come";
};

using admit_policy = std::variant<fair_share_admission, first_come_admission>;

/// Everything the admission of a request depends on.
struct admit_input
{
    std::string requestId;
    std::uint64_t configVersion = 0;
    std::string organisation;
    std::string keyId;
    double weight = 1;
    organisation_limits limits;
    double promptTokens = 0;
    double maxOutputTokens = 0;
    double bucketTokens = 0; ///< Level of the organisation's token bucket.
    int organisationInFlight = 0;
    int keyInFlight = 0;
    int keyLimit = 0;
    double groupTokensInFlight = 0; ///< Of this daemon.
    double groupTokenShare = 0; ///< This daemon's share of the group's capacity.
    double organisationTokensInFlight = 0;
    double activeWeight = 0; ///< Sum of the weights of organisations with work waiting or running here.
    int waiting = 0;
    double predictedFirstTokenMs = 0;
    double remainingMs = 0;
    double predictedQueueMs = 0; ///< Time behind other prompts at the engine.
    bool late = false; ///< The first-token target is missed already.
    int waitingBelowShare = 0; ///< Waiting requests of other organisations that are below their own share.
    admit_policy policy;
};

enum class admit_verdict {
    Admit,
    Wait,
    Refuse
};

struct admit_result
{
    admit_verdict verdict = admit_verdict::Admit;
    std::string reason;
    double retryAfterMs = 0;
};

/// A request waiting for capacity.
struct waiting_request
{
    std::string id;
    std::string organisation;
    double weight = 1; ///< Of the organisation.
    double costTokens = 0;
    std::uint64_t arrival = 0; ///< Sequence number at this daemon.
    bool late = false; ///< Cannot meet the first-token target any more.
};

/// Work already served to an organisation in the current busy period, divided by its weight.
struct organisation_service
{
    std::string organisation;
    double servedPerWeight = 0;
};

/// Everything the order of waiting requests depends on.
struct order_input
{
    std::uint64_t configVersion = 0;
    std::string group;
    std::vector<waiting_request> waiting;
    std::vector<organisation_service> served;
    std::uint64_t limit = 0; ///< How many requests are wanted; 0 means all.
    admit_policy policy;
};

struct order_result
{
    std::vector<std::string> requests; ///< First to run first.
};

/// Changes a role when the expected gain exceeds the loss while the engine is away. The policy in service.
struct break_even_roles
{
    static constexpr std::string_view name = "break_even";
};

/// Baseline of the bench: never changes a role.
struct fixed_roles
{
    static constexpr std::string_view name = "fixed";
};

/// Baseline of the bench: follows the mix of the short horizon at once.
struct follow_mix_roles
{
    static constexpr std::string_view name = "follow_mix";
};

using role_policy = std::variant<break_even_roles, fixed_roles, follow_mix_roles>;

/// What the role planner sees of one engine.
struct role_endpoint_view
{
    std::string id;
    endpoint_role role = endpoint_role::Mixed;
    bool changingRole = false;
    bool available = true; ///< Reachable and not leaving.
    int runningStreams = 0;
    double prefillTokensPerSecond = 8000;
    double decodeTokensPerSecond = 2600; ///< With as many streams as the token gap target allows.
};

struct token_demand
{
    double promptTokensPerSecond = 0; ///< Not found in a prefix cache.
    double outputTokensPerSecond = 0;
};

/// Everything a role change depends on.
struct role_input
{
    std::uint64_t configVersion = 0;
    std::string group;
    token_demand shortDemand; ///< Mean over tunables::shortDemandHorizon.
    token_demand longDemand; ///< Mean over tunables::longDemandHorizon.
    double changeMs = 0; ///< Expected time out of service, including draining.
    double sinceLastChangeMs = 0;
    bool orderOpen = false; ///< An order of this group is not settled.
    std::vector<role_endpoint_view> endpoints;
    role_policy policy;
};

/// Figures behind one possible change, in tokens of goodput.
struct role_candidate
{
    std::string endpoint;
    endpoint_role role = endpoint_role::Mixed;
    double gainTokens = 0;
    double lossTokens = 0;
    std::string reason;
};

struct role_result
{
    std::string endpoint; ///< Empty when no role changes.
    endpoint_role role = endpoint_role::Mixed;
    std::string reason;
    std::vector<role_candidate> candidates;
};

/// Reclaimable endpoints within the headroom, ordinary ones otherwise. The policy in service.
struct cheap_first_provision
{
    static constexpr std::string_view name = "cheap_first";
};

/// Baseline of the bench.
struct ordinary_only_provision
{
    static constexpr std::string_view name = "ordinary_only";
};

using provision_policy = std::variant<cheap_first_provision, ordinary_only_provision>;

struct provision_endpoint_view
{
    std::string id;
    std::string failureDomain;
    bool reclaimable = false;
    bool leaving = false;
    double idleMs = 0; ///< Since it last had work.
};

/// An order that the platform has accepted and not yet delivered.
struct provision_pending
{
    std::string failureDomain;
    bool reclaimable = false;
    int count = 0;
};

/// What the platform can deliver in one failure domain, as far as known from recent orders.
struct provision_domain_view
{
    std::string failureDomain;
    bool reclaimableAvailable = true;
    bool ordinaryAvailable = true;
};

/// Everything the ordering and release of endpoints depends on.
struct provision_input
{
    std::uint64_t configVersion = 0;
    std::string group;
    endpoint_group limits;
    double demandEndpoints = 0; ///< Endpoints' worth of work that the promised service needs.
    double reacquireMs = 0; ///< From ordering an endpoint to its first request.
    double ordinaryCostPerHour = 1;
    double reclaimableCostPerHour = 0.4;
    std::vector<provision_endpoint_view> endpoints;
    std::vector<provision_pending> pending;
    std::vector<provision_domain_view> domains;
    provision_policy policy;
};

struct provision_step
{
    std::string failureDomain;
    bool reclaimable = false;
    int count = 0; ///< Negative releases endpoints.
    std::vector<std::string> release;
    std::string reason;
};

struct provision_result
{
    std::vector<provision_step> steps;
    bool headroomMet = true; ///< The promised service survives the reclaim of any one failure domain once the steps are done.
    std::string reason;
};

struct address_candidate
{
    std::string instanceId;
    std::string address;
    std::string failureDomain;
    bool draining = false;
    double load = 0; ///< 0 idle to 1 full.
};

/// Everything the list of addresses given to a caller depends on.
struct address_input
{
    std::uint64_t configVersion = 0;
    std::string organisation;
    std::string callerDomain; ///< Empty when not known.
    std::vector<address_candidate> daemons;
};

struct address_result
{
    std::vector<std::string> addresses; ///< In the order the caller should try them.
    double lifetimeMs = 0;
    std::string reason;
};

/// One line of the decision log: the input and result are kept as JSON, so that replay can run the decision again.
struct decision_record
{
    std::string id;
    std::string kind; ///< route, admit, order, role, provision or address.
    std::string requestId;
    std::uint64_t configVersion = 0;
    std::string input;
    std::string result;
};

}
