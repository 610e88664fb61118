#include "serving/placement_log.h"

#include "serving/admission_log.h"
#include "serving/ejection_log.h"

#include <absl/strings/str_cat.h>
#include <cmath>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

using nlohmann::json;

constexpr const char *generationEvent = "place_generation";
constexpr const char *serviceEvent = "place_service";
// Positions of the last fields of a candidate. The pace is left out when it is 1, and then the held time when it is 0.
constexpr std::size_t engineOverdue = 10;
constexpr std::size_t engineHeld = 11;
constexpr std::size_t enginePace = 12;
constexpr std::size_t endpointOverdue = 6;
constexpr std::size_t endpointHeld = 7;
constexpr std::size_t endpointPace = 8;

std::string encodeLast(double heldMs, double pace)
{
    if (pace != 1) {
        return absl::StrCat(",", std::llround(heldMs), ",", std::llround(pace * 100));
    }
    return heldMs > 0 ? absl::StrCat(",", std::llround(heldMs)) : std::string();
}

double parseHeld(const json &entry, std::size_t position)
{
    return entry.size() > position ? entry.at(position).get<double>() : 0;
}

double parsePace(const json &entry, std::size_t position)
{
    return entry.size() > position ? entry.at(position).get<double>() / 100 : 1;
}

std::string encode(const engine_candidate &engine)
{
    return absl::StrCat(
        "[\"",
        engine.id,
        "\",",
        static_cast<int>(engine.role),
        engine.local ? ",1," : ",0,",
        engine.excluded ? "1," : "0,",
        engine.running,
        ",",
        engine.slots,
        ",",
        std::llround(engine.queuedTokens),
        ",",
        std::llround(engine.cachedTokens),
        ",",
        std::llround(engine.slowdown * 100),
        absl::StrCat(",", std::llround(engine.failureRate * 100), ",", std::llround(engine.overdueMs), encodeLast(engine.heldMs, engine.pace), "]"));
}

std::string encode(const service_candidate &endpoint)
{
    return absl::StrCat("[\"",
                        endpoint.id,
                        endpoint.local ? "\",1," : "\",0,",
                        endpoint.excluded ? "1," : "0,",
                        endpoint.running,
                        ",",
                        endpoint.slots,
                        ",",
                        std::llround(endpoint.failureRate * 100),
                        ",",
                        std::llround(endpoint.overdueMs),
                        encodeLast(endpoint.heldMs, endpoint.pace),
                        "]");
}

template <typename Candidate>
std::string encodeList(const std::vector<Candidate> &candidates)
{
    std::string out = "[";
    for (const auto &candidate : candidates) {
        absl::StrAppend(&out, out.size() > 1 ? "," : "", encode(candidate));
    }
    return out + "]";
}

engine_candidate parseEngine(const json &entry)
{
    return {
        .id = entry.at(0),
        .role = static_cast<endpoint_role>(entry.at(1).get<int>()),
        .local = entry.at(2) == 1,
        .excluded = entry.at(3) == 1,
        .running = entry.at(4),
        .slots = entry.at(5),
        .queuedTokens = entry.at(6),
        .cachedTokens = entry.at(7),
        .slowdown = entry.at(8).get<double>() / 100,
        .failureRate = entry.at(9).get<double>() / 100,
        .overdueMs = entry.at(engineOverdue),
        .heldMs = parseHeld(entry, engineHeld),
        .pace = parsePace(entry, enginePace),
    };
}

service_candidate parseEndpoint(const json &entry)
{
    return {
        .id = entry.at(0),
        .local = entry.at(1) == 1,
        .excluded = entry.at(2) == 1,
        .running = entry.at(3),
        .slots = entry.at(4),
        .failureRate = entry.at(5).get<double>() / 100,
        .overdueMs = entry.at(endpointOverdue),
        .heldMs = parseHeld(entry, endpointHeld),
        .pace = parsePace(entry, endpointPace),
    };
}

std::optional<uneven_pace> parseUneven(const json &line)
{
    if (!line.contains("choice")) {
        return std::nullopt;
    }
    return uneven_pace{.choice = line.at("choice"), .overheadMs = line.value("overhead_ms", 0.0), .work = line.value("work_percent", 100.0) / 100};
}

generation_input parseGeneration(const json &line)
{
    generation_input input{
        .requestId = line.at("id"),
        .configVersion = line.at("config"),
        .promptTokens = line.at("prompt"),
        .elapsedMs = line.at("elapsed_ms"),
        .targetMs = line.at("target_ms"),
        .remainingMs = line.at("left_ms"),
        .mayDisaggregate = line.at("may_split"),
        .kvTokenBytes = line.at("kv_bytes"),
        .linkMbps = line.at("link_mbps"),
        .peerAgeMs = line.at("peer_age_ms"),
        .jitter = line.at("roll"),
        .uneven = parseUneven(line),
    };
    for (const auto &entry : line.at("engines")) {
        input.engines.push_back(parseEngine(entry));
    }
    return input;
}

