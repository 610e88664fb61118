#pragma once

#include "protocol/control.h"
#include "protocol/relayed_feed.h"
#include "serving/endpoint_notice.h"
#include "serving/endpoint_registry.h"
#include "serving/prefix_index.h"
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

/// Interface between the data path and the platform it runs on. A platform adapter fills in these structures; the data path itself contains no
/// header name, path or table layout of any platform.
namespace lacewinglock
{

/// Names of the HTTP headers used between callers, daemons and endpoints.
struct header_names
{
    std::string requestId;
    std::string deadlineMs; ///< Time in milliseconds that the sender waits for the answer.
    std::string apiKey;
    std::string organisation; ///< Name of the organisation that the request belongs to, for the endpoint.
    std::string expectedEndpoint; ///< Id of the intended endpoint. An endpoint with a different id does not run the request.
    std::string answerSeal; ///< The endpoint's signature on its response.
    std::string notExecuted; ///< Present in a response when the endpoint did not run the request.
    std::string requestPriority; ///< Priority for the engine's queue; 0 is the most urgent.
    std::string lastEventId; ///< Id of the last event that the caller received; the stream resumes after it.
    std::vector<std::string> reservedFields; ///< Headers that only the system sets; removed from callers' requests.
};

/// Description of the prompt, from the headers of a generation request.
struct prompt_info
{
    std::vector<prefix_block> prefixBlocks; ///< In prompt order.
    double promptTokens = 0;
    double maxOutputTokens = 0;
};

/// Engine calls for disaggregated generation: prefill on one engine, decode on another.
struct engine_protocol
{
    /// Marks a request as prefill only.
    std::function<void(http_request &)> markPrefill;
    /// Extracts the KV handle from the response body of the prefill engine. Returns nullopt when there is none.
    std::function<std::optional<std::string>(std::string_view body)> parseKvHandle;
    /// Makes the decode engine load the prompt's KV cache, identified by `handle`, from the prefill engine `source`.
    std::function<void(http_request &, const endpoint_entry &source, std::string_view handle)> setKvSource;
    /// Makes the engine fetch the cached prefix of the prompt from the engine `source`.
    std::function<void(http_request &, const endpoint_entry &source)> fetchCachedPrefix;
    /// Builds the call that frees an unused KV handle at its prefill engine.
    std::function<http_request(std::string_view handle)> freeKvHandle;
};

/// HTTP protocol between callers, daemons and endpoints.
struct wire_protocol
{
    header_names fields;
    /// Returns nullopt when the request is not a generation request.
    std::function<std::optional<prompt_info>(const http::request_header<> &)> parsePrompt;
    /// Tokens of prompt and output together, as the caller tells them. Returns nullopt when they are missing or malformed.
    std::function<std::optional<double>(const http::request_header<> &)> parseTokenCount;
    /// Reads what an endpoint says of itself. A malformed value counts as not said.
    std::function<endpoint_notice(const http::response_header<> &)> parseNotice;
    /// Builds the body of an error response.
    std::function<std::string(std::string_view code, std::string_view message)> errorBody;
    engine_protocol engine;
    std::string readyPath; ///< Path of the readiness check.
    std::string addressesPath; ///< Path of the call that returns addresses of daemons.
    /// Builds the body of the answer with addresses of daemons; callers may use them for `lifetime`.
    std::function<std::string(std::span<const std::string> addresses, duration lifetime)> addressAnswer;
    std::string callerDomainParameter; ///< Query parameter of the address call with the caller's failure domain.
};

/// Tables that others write and the system only reads.
enum class platform_table {
    Configuration,
    Endpoints
};

/// All rows of a table at a version, or the changes up to that version.
struct table_changes
{
    std::vector<changed_row> rows;
    std::uint64_t version = 0; ///< Pass this to platform_store::changes to get the next changes.
    instant requestedAt; ///< Boot clock. Every write that was acknowledged before this time is included.
};

/// Access to the platform's table store.
///
/// The store may come back from an older copy of itself: what was written since is gone, and another history begins. Versions rise across histories
/// all the same.
struct platform_store
{
    /// Number of the newest history that an answer belonged to; it rises with each one, and is 0 before the first answer.
    std::function<std::uint64_t()> history;
    /// The store's own steady clock at its last answer, in milliseconds; nullopt if the store has not told it.
    std::function<std::optional<std::int64_t>()> clockMs;

    /// Reads all rows of a table.
    std::function<task<absl::StatusOr<table_changes>>(platform_table)> readAll;
    /// Waits up to `wait` for changes after `version`. Fails with absl::StatusCode::kOutOfRange when the store no longer has the changes since
    /// `version`, or another history has begun; then call readAll.
    std::function<task<absl::StatusOr<table_changes>>(platform_table, std::uint64_t version, duration wait)> changes;

    // The following functions access the system's own table.
    /// Returns nullopt when there is no row with this key.
    std::function<task<absl::StatusOr<std::optional<row>>>(std::string key)> read;
    /// Returns all rows whose key begins with `prefix`.
    std::function<task<absl::StatusOr<std::vector<row>>>(std::string prefix)> scan;
    /// Writes all rows of the transaction atomically if its conditions hold.
    std::function<task<commit_outcome>(transaction)> commit;
};

/// Desired number of endpoints of a service in a failure domain.
struct endpoint_count_order
{
    std::string service;
    std::string failureDomain;
    int count = 0;
    bool reclaimable = false;

    auto operator<=>(const endpoint_count_order &) const = default;
};

/// Lease holder and fencing token (`epoch`) that accompany an order, so that orders of an earlier holder are rejected.
struct order_authority
{
    std::string holder;
    std::uint64_t epoch = 0;
};

/// Report of an engine about itself.
struct engine_report
{
    endpoint_role role = endpoint_role::Mixed;
    bool busy = false; ///< It is executing an order.
    std::uint64_t acceptedOrders = 0; ///< Orders that the engine has accepted so far.
};

/// Calls with an effect on the platform. Each needs the authority of a lease, except the engine report.
struct platform_orders
{
    /// Orders the platform to scale a service.
    std::function<task<delivery_outcome>(order_authority, endpoint_count_order)> orderEndpoints;
    /// Reports the usage counts of a window.
    std::function<task<delivery_outcome>(order_authority, std::int64_t window, usage_counts)> reportUsage;
    std::function<task<absl::StatusOr<engine_report>>(endpoint_entry engine)> fetchEngineReport;
    /// Orders an engine to change its role. `acceptedOrders` is the number from its report; the engine refuses the order when it has accepted
    /// others since then.
    std::function<task<delivery_outcome>(order_authority, endpoint_entry engine, std::uint64_t acceptedOrders, endpoint_role role)> orderRole;
};

/// Parsers from rows of the platform's tables to the system's own types. Errors name the missing or wrong field.
struct row_parsers
{
    std::function<absl::StatusOr<serving_configuration>(std::string_view value)> configuration;
    std::function<absl::StatusOr<endpoint_entry>(std::string_view key, std::string_view value)> endpoint;
};

/// Everything that a platform adapter provides.
struct platform_port
{
    wire_protocol wire;
    platform_store store;
    platform_orders orders;
    row_parsers parsers;
};

}
