#pragma once

#include "protocol/configuration.h"

#include <cstdint>
#include <string>
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
};

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
};

struct candidate_score
{
    std::string endpoint;
    double costMs = 0;
    std::string reason; ///< "chosen", or why it was passed over.
};

struct route_result
{
    std::string endpoint; ///< Empty when none can take the request.
    double predictedFirstTokenMs = 0;
    std::string reason;
    std::vector<candidate_score> candidates;
};

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

/// One line of the decision log: the input and result are kept as JSON, so that replay can run the decision again.
struct decision_record
{
    std::string id;
    std::string kind; ///< route, admit, role, provision or address.
    std::string requestId;
    std::uint64_t configVersion = 0;
    std::string input;
    std::string result;
};

}
