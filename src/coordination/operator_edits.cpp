#include "coordination/operator_edits.h"

#include "protocol/api_keys.h"

#include <chrono>
#include <thread>

namespace lacewinglock
{

namespace
{

using nlohmann::json;
using namespace std::chrono_literals;

constexpr auto majorityPollInterval = 20ms;
/// Another operator may commit between the read of the base version and the commit. A change to one key is then retried on the new base.
constexpr int maxKeyEditAttempts = 5;

/// Waits until a majority holds the version or `majorityTimeout` passes. Uses real time, since it only bounds the operator's call and affects no decision.
bool waitForMajority(const operator_context &context, std::uint64_t version)
{
    const auto end = std::chrono::steady_clock::now() + context.majorityTimeout;
    while (!context.heldByMajority(version)) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(majorityPollInterval);
    }
    return true;
}

operator_response failureResponse(const edit_result &result)
{
    switch (result.outcome) {
    case edit_outcome::Conflict: {
        auto response = operatorError(409, "conflict", result.message);
        response.body["current_version"] = result.version;
        response.body["differing_paths"] = result.differingPaths;
        return response;
    }
    case edit_outcome::Invalid:
        return operatorError(400, "invalid", result.message);
    case edit_outcome::Unknown: {
        auto response = operatorError(504, "outcome_unknown", result.message);
        response.body["nonce"] = result.nonce;
        return response;
    }
    case edit_outcome::Unavailable:
    case edit_outcome::Stored:
        break;
    }
    return operatorError(503, "store_unavailable", result.message);
}

operator_response storedResponse(operator_context &context, const edit_result &result, const json &patch)
{
    if (!result.nonce.empty()) {
        context.pushPatch(result.version, patch);
    }
    const bool heldByMajority = waitForMajority(context, result.version);
    json body = {{"version", result.version}, {"in_force", heldByMajority}, {"message", heldByMajority ? "in force" : "stored, not yet in force"}};
    if (!result.nonce.empty()) {
        body["nonce"] = result.nonce;
    }
    return {200, std::move(body)};
}

/// Applies a change to one key, in up to `maxKeyEditAttempts` attempts, until no other operator's commit conflicts.
template <typename Prepare>
operator_response editKey(operator_context &context, const std::string &author, Prepare prepare)
{
    edit_result result;
    for (int attempt = 0; attempt < maxKeyEditAttempts; ++attempt) {
        const auto base = context.editor.load();
        if (!base.ok()) {
            return operatorError(503, "store_unavailable", std::string(base.status().message()) + "; nothing was changed");
        }
        json patch;
        if (auto rejection = prepare(base->document.value("keys", json::object()), patch); rejection.status != 200) {
            return rejection;
        }
        result = context.editor.apply({.baseVersion = base->version, .patch = patch, .author = author});
        if (result.outcome == edit_outcome::Stored) {
            return storedResponse(context, result, patch);
        }
        if (result.outcome != edit_outcome::Conflict) {
            break;
        }
    }
    return failureResponse(result);
}

json keyPatch(const std::string &id, json entry)
{
    return {{"keys", {{id, std::move(entry)}}}};
}

}

operator_response operatorError(int status, const std::string &code, const std::string &message)
{
    return {status, {{"error", {{"code", code}, {"message", message}}}}};
}

operator_response handlePatch(operator_context &context, const config_edit &edit)
{
    const auto result = context.editor.apply(edit);
    return result.outcome == edit_outcome::Stored ? storedResponse(context, result, edit.patch) : failureResponse(result);
}

operator_response handleKeyCreate(operator_context &context, const json &body, const std::string &author)
{
    for (const auto &[name, value] : body.items()) {
        if (name != "organisation" && name != "id" && name != "concurrent_requests") {
            return operatorError(400, "invalid", "/" + name + ": unknown field");
        }
    }
    if (!body.contains("organisation") || !body["organisation"].is_string() || (body.contains("id") && !body["id"].is_string())) {
        return operatorError(400, "invalid", "organisation is required; organisation and id are strings");
    }
    const std::string id = body.contains("id") ? body["id"].get<std::string>() : "k" + randomHex(6);
    const auto created = createKey(id, body["organisation"].get<std::string>());
    auto response = editKey(context, author, [&](const json &keys, json &patch) {
        if (keys.contains(id)) {
            return operatorError(409, "exists", "key " + id + " exists");
        }
        json entry = {{"organisation", created.entry.organisation}, {"salt", created.entry.salt}, {"hash", created.entry.hash}};
        if (body.contains("concurrent_requests")) {
            entry["concurrent_requests"] = body["concurrent_requests"];
        }
        patch = keyPatch(id, std::move(entry));
        return operator_response{};
    });
    // With an unknown outcome (504) the key may exist, so its text is returned here too: it can't be shown later.
    if (response.status == 200 || response.status == 504) {
        response.body["id"] = id;
        response.body["key"] = created.text;
    }
    return response;
}

operator_response handleKeyWithdraw(operator_context &context, const std::string &keyId, const std::string &author)
{
    return editKey(context, author, [&](const json &keys, json &patch) {
        if (!keys.contains(keyId)) {
            return operatorError(404, "not_found", "key " + keyId + " does not exist");
        }
        patch = keyPatch(keyId, {{"withdrawn", true}});
        return operator_response{};
    });
}

operator_response handlePatchStatus(operator_context &context, const std::string &nonce)
{
    const auto result = context.editor.queryOutcome(nonce);
    if (result.outcome == edit_outcome::Stored) {
        return {200, {{"stored", true}, {"version", result.version}, {"in_force", context.heldByMajority(result.version)}}};
    }
    if (result.outcome == edit_outcome::Conflict) {
        return {200, {{"stored", false}, {"message", result.message}}};
    }
    return failureResponse(result);
}

}
