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

/// The table service in memory. The stand-in serves it over HTTP; scenarios and tests use it directly.
class memory_table
{
public:
    absl::StatusOr<std::optional<row>> read(std::string_view key) const;
    /// Rows whose key starts with the prefix, in key order, at most `limit`, only keys after `after`.
    absl::StatusOr<std::vector<row>> scan(std::string_view prefix, std::size_t limit, std::string_view after) const;
    commit_outcome commit(const transaction &change);

private:
    mutable std::mutex m_mutex;
    std::map<std::string, row, std::less<>> m_rows;
    std::map<std::string, std::uint64_t, std::less<>> m_lastVersions; // Versions of deleted rows, so that a new row goes on counting.
};

/// The table service over HTTP (docs/design.md, section 15).
class http_table
{
public:
    /// With `counters`, counts calls and body bytes in them; they must outlive the table.
    http_table(std::string host, int port, metrics *counters = nullptr);
    ~http_table();
    http_table(http_table &&) noexcept;
    http_table &operator=(http_table &&) noexcept;

    absl::StatusOr<std::optional<row>> read(std::string_view key) const;
    absl::StatusOr<std::vector<row>> scan(std::string_view prefix, std::size_t limit, std::string_view after) const;
    commit_outcome commit(const transaction &change);

private:
    struct connection_pool;
    std::unique_ptr<connection_pool> m_pool;
};

/// The table service as the system uses it. All calls are blocking and thread-safe.
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
