#pragma once

#include "protocol/control.h"
#include "protocol/relayed_feed.h"
#include "serving/endpoint_registry.h"
#include "serving/part_index.h"
#include "serving/serving_config.h"
#include "serving/usage_windows.h"
#include "transport/asio.h"

#include <absl/status/statusor.h>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// What the data path needs of the platform that it runs on. The adapter fills these in; nothing here names a platform's field or path.
namespace lacewinglock
{

/// Names of the header fields by which callers, daemons and endpoints speak.
struct field_names
{
    std::string requestId;
    std::string deadlineMs; ///< How long the sender will wait.
    std::string apiKey;
    std::string organisation; ///< Tells an endpoint whose request it is.
    std::string expectedEndpoint; ///< An endpoint with another id does not run the request.
    std::string answerSeal; ///< The endpoint's signature of its answer.
    std::string notExecuted; ///< Present when the endpoint did not run the request.
    std::string urgency; ///< 0 is first.
    std::string lastEventId;
    std::vector<std::string> setBySystem; ///< Fields that callers must not pass to endpoints.
};

/// What a generation request says of its prompt.
struct prompt_facts
{
    std::vector<prompt_part> parts;
    double promptTokens = 0;
    double maxOutputTokens = 0;
};

/// Header fields for the two steps of a generation on two engines.
struct engine_protocol
{
    /// Marks a request whose prompt only is to be read.
    std::function<void(http_request &)> askReading;
    /// The reading engine's memory of the prompt, out of its answer.
    std::function<std::optional<std::string>(std::string_view body)> parseHandle;
    /// Lets the request go on from that memory.
    std::function<void(http_request &, const endpoint_entry &holder, std::string_view handle)> useHandle;
    /// Lets the engine fetch kept parts of the prompt from another one.
    std::function<void(http_request &, const endpoint_entry &holder)> fetchParts;
    /// Frees a handle that nobody takes.
    std::function<http_request(std::string_view handle)> freeHandle;
};

struct wire_protocol
{
    field_names fields;
    std::function<std::optional<prompt_facts>(const http::request_header<> &)> parsePrompt;
    std::function<std::string(std::string_view code, std::string_view message)> errorBody;
    engine_protocol engine;
    std::string readyPath;
    std::string addressesPath;
    std::function<std::string(std::span<const std::string> addresses, duration life)> addressAnswer;
    std::string callerDomainParameter; ///< Query parameter of the address call.
};

/// The tables that the system reads but does not own.
enum class platform_table {
    Configuration,
    Endpoints
};

/// Rows as of one version, or the changes that led to it.
struct table_changes
{
    std::vector<changed_row> rows;
    std::uint64_t version = 0; ///< Go on from here.
    instant askedAt; ///< Nothing that was acknowledged before is missing.
};

struct platform_store
{
    std::function<task<absl::StatusOr<table_changes>>(platform_table)> readAll;
    /// Waits up to `wait` for a change after `version`. absl::StatusCode::kOutOfRange: that history is no longer kept.
    std::function<task<absl::StatusOr<table_changes>>(platform_table, std::uint64_t version, duration wait)> changes;

    // The system's own rows.
    std::function<task<absl::StatusOr<std::optional<row>>>(std::string key)> read;
    std::function<task<absl::StatusOr<std::vector<row>>>(std::string prefix)> scan;
    std::function<task<commit_outcome>(transaction)> commit;
};

/// An order for a number of endpoints of a service in a failure domain.
struct endpoint_count_order
{
    std::string service;
    std::string failureDomain;
    int count = 0;
    bool reclaimable = false;

    auto operator<=>(const endpoint_count_order &) const = default;
};

/// Who gives an order: the holder of a lease and its fencing token.
struct order_authority
{
    std::string holder;
    std::uint64_t epoch = 0;
};

/// What an engine says of itself when it is asked.
struct engine_report
{
    endpoint_role role = endpoint_role::Mixed;
    bool busy = false; ///< It carries out an order.
    std::uint64_t ordersTaken = 0;
};

struct platform_orders
{
    std::function<task<delivery>(order_authority, endpoint_count_order)> orderEndpoints;
    std::function<task<delivery>(order_authority, std::int64_t window, usage_counts)> reportUsage;
    std::function<task<absl::StatusOr<engine_report>>(endpoint_entry engine)> inspectEngine;
    /// The engine refuses when it has taken another number of orders meanwhile.
    std::function<task<delivery>(order_authority, endpoint_entry engine, std::uint64_t ordersTaken, endpoint_role role)> orderRole;
};

/// Turns the rows of the platform's tables into the system's own types. Errors name the field.
struct row_parsers
{
    std::function<absl::StatusOr<serving_configuration>(std::string_view value)> configuration;
    std::function<absl::StatusOr<endpoint_entry>(std::string_view key, std::string_view value)> endpoint;
};

struct platform_port
{
    wire_protocol wire;
    platform_store store;
    platform_orders orders;
    row_parsers parsers;
};

}
