#include "coordination/load_plan.h"

#include "protocol/errors.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <numbers>
#include <random>

namespace lacewinglock
{

namespace
{

constexpr double chatFraction = 0.5;
constexpr double nonStreamingFraction = 0.1;

void readFields(const nlohmann::json &document, load_settings &settings)
{
    const auto read = [&](const char *name, auto &target) {
        if (document.contains(name)) {
            document.at(name).get_to(target);
        }
    };
    read("servers", settings.servers);
    read("keys", settings.keys);
    read("execution_servers", settings.executionServers);
    read("models", settings.models);
    read("seed", settings.seed);
    read("rate", settings.rate);
    read("seconds", settings.seconds);
    read("long_share", settings.longPromptFraction);
    read("swing", settings.swing);
    read("swing_seconds", settings.swingSeconds);
    read("shared_prompts", settings.sharedPrompts);
    read("long_prompt_bytes", settings.longPromptBytes);
    read("short_prompt_bytes", settings.shortPromptBytes);
    read("min_output_tokens", settings.minOutputTokens);
    read("max_output_tokens", settings.maxOutputTokens);
    read("booking_share", settings.bookingFraction);
    read("idempotency_share", settings.idempotencyKeyFraction);
    read("booking_path", settings.bookingPath);
    read("deadline_ms", settings.deadlineMs);
    read("workers", settings.workers);
}

// Generates words that depend only on the seed. Long prompts with the same seed share a prefix.
std::string makeText(std::uint64_t seed, int bytes)
{
    std::mt19937_64 random(seed);
    std::string text;
    while (text.size() < static_cast<std::size_t>(bytes)) {
        text += "w" + std::to_string(random() % 100000) + " ";
    }
    text.resize(bytes);
    return text;
}

std::string sharedText(const load_settings &settings, const planned_call &call)
{
    return call.sharedPrompt < 0 ? "short" : makeText(settings.seed * 1000 + call.sharedPrompt, settings.longPromptBytes);
}

std::string questionText(const load_settings &settings, const planned_call &call)
{
    return makeText(call.questionSeed, settings.shortPromptBytes);
}

double longPromptFractionAt(const load_settings &settings, double second)
{
    return settings.longPromptFraction + settings.swing * std::sin(2 * std::numbers::pi * second / settings.swingSeconds);
}

// The weight falls with the rank, so a few organisations send most of the requests.
std::discrete_distribution<int> organisationDistribution(std::size_t count)
{
    std::vector<double> weights;
    for (std::size_t rank = 0; rank < count; ++rank) {
        weights.push_back(1.0 / static_cast<double>(rank + 1));
    }
    return {weights.begin(), weights.end()};
}

}

absl::StatusOr<load_settings> parseLoadSettings(const nlohmann::json &document)
{
    load_settings settings;
    try {
        readFields(document, settings);
    } catch (const nlohmann::json::exception &failure) {
        return makeError(absl::StatusCode::kInvalidArgument, "parse load settings", "local", failure.what());
    }
    if (settings.servers.empty() || settings.keys.empty() || settings.models.empty() || settings.rate <= 0) {
        return makeError(
            absl::StatusCode::kInvalidArgument, "parse load settings", "local", "servers, keys and models must not be empty, and rate must be positive");
    }
    return settings;
}

std::vector<planned_call> makeLoadPlan(const load_settings &settings)
{
    std::mt19937_64 random(settings.seed);
    std::uniform_real_distribution<double> share(0, 1);
    std::exponential_distribution<double> pause(settings.rate);
    std::uniform_int_distribution<int> outputTokens(settings.minOutputTokens, settings.maxOutputTokens);
    auto drawOrganisation = organisationDistribution(settings.keys.size());
    std::vector<planned_call> plan;
    for (double second = pause(random); second < settings.seconds; second += pause(random)) {
        planned_call call;
        call.at = std::chrono::microseconds(static_cast<std::int64_t>(second * 1e6));
        call.organisation = std::next(settings.keys.begin(), drawOrganisation(random))->first;
        call.booking = share(random) < settings.bookingFraction;
        call.hasIdempotencyKey = share(random) < settings.idempotencyKeyFraction;
        call.bookingId = "booking-" + std::to_string(settings.seed) + "-" + std::to_string(plan.size());
        call.model = settings.models[random() % settings.models.size()];
        call.chat = share(random) < chatFraction;
        call.stream = share(random) >= nonStreamingFraction;
        const bool isLong = share(random) < longPromptFractionAt(settings, second);
        const int shared = static_cast<int>(random() % static_cast<std::uint64_t>(settings.sharedPrompts));
        call.sharedPrompt = isLong ? shared : -1;
        call.questionSeed = random();
        call.outputTokens = outputTokens(random);
        plan.push_back(std::move(call));
    }
    return plan;
}

std::string callPath(const load_settings &settings, const planned_call &call)
{
    if (call.booking) {
        return settings.bookingPath;
    }
    return call.chat ? "/v1/chat/completions" : "/v1/completions";
}

nlohmann::json callBody(const load_settings &settings, const planned_call &call)
{
    if (call.booking) {
        return {{"idempotency_id", call.bookingId}, {"slot", call.questionSeed % 20}};
    }
    nlohmann::json body = {{"model", call.model}, {"max_tokens", call.outputTokens}, {"stream", call.stream}};
    const auto sharedPart = sharedText(settings, call);
    const auto question = questionText(settings, call);
    if (call.chat) {
        body["messages"] = {{{"role", "system"}, {"content", sharedPart}}, {{"role", "user"}, {"content", question}}};
    } else {
        body["prompt"] = sharedPart + "\n" + question;
    }
    return body;
}

}
