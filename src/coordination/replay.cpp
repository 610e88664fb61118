#include "coordination/replay.h"

#include "coordination/address_planner.h"
#include "coordination/admission.h"
#include "coordination/provision_planner.h"
#include "coordination/role_planner.h"
#include "coordination/routing.h"
#include "protocol/decision_codec.h"
#include "protocol/errors.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace lacewinglock
{

namespace
{

using json = nlohmann::json;

/// Parses the input, makes the decision and returns the result as JSON.
template <typename Input, typename Result>
absl::StatusOr<json> recompute(const json &document, Result (*decide)(const Input &))
{
    const auto input = parseDecision<Input>(document);
    if (!input.ok()) {
        return input.status();
    }
    return encodeDecision(decide(*input));
}

absl::StatusOr<json> recompute(const std::string &kind, const json &input)
{
    using decide_function = absl::StatusOr<json> (*)(const json &);
    static const std::map<std::string, decide_function> functions = {
        {"route",
         [](const json &item) {
             return recompute<route_input, route_result>(item, decideRoute);
         }},
        {"admit",
         [](const json &item) {
             return recompute<admit_input, admit_result>(item, decideAdmission);
         }},
        {"order",
         [](const json &item) {
             return recompute<queue_order_input, queue_order_result>(item, orderWaiting);
         }},
        {"role",
         [](const json &item) {
             return recompute<role_input, role_result>(item, decideRole);
         }},
        {"provision",
         [](const json &item) {
             return recompute<provision_input, provision_result>(item, decideProvision);
         }},
        {"address",
         [](const json &item) {
             return recompute<address_input, address_result>(item, decideAddresses);
         }},
    };
    const auto found = functions.find(kind);
    if (found == functions.end()) {
        return makeError(absl::StatusCode::kInvalidArgument, "replay", "local", "unknown decision kind " + kind);
    }
    return found->second(input);
}

absl::Status lineError(absl::StatusCode code, std::size_t lineNumber, const std::string &message)
{
    return makeError(code, "replay", "local", "line " + std::to_string(lineNumber) + ": " + message);
}

/// Whether a line is a decision; other log lines may share the file.
bool isDecision(const json &line)
{
    return line.is_object() && line.contains("decision") && line.value("kind", json()).is_string();
}

absl::Status replayLine(const json &line, std::size_t lineNumber)
{
    const auto kind = line.at("kind").get<std::string>();
    const auto recomputed = recompute(kind, line.value("input", json()));
    if (!recomputed.ok()) {
        return lineError(absl::StatusCode::kInvalidArgument, lineNumber, std::string(recomputed.status().message()));
    }
    const json recorded = line.value("result", json());
    if (*recomputed == recorded) {
        return absl::OkStatus();
    }
    const json difference = json::diff(recorded, *recomputed);
    return lineError(absl::StatusCode::kDataLoss, lineNumber, "decision " + line.at("decision").dump() + " (" + kind + ") differs: " + difference.dump());
}

std::string formatWhole(const json &value)
{
    return std::to_string(static_cast<long long>(value.is_number() ? value.get<double>() : 0.0));
}

void explainRoute(const json &line, std::ostream &out)
{
    const auto &input = line.at("input");
    const auto &result = line.at("result");
    out << "  " << formatWhole(input.at("promptTokens")) << " prompt tokens, at most " << formatWhole(input.at("maxOutputTokens")) << " output tokens, "
        << formatWhole(input.at("remainingMs")) << " ms left\n";
    out << "  endpoint: " << result.value("endpoint", "") << " (" << result.value("reason", "") << ")";
    if (const auto prefill = result.value("prefillEndpoint", ""); !prefill.empty()) {
        out << ", prefill on " << prefill;
    }
    out << "\n  first token predicted after " << formatWhole(result.at("predictedFirstTokenMs")) << " ms\n";
    for (const auto &candidate : result.value("candidates", json::array())) {
        out << "    " << candidate.value("endpoint", "") << ": cost " << formatWhole(candidate.at("costMs")) << " ms, " << candidate.value("reason", "")
            << "\n";
    }
}

void explainAdmit(const json &line, std::ostream &out)
{
    const auto &input = line.at("input");
    const auto &result = line.at("result");
    out << "  organisation " << input.value("organisation", "") << " has " << formatWhole(input.at("organisationTokensInFlight")) << " of "
        << formatWhole(input.at("groupTokensInFlight")) << " weighted tokens in flight; capacity " << formatWhole(input.at("groupTokenShare")) << "\n";
    out << "  verdict: " << result.value("verdict", "") << " (" << result.value("reason", "") << ")";
    if (result.value("retryAfterMs", 0.0) > 0) {
        out << ", retry after " << formatWhole(result.at("retryAfterMs")) << " ms";
    }
    out << "\n";
}

void explainLine(const json &line, std::ostream &out)
{
    out << line.at("kind").get<std::string>() << " decision " << line.at("decision").dump() << ", configuration version "
        << line.value("config_version", json()).dump() << "\n";
    const auto kind = line.at("kind").get<std::string>();
    if (kind == "route") {
        explainRoute(line, out);
    } else if (kind == "admit") {
        explainAdmit(line, out);
    } else {
        out << "  result: " << line.value("result", json()).dump() << "\n";
    }
}

}

absl::Status replayLog(std::istream &log, std::ostream &out)
{
    std::map<std::string, std::size_t> counts;
    std::string text;
    for (std::size_t lineNumber = 1; std::getline(log, text); ++lineNumber) {
        if (text.empty()) {
            continue;
        }
        const json line = json::parse(text, nullptr, false);
        if (line.is_discarded()) {
            return lineError(absl::StatusCode::kInvalidArgument, lineNumber, "not valid JSON");
        }
        if (!isDecision(line)) {
            continue;
        }
        if (auto status = replayLine(line, lineNumber); !status.ok()) {
            return status;
        }
        ++counts[line.at("kind").get<std::string>()];
    }
    for (const auto &[kind, count] : counts) {
        out << kind << ": " << count << " decisions repeated with the same result\n";
    }
    return absl::OkStatus();
}

absl::Status explainRequest(std::istream &log, std::string_view requestId, std::ostream &out)
{
    bool found = false;
    std::string text;
    while (std::getline(log, text)) {
        const json line = json::parse(text, nullptr, false);
        if (line.is_discarded() || !isDecision(line) || line.value("request", json()) != json(requestId)) {
            continue;
        }
        found = true;
        try {
            explainLine(line, out);
        } catch (const json::exception &error) {
            return makeError(absl::StatusCode::kDataLoss, "explain", "local", error.what());
        }
    }
    if (!found) {
        return makeError(absl::StatusCode::kNotFound, "explain", "local", "the log holds no decision for request " + std::string(requestId));
    }
    return absl::OkStatus();
}

}
