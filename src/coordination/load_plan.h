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

/// Settings of the load generator.
struct load_settings
{
    std::vector<std::string> servers; ///< IP:port of the daemons that are queried for addresses.
    std::map<std::string, std::string> keys; ///< API key of each organisation.
    std::vector<std::string> executionServers; ///< IP:port of the plain services that report their execution records.
    std::vector<std::string> models;
    std::uint64_t seed = 1;
    double rate = 20; ///< Requests per second.
    double seconds = 10;
    double longPromptFraction = 0.5; ///< Mean fraction of long prompts.
    double swing = 0.4; ///< Amplitude of the change of the fraction of long prompts.
    double swingSeconds = 20; ///< Period of the change of the fraction of long prompts.
    int sharedPrompts = 4; ///< Number of different long prompts.
    int longPromptBytes = 8192;
    int shortPromptBytes = 200;
    int minOutputTokens = 10;
    int maxOutputTokens = 60;
    double bookingFraction = 0.1; ///< Fraction of the requests that are bookings.
    double idempotencyKeyFraction = 0.8; ///< Fraction of the bookings that carry an idempotency key.
    std::string bookingPath = "/bookings";
    int deadlineMs = 20000;
    int workers = 256; ///< Threads that send requests.
};

/// Parses load settings. Returns InvalidArgument for a field of the wrong type, a missing server, key or model, and a rate that is not positive.
absl::StatusOr<load_settings> parseLoadSettings(const nlohmann::json &document);

/// One request of the plan.
struct planned_call
{
    std::chrono::microseconds at{0}; ///< Planned send time, counted from the start of the load.
    std::string organisation;
    bool booking = false;
    bool hasIdempotencyKey = false; ///< The booking carries an idempotency key.
    std::string bookingId;
    std::string model;
    bool chat = false;
    bool stream = true;
    int sharedPrompt = -1; ///< Index of the long prompt; negative for a short prompt.
    std::uint64_t questionSeed = 0;
    int outputTokens = 0;
};

/// Creates the plan, which depends only on the settings. Arrivals are a Poisson process, independent of the responses.
std::vector<planned_call> makeLoadPlan(const load_settings &settings);

/// Returns the HTTP path of a call.
std::string callPath(const load_settings &settings, const planned_call &call);
/// Returns the JSON body of a call.
nlohmann::json callBody(const load_settings &settings, const planned_call &call);

}
