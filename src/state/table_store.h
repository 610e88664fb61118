#pragma once

#include "protocol/store_messages.h"
#include "state/metrics.h"

#include <absl/status/statusor.h>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lacewinglock
{

/// In-memory implementation of the table service. The stand-in serves it over HTTP; scenarios and tests use it directly. Thread-safe.
class memory_table
{
public:
    /// The row with the key; std::nullopt when there is none.
    absl::StatusOr<std::optional<row>> read(std::string_view key) const;
    /// At most `limit` rows whose keys start with `prefix` and sort after `after`, in key order.
    absl::StatusOr<std::vector<row>> scan(std::string_view prefix, std::size_t limit, std::string_view after) const;
    /// Applies all writes, or returns Conflict when a row does not have the version that a condition names. A missing row has version 0.
    commit_outcome commit(const transaction &change);

private:
    mutable std::mutex m_mutex;
    std::map<std::string, row, std::less<>> m_rows;
    std::map<std::string, std::uint64_t, std::less<>> m_lastVersions; // Kept after deletion, so that a recreated row continues the numbering.
};

/// Client of the table service over HTTP (docs/design.md, section 15).
class http_table
{
public:
    /// Counts calls and body bytes in `counters` unless it is null; `counters` must outlive this object.
    http_table(std::string host, int port, metrics *counters = nullptr);
    ~http_table();
    http_table(http_table &&) noexcept;
    http_table &operator=(http_table &&) noexcept;

    /// The functions below return Unavailable errors that name the step and the address of the table service.
    absl::StatusOr<std::optional<row>> read(std::string_view key) const;
    absl::StatusOr<std::vector<row>> scan(std::string_view prefix, std::size_t limit, std::string_view after) const;
    commit_outcome commit(const transaction &change);

private:
    struct connection_pool;
    std::unique_ptr<connection_pool> m_pool;
};

/// Access to the table service, in memory or over HTTP. All calls block and are thread-safe.
class table_store
{
public:
    using backend = std::variant<std::shared_ptr<memory_table>, std::shared_ptr<http_table>>;

    explicit table_store(backend target);

    absl::StatusOr<std::optional<row>> read(std::string_view key) const;
    absl::StatusOr<std::vector<row>> scan(std::string_view prefix, std::size_t limit = 1000, std::string_view after = {}) const;
    commit_outcome commit(const transaction &change) const;

private:
    backend m_target;
};

}
