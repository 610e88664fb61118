#include "state/table_store.h"

#include "protocol/errors.h"

#include <algorithm>
#include <chrono>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

constexpr auto connectTimeout = std::chrono::milliseconds(500);
constexpr auto responseTimeout = std::chrono::seconds(2);

row parseRow(const nlohmann::json &value)
{
    return {.key = value.at("key"), .value = value.at("value"), .version = value.at("version")};
}

}

absl::StatusOr<std::optional<row>> memory_table::read(std::string_view key) const
{
    const std::lock_guard lock(m_mutex);
    if (const auto found = m_rows.find(key); found != m_rows.end()) {
        return found->second;
    }
    return std::optional<row>();
}

absl::StatusOr<std::vector<row>> memory_table::scan(std::string_view prefix, std::size_t limit, std::string_view after) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<row> rows;
    auto next = after > prefix ? m_rows.upper_bound(after) : m_rows.lower_bound(prefix);
    for (; next != m_rows.end() && next->first.starts_with(prefix) && rows.size() < limit; ++next) {
        rows.push_back(next->second);
    }
    return rows;
}

commit_outcome memory_table::commit(const transaction &change)
{
    const std::lock_guard lock(m_mutex);
    for (const auto &[key, version] : change.conditions) {
        const auto found = m_rows.find(key);
        if (const std::uint64_t current = found == m_rows.end() ? 0 : found->second.version; current != version) {
            return commit_outcome::Conflict;
        }
    }
    for (const auto &[key, value] : change.writes) {
        if (value) {
            const std::uint64_t version = ++m_lastVersions[key];
            m_rows[key] = {.key = key, .value = *value, .version = version};
        } else {
            m_rows.erase(key);
        }
    }
    return commit_outcome::Committed;
}

/// Idle keep-alive connections to the table service. A connection on which a call failed is not returned to the pool.
struct http_table::connection_pool
{
    std::string host;
    int port = 0;
    metrics *counters = nullptr;
    std::mutex mutex;
    std::vector<std::unique_ptr<httplib::Client>> idle;

    std::unique_ptr<httplib::Client> take()
    {
        const std::lock_guard lock(mutex);
        if (!idle.empty()) {
            auto client = std::move(idle.back());
            idle.pop_back();
            return client;
        }
        auto client = std::make_unique<httplib::Client>(host, port);
        client->set_connection_timeout(connectTimeout);
        client->set_read_timeout(responseTimeout);
        client->set_write_timeout(responseTimeout);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        return client;
    }

    void putBack(std::unique_ptr<httplib::Client> client)
    {
        const std::lock_guard lock(mutex);
        idle.push_back(std::move(client));
    }

    void countCall(metric_counter kind, std::size_t sent, const httplib::Result &response) const
    {
        if (counters != nullptr) {
            counters->count(kind);
            counters->count(metric_counter::ControlBytesSent, sent);
            counters->count(metric_counter::ControlBytesReceived, response ? response->body.size() : 0);
        }
    }

    std::string peer() const
    {
        return "table service " + host + ":" + std::to_string(port);
    }

    absl::StatusOr<nlohmann::json> get(std::string_view step, const std::string &path)
    {
        auto client = take();
        const auto response = client->Get(path);
        countCall(metric_counter::StoreReads, path.size(), response);
        if (!response) {
            return makeError(absl::StatusCode::kUnavailable, step, peer(), httplib::to_string(response.error()));
        }
        putBack(std::move(client));
        if (response->status == 404) {
            return nlohmann::json();
        }
        auto body = nlohmann::json::parse(response->body, nullptr, false);
        if (response->status != 200 || body.is_discarded()) {
            return makeError(absl::StatusCode::kUnavailable, step, peer(), "status " + std::to_string(response->status));
        }
        return body;
    }
};

http_table::http_table(std::string host, int port, metrics *counters)
    : m_pool(std::make_unique<connection_pool>())
{
    m_pool->host = std::move(host);
    m_pool->port = port;
    m_pool->counters = counters;
}

http_table::~http_table() = default;
http_table::http_table(http_table &&) noexcept = default;
http_table &http_table::operator=(http_table &&) noexcept = default;

absl::StatusOr<std::optional<row>> http_table::read(std::string_view key) const
{
    const auto body = m_pool->get("read row", "/tables/row?key=" + httplib::detail::encode_query_param(std::string(key)));
    if (!body.ok()) {
        return body.status();
    }
    if (body->is_null()) {
        return std::optional<row>();
    }
    return parseRow(*body);
}

absl::StatusOr<std::vector<row>> http_table::scan(std::string_view prefix, std::size_t limit, std::string_view after) const
{
    const auto encode = [](std::string_view text) {
        return httplib::detail::encode_query_param(std::string(text));
    };
    const auto body = m_pool->get("scan rows", "/tables/scan?prefix=" + encode(prefix) + "&limit=" + std::to_string(limit) + "&after=" + encode(after));
    if (!body.ok()) {
        return body.status();
    }
    std::vector<row> rows;
    std::ranges::transform(body->at("rows"), std::back_inserter(rows), parseRow);
    return rows;
}

commit_outcome http_table::commit(const transaction &change)
{
    nlohmann::json body = {{"conditions", nlohmann::json::array()}, {"writes", nlohmann::json::array()}};
    for (const auto &[key, version] : change.conditions) {
        body["conditions"].push_back({{"key", key}, {"version", version}});
    }
    for (const auto &[key, value] : change.writes) {
        body["writes"].push_back({{"key", key}, {"value", value ? nlohmann::json(*value) : nlohmann::json()}});
    }
    auto client = m_pool->take();
    const std::string text = body.dump();
    const auto response = client->Post("/tables/commit", text, "application/json");
    m_pool->countCall(metric_counter::StoreWrites, text.size(), response);
    if (!response) {
        return response.error() == httplib::Error::Connection ? commit_outcome::Unavailable : commit_outcome::Unknown;
    }
    m_pool->putBack(std::move(client));
    switch (response->status) {
    case 200:
        return commit_outcome::Committed;
    case 409:
        return commit_outcome::Conflict;
    case 503:
        return commit_outcome::Unavailable;
    default:
        return commit_outcome::Unknown;
    }
}

table_store::table_store(backend target)
    : m_target(std::move(target))
{
}

absl::StatusOr<std::optional<row>> table_store::read(std::string_view key) const
{
    return std::visit(
        [&](const auto &table) {
            return table->read(key);
        },
        m_target);
}

absl::StatusOr<std::vector<row>> table_store::scan(std::string_view prefix, std::size_t limit, std::string_view after) const
{
    return std::visit(
        [&](const auto &table) {
            return table->scan(prefix, limit, after);
        },
        m_target);
}

commit_outcome table_store::commit(const transaction &change) const
{
    return std::visit(
        [&](const auto &table) {
            return table->commit(change);
        },
        m_target);
}

}
