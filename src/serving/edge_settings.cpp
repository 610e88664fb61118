#include "serving/edge_settings.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <set>
#include <variant>

namespace lacewinglock
{

namespace
{

using nlohmann::json;

constexpr duration minQuotaWindow = std::chrono::seconds(8); // Of the rule for quotas.
constexpr duration maxQuotaWindow = std::chrono::minutes(1); // The bins of the memory get longer with it; those of more than 2 s would be too coarse.

template <typename T>
using member = T &(*)(edge_settings &);

struct text_field
{
    member<std::string> target;
};

/// Time in milliseconds.
struct time_field
{
    member<duration> target;
};

struct number_field
{
    member<double> target;
    double min = 0;
    double max = 0;
};

struct count_field
{
    member<std::size_t> target;
};

struct flag_field
{
    member<bool> target;
};

struct field
{
    std::string_view name;
    bool required = false;
    std::variant<text_field, time_field, number_field, count_field, flag_field> kind;
};

template <auto Member>
constexpr auto setting = [](edge_settings &settings) -> auto &
{
    return settings.*Member;
};

template <auto Member>
constexpr auto retrySetting = [](edge_settings &settings) -> auto &
{
    return settings.retries.*Member;
};

template <auto Member>
constexpr auto engineSetting = [](edge_settings &settings) -> auto &
{
    return settings.engines.*Member;
};

using settings = edge_settings;

constexpr std::array fields = {
    field{"id", true, text_field{setting<&settings::id>}},
    field{"failure_domain", true, text_field{setting<&settings::failureDomain>}},
    field{"caller_address", true, text_field{setting<&settings::callerAddress>}},
    field{"ready_address", false, text_field{setting<&settings::readyAddress>}},
    field{"addresses_address", false, text_field{setting<&settings::addressesAddress>}},
    field{"peer_address", true, text_field{setting<&settings::peerAddress>}},
    field{"metrics_address", false, text_field{setting<&settings::metricsAddress>}},
    field{"store_address", true, text_field{setting<&settings::storeAddress>}},
    field{"orders_address", true, text_field{setting<&settings::ordersAddress>}},
    field{"revoke_bound_ms", false, time_field{setting<&settings::revokeBound>}},
    field{"configuration_bound_ms", false, time_field{setting<&settings::configurationBound>}},
    field{"operator_rewrite_ms", false, time_field{setting<&settings::operatorRewriteTime>}},
    field{"drain_bound_ms", false, time_field{setting<&settings::drainBound>}},
    field{"shutdown_grace_ms", false, time_field{setting<&settings::shutdownGrace>}},
    field{"usage_window_ms", false, time_field{setting<&settings::usageWindow>}},
    field{"usage_due_ms", false, time_field{setting<&settings::usageDue>}},
    field{"address_life_ms", false, time_field{setting<&settings::addressLifetime>}},
    field{"retry_window_ms", false, time_field{retrySetting<&retry_limits::window>}},
    field{"retry_ratio", false, number_field{retrySetting<&retry_limits::ratio>, 0, 10}},
    field{"retry_slack", false, number_field{retrySetting<&retry_limits::slack>, 0, 1e6}},
    field{"capacity", false, number_field{setting<&settings::capacity>, 0.001, 1e6}},
    field{"max_connections", false, count_field{setting<&settings::maxConnections>}},
    field{"memory_mb", false, number_field{setting<&settings::memoryMb>, 32, 1e6}},
    field{"reports_usage", false, flag_field{setting<&settings::reportsUsage>}},
    field{"orders_endpoints", false, flag_field{setting<&settings::ordersEndpoints>}},
    field{"engine_prompt_tokens_per_ms", false, number_field{engineSetting<&engine_model::prefillTokensPerMs>, 0.01, 1e6}},
    field{"engine_step_ms", false, number_field{engineSetting<&engine_model::stepMs>, 0, 1e4}},
    field{"engine_step_ms_per_request", false, number_field{engineSetting<&engine_model::stepMsPerRequest>, 0, 1e3}},
    field{"engine_chunk_tokens", false, number_field{engineSetting<&engine_model::chunkTokens>, 1, 1e6}},
    field{"engine_first_token_ms", false, number_field{engineSetting<&engine_model::firstTokenOverheadMs>, 0, 1e5}},
    field{"hedge_ratio", false, number_field{setting<&settings::hedgeRatio>, 0, 1}},
    field{"hedge_even_services", false, flag_field{setting<&settings::hedgeEvenServices>}},
    field{"eject_endpoints", false, flag_field{setting<&settings::ejectsEndpoints>}},
    field{"quota_window_ms", false, time_field{setting<&settings::quotaWindow>}},
    field{"fair_admission", false, flag_field{setting<&settings::fairAdmission>}},
};

absl::Status fieldError(std::string_view name, std::string_view expected)
{
    return absl::InvalidArgumentError(absl::StrCat("settings field \"", std::string(name), "\" must be ", std::string(expected)));
}

struct field_reader
{
    const json &value;
    std::string_view name;
    edge_settings &out;

    absl::Status operator()(const text_field &kind) const
    {
        if (!value.is_string()) {
            return fieldError(name, "a string");
        }
        kind.target(out) = value.get<std::string>();
        return absl::OkStatus();
    }

    absl::Status operator()(const time_field &kind) const
    {
        if (!value.is_number() || value.get<double>() < 0) {
            return fieldError(name, "a non-negative number of milliseconds");
        }
        kind.target(out) = fromMs(value.get<double>());
        return absl::OkStatus();
    }

    absl::Status operator()(const number_field &kind) const
    {
        if (!value.is_number() || value.get<double>() < kind.min || value.get<double>() > kind.max) {
            return fieldError(name, absl::StrCat("a number from ", kind.min, " to ", kind.max));
        }
        kind.target(out) = value.get<double>();
        return absl::OkStatus();
    }

    absl::Status operator()(const count_field &kind) const
    {
        if (!value.is_number_unsigned() || value.get<std::size_t>() == 0) {
            return fieldError(name, "a whole number above 0");
        }
        kind.target(out) = value.get<std::size_t>();
        return absl::OkStatus();
    }

    absl::Status operator()(const flag_field &kind) const
    {
        if (!value.is_boolean()) {
            return fieldError(name, "true or false");
        }
        kind.target(out) = value.get<bool>();
        return absl::OkStatus();
    }
};

}

absl::StatusOr<edge_settings> parseEdgeSettings(std::string_view text)
{
    const auto document = json::parse(text, nullptr, false);
    if (!document.is_object()) {
        return absl::InvalidArgumentError("settings are not a valid JSON object");
    }
    edge_settings out;
    for (const auto &field : fields) {
        const auto found = document.find(field.name);
        if (found == document.end()) {
            if (field.required) {
                return absl::InvalidArgumentError(absl::StrCat("settings field \"", std::string(field.name), "\" is missing"));
            }
            continue;
        }
        if (const auto status = std::visit(field_reader{*found, field.name, out}, field.kind); !status.ok()) {
            return status;
        }
    }
    if (out.quotaWindow < minQuotaWindow || out.quotaWindow > maxQuotaWindow) {
        return fieldError("quota_window_ms", absl::StrCat("a number from ", toMs(minQuotaWindow), " to ", toMs(maxQuotaWindow)));
    }
    for (const auto &[name, value] : document.items()) {
        if (std::ranges::find(fields, name, &field::name) == fields.end()) {
            return absl::InvalidArgumentError(absl::StrCat("settings field \"", name, "\" is unknown"));
        }
    }
    return out;
}

}
