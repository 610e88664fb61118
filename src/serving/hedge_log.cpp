#include "serving/hedge_log.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

using nlohmann::json;

constexpr const char *hedgeEvent = "hedge";

json encode(const hedge_candidate &candidate)
{
    return json::array({candidate.id,
                        candidate.otherDomain ? 1 : 0,
                        candidate.usable ? 1 : 0,
                        candidate.tried ? 1 : 0,
                        candidate.restricted ? 1 : 0,
                        candidate.running,
                        candidate.slots,
                        candidate.predictedMs});
}

hedge_candidate parseCandidate(const json &entry)
{
    return {
        .id = entry.at(0),
        .otherDomain = entry.at(1) == 1,
        .usable = entry.at(2) == 1,
        .tried = entry.at(3) == 1,
        .restricted = entry.at(4) == 1,
        .running = entry.at(5),
        .slots = entry.at(6),
        .predictedMs = entry.at(7),
    };
}

hedge_input parseInput(const json &line)
{
    hedge_input input{
        .requestId = line.at("id"),
        .service = line.at("service"),
        .firstEndpoint = line.at("first"),
        .ratio = line.at("ratio"),
        .evenServices = line.at("even_services"),
        .unevenPace = line.at("uneven_pace"),
        .mayRunTwice = line.at("may_run_twice"),
        .suspect = line.at("suspect"),
        .stopping = line.at("stopping"),
        .attempts = line.at("attempts"),
        .maxAttempts = line.at("max_attempts"),
        .waitedMs = line.at("waited_ms"),
        .quantileMs = line.at("quantile_ms"),
        .remainingMs = line.at("left_ms"),
        .maxOverlapMs = line.at("overlap_ms"),
        .running = line.at("running"),
        .slots = line.at("slots"),
        .allowance = {.credit = line.at("credit"), .results = line.at("results"), .won = line.at("won"), .sinceLastMs = line.at("since_last_ms")},
        .retries = {.used = line.at("retries_used"), .allowed = line.at("retries_allowed")},
    };
    for (const auto &entry : line.at("candidates")) {
        input.candidates.push_back(parseCandidate(entry));
    }
    return input;
}

}

void logHedge(log_line &line, const hedge_input &input, const hedge_result &result)
{
    json candidates = json::array();
    for (const auto &candidate : input.candidates) {
        candidates.push_back(encode(candidate));
    }
    line.add("id", input.requestId).add("service", input.service).add("first", input.firstEndpoint);
    line.add("second", input.candidates[static_cast<std::size_t>(result.candidate)].id).add("waited_ms", input.waitedMs);
    line.add("quantile_ms", input.quantileMs)
        .addRaw("ratio", absl::StrCat(input.ratio))
        .add("even_services", input.evenServices)
        .add("uneven_pace", input.unevenPace);
    line.add("may_run_twice", input.mayRunTwice).add("suspect", input.suspect).add("stopping", input.stopping).add("attempts", input.attempts);
    line.add("max_attempts", input.maxAttempts).add("left_ms", input.remainingMs).add("overlap_ms", input.maxOverlapMs).add("running", input.running);
    line.add("slots", input.slots)
        .addRaw("credit", absl::StrCat(input.allowance.credit))
        .add("results", input.allowance.results)
        .add("won", input.allowance.won);
    line.add("since_last_ms", input.allowance.sinceLastMs).add("retries_used", input.retries.used).add("retries_allowed", input.retries.allowed);
    line.addRaw("candidates", candidates.dump()).add("chosen", result.candidate).add("reason", result.reason);
}

absl::StatusOr<std::optional<hedge_input>> parseHedge(std::string_view text)
{
    const auto line = json::parse(text, nullptr, false);
    if (!line.is_object() || !line.contains("event") || line["event"] != hedgeEvent) {
        return std::nullopt;
    }
    try {
        return parseInput(line);
    } catch (const json::exception &error) {
        return absl::InvalidArgumentError(absl::StrCat("hedge in the log cannot be parsed: ", error.what()));
    }
}

absl::Status replayHedge(std::string_view text)
{
    const auto input = parseHedge(text);
    if (!input.ok() || !*input) {
        return input.status();
    }
    const int replayed = decideHedge(**input).candidate;
    if (const auto logged = json::parse(text).value("chosen", -1); logged != replayed) {
        return absl::FailedPreconditionError(
            absl::StrCat("request ", (*input)->requestId, ": replay chooses another candidate for the hedge: logged ", logged, ", replayed ", replayed));
    }
    return absl::OkStatus();
}

}
