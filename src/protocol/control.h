#pragma once

#include "protocol/configuration.h"
#include "protocol/endpoint_report.h"
#include "protocol/store_messages.h"
#include "protocol/usage_record.h"
#include "transport/core_time.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Effects and events of the control state machines. A machine asks for an effect with an operation id of its own and gets
/// exactly one event with the same id back, unless the process dies. Operation ids are unique within one machine.
namespace lacewinglock
{

using op_id = std::uint64_t;

struct read_row_effect
{
    op_id op = 0;
    std::string key;
};

struct scan_rows_effect
{
    op_id op = 0;
    std::string prefix;
};

struct commit_effect
{
    op_id op = 0;
    transaction change;
};

enum class order_kind {
    SetRole,
    LoadModel
};

/// An order to an engine. The same revision always carries the same content.
struct endpoint_order
{
    std::string endpoint;
    std::uint64_t revision = 0;
    std::uint64_t epoch = 0; ///< Fencing token.
    order_kind kind = order_kind::SetRole;
    endpoint_role role = endpoint_role::Mixed;
    std::string model;

    bool operator==(const endpoint_order &) const = default;
};

/// The performer checks `now < validUntil` right before the write, on a fresh connection, and answers NotSent otherwise.
struct send_order_effect
{
    op_id op = 0;
    endpoint_order order;
    instant validUntil;
};

/// An order for more or fewer endpoints of the platform.
struct provision_order
{
    std::string token; ///< Idempotency token.
    std::uint64_t epoch = 0;
    std::string group;
    std::string failureDomain;
    bool reclaimable = false;
    int count = 0; ///< Negative releases endpoints.
    std::vector<std::string> release; ///< Endpoints to give back.

    bool operator==(const provision_order &) const = default;
};

struct send_provision_effect
{
    op_id op = 0;
    provision_order order;
    instant validUntil;
};

struct usage_report
{
    std::string cell;
    std::uint64_t window = 0;
    std::uint64_t epoch = 0;
    usage_by_organisation figures;
};

struct send_usage_effect
{
    op_id op = 0;
    usage_report report;
    instant validUntil;
};

struct list_instances_effect
{
    op_id op = 0;
};

using control_effect
    = std::variant<read_row_effect, scan_rows_effect, commit_effect, send_order_effect, send_provision_effect, send_usage_effect, list_instances_effect>;

struct tick_event
{
};

struct row_read_event
{
    op_id op = 0;
    absl::StatusOr<std::optional<row>> result;
};

struct rows_scanned_event
{
    op_id op = 0;
    absl::StatusOr<std::vector<row>> result;
};

struct commit_event
{
    op_id op = 0;
    commit_outcome outcome = commit_outcome::Unknown;
};

enum class delivery {
    Accepted,
    Fenced, ///< Refused because of an old fencing token or revision.
    Refused, ///< Refused for another reason, with no effect.
    NotSent, ///< Certainly had no effect.
    Unknown, ///< May have taken effect.
};

/// Answers send_order_effect, send_provision_effect and send_usage_effect.
struct delivery_event
{
    op_id op = 0;
    delivery outcome = delivery::Unknown;
    std::vector<std::string> endpoints; ///< Provision orders: identifiers of the endpoints granted.
};

struct instance_info
{
    std::string id;
    std::string address; ///< IP:port of the peer interface.
    std::string callerAddress; ///< IP:port for callers.
    std::string failureDomain;
    bool leaving = false;
    double load = 0; ///< As the daemon reports in its heartbeats; 0 idle to 1 full.
};

struct instances_event
{
    op_id op = 0;
    absl::StatusOr<std::vector<instance_info>> result;
};

using control_event = std::variant<tick_event, row_read_event, rows_scanned_event, commit_event, delivery_event, instances_event>;

/// A lease as its holder sees it: orders may be sent while now < validUntil.
struct lease_grant
{
    std::uint64_t epoch = 0;
    instant validUntil;
    instant acquiredAt; ///< When this holder won the lease; a successor waits term plus send deadline after it before sending different orders.
};

}
