#include "serving/admission_log.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

using nlohmann::json;

admission_input parseInput(const json &line)
{
    return {
        .requestId = line.at("id"),
        .service = line.at("service"),
        .organisation = line.at("org"),
        .priority = line.at("priority"),
        .size = line.at("size"),
        .elapsedMs = line.at("elapsed_ms"),
        .targetMs = line.at("target_ms"),
        .remainingMs = line.at("left_ms"),
        .returning = line.at("returning"),
        .outlook =
            {
                .available = line.at("available"),
                .onTime = line.at("on_time"),
                .runsLate = line.at("runs_late"),
                .queueMs = line.at("queue_ms"),
                .workMs = line.at("work_ms"),
                .slots = line.at("slots"),
                .freePercent = line.at("free_percent"),
            },
        .load =
            {
                .demand = line.at("demand"),
                .unserved = line.at("unserved"),
                .urgentLevels = line.at("urgent_levels"),
                .organisationDemand = line.at("org_demand"),
                .fairShare = line.at("fair_share"),
            },
        .credit = line.at("credit"),
        .ageMs = line.at("age_ms"),
        .daemons = line.at("daemons"),
        .ownRunning = line.at("own_running"),
        .returnsMs = line.at("returns_ms"),
        .queueHasRoom = line.at("queue_room"),
        .jitter = line.at("roll"),
    };
}

}

void logAdmission(log_line &line, const admission_input &input, const admission_result &result)
{
    line.add("id", input.requestId).add("service", input.service).add("org", input.organisation).add("priority", input.priority);
    line.add("size", input.size).add("elapsed_ms", input.elapsedMs).add("target_ms", input.targetMs).add("left_ms", input.remainingMs);
    const auto &outlook = input.outlook;
    line.add("returning", input.returning).add("available", outlook.available).add("on_time", outlook.onTime).add("runs_late", outlook.runsLate);
    line.add("queue_ms", outlook.queueMs).add("work_ms", outlook.workMs).add("slots", outlook.slots).add("free_percent", outlook.freePercent);
    const auto &load = input.load;
    line.add("demand", load.demand).add("unserved", load.unserved).add("urgent_levels", load.urgentLevels);
    line.add("org_demand", load.organisationDemand).add("fair_share", load.fairShare).add("credit", input.credit).add("age_ms", input.ageMs);
    line.add("daemons", input.daemons).add("own_running", input.ownRunning).add("returns_ms", input.returnsMs);
    line.add("queue_room", input.queueHasRoom).add("roll", input.jitter);
    line.add("verdict", static_cast<int>(result.verdict)).add("wait_ms", result.waitMs).add("retry_ms", result.retryAfterMs).add("reason", result.reason);
}

absl::StatusOr<std::optional<admission_input>> parseAdmission(std::string_view text)
{
    const auto line = json::parse(text, nullptr, false);
    if (!line.is_object() || !line.contains("event") || line["event"] != admissionEvent) {
        return std::optional<admission_input>();
    }
    try {
        return std::optional(parseInput(line));
    } catch (const json::exception &error) {
        return absl::InvalidArgumentError(absl::StrCat("admission decision in the log cannot be parsed: ", error.what()));
    }
}

absl::StatusOr<bool> replayAdmission(std::string_view text)
{
    const auto input = parseAdmission(text);
    if (!input.ok()) {
        return input.status();
    }
    if (!*input) {
        return false;
    }
    const auto line = json::parse(text);
    const auto result = decideAdmission(**input);
    const auto replayed
        = json({{"verdict", static_cast<int>(result.verdict)}, {"wait_ms", result.waitMs}, {"retry_ms", result.retryAfterMs}, {"reason", result.reason}});
    for (const auto &[name, value] : replayed.items()) {
        if (const auto logged = line.find(name); logged == line.end() || *logged != value) {
            return absl::FailedPreconditionError(
                absl::StrCat("request ", (*input)->requestId, ": replay gives another ", name, ": replayed ", value.dump(), " in ", std::string(text)));
        }
    }
    return true;
}

}
