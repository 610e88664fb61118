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

constexpr auto inForcePoll = 20ms;
/// Other operators may commit between reading the base and committing; a change to one key is repeated on the new base.
constexpr int maxKeyAttempts = 5;

/// Real time is right here: the wait only bounds how long an operator's call takes and decides nothing.
bool waitInForce(const operator_context &context, std::uint64_t version)
{
    const auto end = std::chrono::steady_clock::now() + context.inForceWait;
    while (!context.inForce(version)) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(inForcePoll);
    }
    return true;
}

operator_answer describeFailure(const edit_result &result)
{
    switch (result.outcome) {
    case edit_outcome::Conflict: {
        auto answer = operatorError(409, "conflict", result.message);
        answer.body["current_version"] = result.version;
        answer.body["differing_paths"] = result.differingPaths;
        return answer;
    }
    case edit_outcome::Invalid:
        return operatorError(400, "invalid", result.message);
    case edit_outcome::Unknown: {
        auto answer = operatorError(504, "outcome_unknown", result.message);
        answer.body["nonce"] = result.nonce;
        return answer;
    }
    case edit_outcome::Unavailable:
    case edit_outcome::Stored:
        break;
    }
    return operatorError(503, "store_unavailable", result.message);
}

operator_answer describeStored(operator_context &context, const edit_result &result, const json &patch)
{
    if (!result.nonce.empty()) {
        context.pushPatch(result.version, patch);
    }
    const bool inForce = waitInForce(context, result.version);
    json body = {{"version", result.version}, {"in_force", inForce}, {"message", inForce ? "in force" : "stored, not yet in force"}};
    if (!result.nonce.empty()) {
        body["nonce"] = result.nonce;
    }
    return {200, std::move(body)};
}

/// Repeats a change to one key until no other operator's commit comes in between.
template <typename Prepare>
operator_answer editKey(operator_context &context, const std::string &author, Prepare prepare)
{
    edit_result result;
    for (int attempt = 0; attempt < maxKeyAttempts; ++attempt) {
        const auto base = context.editor.load();
        if (!base.ok()) {
            return operatorError(503, "store_unavailable", std::string(base.status().message()) + "; nothing was changed");
        }
        json patch;
        if (auto refused = prepare(base->document.value("keys", json::object()), patch); refused.status != 200) {
            return refused;
        }
        result = context.editor.apply({.baseVersion = base->version, .patch = patch, .author = author});
        if (result.outcome == edit_outcome::Stored) {
            return describeStored(context, result, patch);
        }
        if (result.outcome != edit_outcome::Conflict) {
            break;
        }
    }
    return describeFailure(result);
}

json keyPatch(const std::string &id, json entry)
{
    return {{"keys", {{id, std::move(entry)}}}};
}

}

operator_answer operatorError(int status, const std::string &code, const std::string &message)
{
    return {status, {{"error", {{"code", code}, {"message", message}}}}};
}

operator_answer answerPatch(operator_context &context, const config_edit &edit)
{
    const auto result = context.editor.apply(edit);
    return result.outcome == edit_outcome::Stored ? describeStored(context, result, edit.patch) : describeFailure(result);
}

operator_answer answerKeyCreate(operator_context &context, const json &body, const std::string &author)
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
    auto answer = editKey(context, author, [&](const json &keys, json &patch) {
        if (keys.contains(id)) {
            return operatorError(409, "exists", "key " + id + " exists");
        }
        json entry = {{"organisation", created.entry.organisation}, {"salt", created.entry.salt}, {"hash", created.entry.hash}};
        if (body.contains("concurrent_requests")) {
            entry["concurrent_requests"] = body["concurrent_requests"];
        }
        patch = keyPatch(id, std::move(entry));
        return operator_answer{};
    });
    // With an unknown outcome the key may exist, and its text cannot be shown later.
    if (answer.status == 200 || answer.status == 504) {
        answer.body["id"] = id;
        answer.body["key"] = created.text;
    }
    return answer;
}

operator_answer answerKeyWithdraw(operator_context &context, const std::string &keyId, const std::string &author)
{
    return editKey(context, author, [&](const json &keys, json &patch) {
        if (!keys.contains(keyId)) {
            return operatorError(404, "not_found", "key " + keyId + " does not exist");
        }
        patch = keyPatch(keyId, {{"withdrawn", true}});
        return operator_answer{};
    });
}

operator_answer answerLookUp(operator_context &context, const std::string &nonce)
{
    const auto result = context.editor.lookUp(nonce);
    if (result.outcome == edit_outcome::Stored) {
        return {200, {{"stored", true}, {"version", result.version}, {"in_force", context.inForce(result.version)}}};
    }
    if (result.outcome == edit_outcome::Conflict) {
        return {200, {{"stored", false}, {"message", result.message}}};
    }
    return describeFailure(result);
}

}
