#include "serving/ejection_log.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

using nlohmann::json;

long long hundredths(double value)
{
    return std::llround(value * 100);
}

std::string encode(const ejection_candidate &candidate)
{
    const std::vector<long long> numbers{candidate.prefills ? 1 : 0,
                                         candidate.available ? 1 : 0,
                                         static_cast<long long>(candidate.phase),
                                         hundredths(candidate.own.attempts),
                                         hundredths(candidate.own.losses),
                                         hundredths(candidate.own.errors),
                                         candidate.lossesInRow,
                                         candidate.errorsInRow,
                                         hundredths(candidate.othersAttempts),
                                         hundredths(candidate.othersLosses),
                                         candidate.answeredLately ? 1 : 0,
                                         candidate.level,
                                         candidate.trialAnswers,
                                         candidate.trialErrors,
                                         candidate.trialLosses};
    return absl::StrCat("[\"", candidate.id, "\",", absl::StrJoin(numbers, ","), "]");
}

ejection_candidate parseCandidate(const json &entry)
{
    const auto fraction = [&entry](std::size_t position) {
        return entry.at(position).get<double>() / 100;
    };
    return {
        .id = entry.at(0),
        .prefills = entry.at(1) == 1,
        .available = entry.at(2) == 1,
        .phase = static_cast<ejection_phase>(entry.at(3).get<int>()),
        .own = {fraction(4), fraction(5), fraction(6)},
        .lossesInRow = entry.at(7),
        .errorsInRow = entry.at(8),
        .othersAttempts = fraction(9),
        .othersLosses = fraction(10),
        .answeredLately = entry.at(11) == 1,
        .level = entry.at(12),
        .trialAnswers = entry.at(13),
        .trialErrors = entry.at(14),
        .trialLosses = entry.at(15),
    };
}

bool isChange(const json &line)
{
    return line.is_object() && line.contains("event") && (line["event"] == ejectedEvent || line["event"] == restoredEvent);
}

bool isLogged(const json &line, const ejection_input &input, const ejection_change &change)
{
    return input.endpoints[static_cast<std::size_t>(change.endpoint)].id == line.at("endpoint").get<std::string>()
        && change.ejects == (line.at("event") == ejectedEvent) && change.forMs == line.at("for_ms").get<double>()
        && change.reason == line.at("reason").get<std::string>();
}

}

void logEjection(log_line &line, const ejection_input &input, const ejection_change &change)
{
    line.add("endpoint", input.endpoints[static_cast<std::size_t>(change.endpoint)].id).add("service", input.service).add("for_ms", change.forMs);
    line.add("reason", change.reason);
    line.addRaw("endpoints",
                absl::StrCat("[",
                             absl::StrJoin(input.endpoints,
                                           ",",
                                           [](std::string *out, const ejection_candidate &candidate) {
                                               absl::StrAppend(out, encode(candidate));
                                           }),
                             "]"));
}

std::optional<absl::StatusOr<ejection_input>> parseEjection(std::string_view text)
{
    const auto line = json::parse(text, nullptr, false);
    if (!isChange(line)) {
        return std::nullopt;
    }
    try {
        ejection_input input{.service = line.at("service")};
        for (const auto &entry : line.at("endpoints")) {
            input.endpoints.push_back(parseCandidate(entry));
        }
        return absl::StatusOr<ejection_input>(std::move(input));
    } catch (const json::exception &error) {
        return absl::StatusOr<ejection_input>(absl::InvalidArgumentError(absl::StrCat("ejection in the log cannot be parsed: ", error.what())));
    }
}

std::optional<absl::Status> replayEjection(std::string_view text)
{
    const auto input = parseEjection(text);
    if (!input) {
        return std::nullopt;
    }
    if (!input->ok()) {
        return input->status();
    }
    const auto line = json::parse(text);
    try {
        const auto changes = decideEjections(**input);
        const bool found = std::ranges::any_of(changes, [&](const auto &change) {
            return isLogged(line, **input, change);
        });
        return found ? absl::OkStatus()
                     : absl::FailedPreconditionError(
                         absl::StrCat("endpoint ", line.at("endpoint").get<std::string>(), ": replay does not give the logged ejection or return"));
    } catch (const json::exception &error) {
        return absl::InvalidArgumentError(absl::StrCat("ejection in the log cannot be parsed: ", error.what()));
    }
}

}
