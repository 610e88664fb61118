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

/// Effects and events of the control state machines. A state machine requests an effect with an operation id and gets exactly one event with
/// the same id back, unless the process ends. Operation ids are unique within one state machine.
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

/// An order to an engine. Orders to one endpoint with the same revision have the same content.
struct endpoint_order
{
    std::string endpoint;
    std::uint64_t revision = 0;
    std::uint64_t epoch = 0; ///< Lease epoch of the sender, used as the fencing token.
    order_kind kind = order_kind::SetRole;
    endpoint_role role = endpoint_role::Mixed;
    std::string model;

    bool operator==(const endpoint_order &) const = default;
};

/// Sends an order on a new connection. The executor checks `now < validUntil` right before the write and returns NotSent when it is too late.
struct send_order_effect
{
    op_id op = 0;
    endpoint_order order;
    instant validUntil;
};

/// An order to the platform to add or release endpoints.
struct provision_order
{
    std::string token; ///< Idempotency token.
    std::uint64_t epoch = 0; ///< Fencing token.
    std::string group;
    std::string failureDomain;
    bool reclaimable = false;
    int count = 0; ///< Endpoints to add; a negative count releases endpoints.
    std::vector<std::string> release; ///< Endpoints to release, by identifier.

    bool operator==(const provision_order &) const = default;
};

struct send_provision_effect
{
    op_id op = 0;
    provision_order order;
    instant validUntil;
};

/// Usage of all organisations of a cell in one usage window.
struct usage_report
{
    std::string cell;
    std::uint64_t window = 0;
    std::uint64_t epoch = 0; ///< Fencing token.
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

/// Sent periodically, so that a state machine can act on time alone.
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

/// Outcome of sending an order or a report.
enum class delivery_outcome {
    Accepted,
    Fenced, ///< Rejected because of an outdated fencing token or revision; had no effect.
    Refused, ///< Rejected for another reason; had no effect.
    NotSent, ///< Certainly had no effect, for example because no connection was made.
    Unknown, ///< May have taken effect.
};

/// Result of send_order_effect, send_provision_effect and send_usage_effect.
struct delivery_event
{
    op_id op = 0;
    delivery_outcome outcome = delivery_outcome::Unknown;
    std::vector<std::string> endpoints; ///< For provision orders: identifiers of the granted endpoints.
};

/// One instance of the daemon.
struct instance_info
{
    std::string id;
    std::string address; ///< IP:port of the peer interface.
    std::string callerAddress; ///< IP:port for callers.
    std::string failureDomain;
    bool leaving = false; ///< The daemon is draining before it shuts down.
    double load = 0; ///< As reported in the daemon's heartbeats, from 0 (idle) to 1 (full).
};

struct instances_event
{
    op_id op = 0;
    absl::StatusOr<std::vector<instance_info>> result;
};

using control_event = std::variant<tick_event, row_read_event, rows_scanned_event, commit_event, delivery_event, instances_event>;

/// A lease from the view of its holder, which may send orders while now < validUntil.
struct lease_grant
{
    std::uint64_t epoch = 0;
    instant validUntil;
    instant acquiredAt; ///< When this holder acquired the lease. It waits for the lease term plus the send deadline after it before it sends
                        ///< orders that differ from its predecessor's.
};

}