service_input parseService(const json &line)
{
    service_input input{
        .requestId = line.at("id"),
        .configVersion = line.at("config"),
        .workMs = line.at("work_ms"),
        .remainingMs = line.at("left_ms"),
        .onTimeMs = line.value("on_time_ms", 0.0),
        .peerAgeMs = line.at("peer_age_ms"),
        .jitter = line.at("roll"),
        .uneven = parseUneven(line),
    };
    for (const auto &entry : line.at("endpoints")) {
        input.endpoints.push_back(parseEndpoint(entry));
    }
    return input;
}

absl::Status differs(const json &line, std::string_view field, const std::string &replayed)
{
    return absl::FailedPreconditionError(absl::StrCat("request ",
                                                      line.at("id").get<std::string>(),
                                                      ": replay gives another ",
                                                      std::string(field),
                                                      ": logged ",
                                                      line.at(std::string(field)).dump(),
                                                      ", replayed ",
                                                      replayed));
}

}

double toTenth(double value)
{
    return std::round(value * 10) / 10;
}

double toHundredth(double value)
{
    return std::round(value * 100) / 100;
}

void logPlacement(log_line &line, const generation_input &input, const generation_result &result)
{
    line.add("id", input.requestId).add("config", input.configVersion).add("prompt", input.promptTokens).add("elapsed_ms", input.elapsedMs);
    line.add("target_ms", input.targetMs).add("left_ms", input.remainingMs).add("may_split", input.mayDisaggregate).add("kv_bytes", input.kvTokenBytes);
    line.add("link_mbps", input.linkMbps).add("peer_age_ms", input.peerAgeMs).add("roll", input.jitter).addRaw("engines", encodeList(input.engines));
    line.add("read_at", result.prefillIndex).add("output_at", result.decodeIndex).add("fetch_from", result.kvSourceIndex).add("first_ms", result.firstEventMs);
    line.add("queue_ms", result.queueMs).add("read_ms", result.prefillMs).add("reason", result.reason);
    if (input.uneven) {
        line.add("choice", std::uint64_t(input.uneven->choice))
            .add("overhead_ms", input.uneven->overheadMs)
            .add("work_percent", std::int64_t(std::llround(input.uneven->work * 100)));
    }
}

void logPlacement(log_line &line, const service_input &input, const service_result &result)
{
    line.add("id", input.requestId).add("config", input.configVersion).add("work_ms", input.workMs).add("left_ms", input.remainingMs);
    line.add("on_time_ms", input.onTimeMs).add("peer_age_ms", input.peerAgeMs).add("roll", input.jitter).addRaw("endpoints", encodeList(input.endpoints));
    line.add("chosen", result.endpoint).add("predicted_ms", result.predictedMs).add("reason", result.reason);
    if (input.uneven) {
        line.add("choice", std::uint64_t(input.uneven->choice));
    }
}

absl::StatusOr<placement_record> parsePlacement(std::string_view text)
{
    const auto line = json::parse(text, nullptr, false);
    if (!line.is_object() || !line.contains("event")) {
        return placement_record();
    }
    try {
        if (line["event"] == generationEvent) {
            return placement_record(parseGeneration(line));
        }
        if (line["event"] == serviceEvent) {
            return placement_record(parseService(line));
        }
    } catch (const json::exception &error) {
        return absl::InvalidArgumentError(absl::StrCat("placement decision in the log cannot be parsed: ", error.what()));
    }
    return placement_record();
}

absl::Status replayPlacement(std::string_view text, const engine_model &model, replay_counts &counts)
{
    const auto record = parsePlacement(text);
    if (!record.ok()) {
        return record.status();
    }
    if (const auto ejection = replayEjection(text)) {
        ++counts.decisions;
        return *ejection;
    }
    if (std::holds_alternative<std::monostate>(*record)) {
        const auto admission = replayAdmission(text);
        ++(admission.value_or(false) ? counts.decisions : counts.otherLines);
        return admission.status();
    }
    ++counts.decisions;
    const auto line = json::parse(text);
    if (const auto *generation = std::get_if<generation_input>(&*record)) {
        const auto result = placeGeneration(*generation, model);
        if (result.prefillIndex != line.at("read_at")) {
            return differs(line, "read_at", std::to_string(result.prefillIndex));
        }
        if (result.decodeIndex != line.at("output_at")) {
            return differs(line, "output_at", std::to_string(result.decodeIndex));
        }
        if (result.reason != line.at("reason").get<std::string>()) {
            return differs(line, "reason", std::string(result.reason));
        }
    } else if (const auto *service = std::get_if<service_input>(&*record)) {
        const auto result = placeService(*service);
        if (result.endpoint != line.at("chosen")) {
            return differs(line, "chosen", std::to_string(result.endpoint));
        }
        if (result.reason != line.at("reason").get<std::string>()) {
            return differs(line, "reason", std::string(result.reason));
        }
    }
    return absl::OkStatus();
}

}
