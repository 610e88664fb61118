#pragma once

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace lacewinglock
{

/// What the load generator sends, and to whom.
struct load_settings
{
    std::vector<std::string> servers; ///< IP:port of daemons to ask for addresses.
    std::map<std::string, std::string> keys; ///< Key by organisation.
    std::vector<std::string> executionServers; ///< IP:port of the plain services, for their execution records.
    std::vector<std::string> models;
    std::uint64_t seed = 1;
    double rate = 20; ///< Requests a second.
    double seconds = 10;
    double longShare = 0.5; ///< Mean share of long prompts.
    double swing = 0.4; ///< By how much the share moves up and down.
    double swingSeconds = 20;
    int sharedPrompts = 4; ///< Number of different long prompts.
    int longPromptBytes = 8192;
    int shortPromptBytes = 200;
    int minOutputTokens = 10;
    int maxOutputTokens = 60;
    double bookingShare = 0.1;
    double idempotencyShare = 0.8; ///< Of the bookings.
    std::string bookingPath = "/bookings";
    int deadlineMs = 20000;
    int workers = 256;
};

absl::StatusOr<load_settings> parseLoadSettings(const nlohmann::json &document);

/// One request of the plan.
struct planned_call
{
    std::chrono::microseconds at{0}; ///< After the start.
    std::string organisation;
    bool booking = false;
    bool withKey = false; ///< A booking with an idempotency key.
    std::string bookingId;
    std::string model;
    bool chat = false;
    bool stream = true;
    int sharedPrompt = -1; ///< Negative for a short prompt.
    std::uint64_t question = 0;
    int outputTokens = 0;
};

/// The same settings always give the same plan. Arrivals are a Poisson process, so that they don't depend on the answers.
std::vector<planned_call> makeLoadPlan(const load_settings &settings);

/// Path and JSON body of a call, and the prompt that the engine will see.
std::string callPath(const load_settings &settings, const planned_call &call);
nlohmann::json callBody(const load_settings &settings, const planned_call &call);

}
