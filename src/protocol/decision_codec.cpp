#include "protocol/decision_codec.h"

#include "protocol/errors.h"

#include <nlohmann/json.hpp>

// NOLINTBEGIN(readability-identifier-naming): the JSON library requires the names to_json and from_json.
namespace lacewinglock
{

NLOHMANN_JSON_SERIALIZE_ENUM(endpoint_role, {{endpoint_role::Mixed, "mixed"}, {endpoint_role::Prefill, "prefill"}, {endpoint_role::Decode, "decode"}})
NLOHMANN_JSON_SERIALIZE_ENUM(route_kind, {{route_kind::Model, "model"}, {route_kind::Service, "service"}})
NLOHMANN_JSON_SERIALIZE_ENUM(admit_verdict, {{admit_verdict::Admit, "admit"}, {admit_verdict::Wait, "wait"}, {admit_verdict::Refuse, "refuse"}})

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(cost_routing, useCache, preferReclaimable)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(round_robin_routing, turn)

namespace
{

/// Encodes a policy as its fields and its name, in the field `policy`.
template <typename Policy>
nlohmann::json policyToJson(const Policy &policy)
{
    return std::visit(
        [](const auto &chosen) {
            nlohmann::json document = nlohmann::json::object();
            if constexpr (!std::is_empty_v<std::decay_t<decltype(chosen)>>) {
                document = chosen;
            }
            document["policy"] = chosen.name;
            return document;
        },
        policy);
}

/// Parses the document as the alternative if `name` is the name of the alternative; returns whether it is.
template <typename Alternative, typename Policy>
bool parseIfNamed(const nlohmann::json &document, const std::string &name, Policy &policy)
{
    if (name != Alternative::name) {
        return false;
    }
    if constexpr (std::is_empty_v<Alternative>) {
        policy = Alternative{};
    } else {
        policy = document.get<Alternative>();
    }
    return true;
}

template <typename... Alternatives>
void policyFromJson(const nlohmann::json &document, std::variant<Alternatives...> &policy)
{
    const auto name = document.at("policy").get<std::string>();
    if (!(parseIfNamed<Alternatives>(document, name, policy) || ...)) {
        throw nlohmann::json::other_error::create(501, "unknown policy " + name, &document);
    }
}

}

template <typename... Alternatives>
void to_json(nlohmann::json &document, const std::variant<Alternatives...> &policy)
{
    document = policyToJson(policy);
}

template <typename... Alternatives>
void from_json(const nlohmann::json &document, std::variant<Alternatives...> &policy)
{
    policyFromJson(document, policy);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(organisation_limits, tokensPerSecond, burstTokens, concurrentRequests)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(endpoint_group, kind, model, minEndpoints, maxEndpoints, cheapShare)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(endpoint_view,
                                                id,
                                                failureDomain,
                                                role,
                                                reclaimable,
                                                leaving,
                                                reachable,
                                                reserved,
                                                changingRole,
                                                reportAgeMs,
                                                queuedPromptTokens,
                                                runningStreams,
                                                freeKvTokens,
                                                ownPromptTokensSince,
                                                ownStreamsSince,
                                                ownInFlight,
                                                cachedPromptTokens,
                                                prefillTokensPerSecond,
                                                decodeStepMs,
                                                decodeStepMsPerStream,
                                                ownInFlightAtReport,
                                                ownPromptTokensWaiting,
                                                ownPromptTokensWaitingAtReport)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(route_input,
                                                requestId,
                                                configVersion,
                                                group,
                                                organisation,
                                                promptHash,
                                                promptTokens,
                                                maxOutputTokens,
                                                remainingMs,
                                                repeatable,
                                                suspect,
                                                excluded,
                                                seed,
                                                endpoints,
                                                demandShare,
                                                kvTransfer,
                                                policy)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(candidate_score, endpoint, costMs, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(route_result, endpoint, prefillEndpoint, predictedFirstTokenMs, predictedQueueMs, reason, candidates)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(admit_input,
                                                requestId,
                                                configVersion,
                                                organisation,
                                                keyId,
                                                weight,
                                                limits,
                                                promptTokens,
                                                maxOutputTokens,
                                                bucketTokens,
                                                organisationInFlight,
                                                keyInFlight,
                                                keyLimit,
                                                groupTokensInFlight,
                                                groupTokenShare,
                                                organisationTokensInFlight,
                                                activeWeight,
                                                waiting,
                                                predictedFirstTokenMs,
                                                remainingMs,
                                                predictedQueueMs,
                                                late,
                                                waitingBelowShare,
                                                policy)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(admit_result, verdict, reason, retryAfterMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(waiting_request, id, organisation, weight, costTokens, arrival, late)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(served_work, organisation, servedPerWeight)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(queue_order_input, configVersion, group, waiting, served, limit, policy)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(queue_order_result, requests)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(role_endpoint_view,
                                                id,
                                                role,
                                                changingRole,
                                                available,
                                                runningStreams,
                                                prefillTokensPerSecond,
                                                decodeTokensPerSecond)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(token_demand, promptTokensPerSecond, outputTokensPerSecond)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(role_input,
                                                configVersion,
                                                group,
                                                shortDemand,
                                                longDemand,
                                                changeMs,
                                                sinceLastChangeMs,
                                                orderOpen,
                                                endpoints,
                                                policy)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(role_candidate, endpoint, role, gainTokens, lossTokens, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(role_result, endpoint, role, reason, candidates)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(provision_endpoint_view, id, failureDomain, reclaimable, leaving, idleMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(provision_pending, failureDomain, reclaimable, count)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(provision_domain_view, failureDomain, reclaimableAvailable, ordinaryAvailable)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(provision_input,
                                                configVersion,
                                                group,
                                                limits,
                                                demandEndpoints,
                                                reacquireMs,
                                                ordinaryCostPerHour,
                                                reclaimableCostPerHour,
                                                endpoints,
                                                pending,
                                                domains,
                                                policy)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(provision_step, failureDomain, reclaimable, count, release, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(provision_result, steps, headroomMet, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(address_candidate, instanceId, address, failureDomain, draining, load)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(address_input, configVersion, organisation, callerDomain, daemons)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(address_result, addresses, lifetimeMs, reason)

template <typename Value>
nlohmann::json encodeDecision(const Value &value)
{
    return value;
}

template <typename Value>
absl::StatusOr<Value> parseDecision(const nlohmann::json &document)
{
    try {
        return document.get<Value>();
    } catch (const nlohmann::json::exception &error) {
        return makeError(absl::StatusCode::kInvalidArgument, "parse decision", "local", error.what());
    }
}

#define INSTANTIATE_CODEC(type) \
    template nlohmann::json encodeDecision<type>(const type &); \
    template absl::StatusOr<type> parseDecision<type>(const nlohmann::json &);

INSTANTIATE_CODEC(route_input)
INSTANTIATE_CODEC(route_result)
INSTANTIATE_CODEC(admit_input)
INSTANTIATE_CODEC(admit_result)
INSTANTIATE_CODEC(queue_order_input)
INSTANTIATE_CODEC(queue_order_result)
INSTANTIATE_CODEC(role_input)
INSTANTIATE_CODEC(role_result)
INSTANTIATE_CODEC(provision_input)
INSTANTIATE_CODEC(provision_result)
INSTANTIATE_CODEC(address_input)
INSTANTIATE_CODEC(address_result)

#undef INSTANTIATE_CODEC

namespace
{

template <typename Input, typename Result>
decision_record makeRecord(const std::string &id, const std::string &kind, const std::string &requestId, const Input &input, const Result &result)
{
    return {
        .id = id,
        .kind = kind,
        .requestId = requestId,
        .configVersion = input.configVersion,
        .input = encodeDecision(input).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
        .result = encodeDecision(result).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
    };
}

}

decision_record recordRoute(const std::string &id, const route_input &input, const route_result &result)
{
    return makeRecord(id, "route", input.requestId, input, result);
}

decision_record recordAdmit(const std::string &id, const admit_input &input, const admit_result &result)
{
    return makeRecord(id, "admit", input.requestId, input, result);
}

decision_record recordOrder(const std::string &id, const queue_order_input &input, const queue_order_result &result)
{
    return makeRecord(id, "order", "", input, result);
}

decision_record recordRole(const std::string &id, const role_input &input, const role_result &result)
{
    return makeRecord(id, "role", "", input, result);
}

decision_record recordProvision(const std::string &id, const provision_input &input, const provision_result &result)
{
    return makeRecord(id, "provision", "", input, result);
}

decision_record recordAddress(const std::string &id, const address_input &input, const address_result &result)
{
    return makeRecord(id, "address", "", input, result);
}

}
// NOLINTEND(readability-identifier-naming)
