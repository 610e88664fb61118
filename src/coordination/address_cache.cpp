#include "coordination/address_cache.h"

#include "protocol/tunables.h"
#include "transport/core_time.h"

#include <algorithm>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

namespace
{

constexpr auto queryTimeout = std::chrono::milliseconds(1000);
constexpr auto fallbackLifetime = std::chrono::milliseconds(500); // Lifetime of the configured list after no daemon answered.

// Accepts a list of strings or of objects with the field `address`; empty addresses are dropped.
std::vector<std::string> parseAddresses(const nlohmann::json &list)
{
    std::vector<std::string> addresses;
    for (const auto &item : list) {
        addresses.push_back(item.is_string() ? item.get<std::string>() : item.value("address", ""));
    }
    std::erase(addresses, "");
    return addresses;
}

}

std::pair<std::string, int> splitAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return {address, 0};
    }
    return {address.substr(0, colon), std::atoi(address.c_str() + colon + 1)};
}

address_cache::address_cache(std::vector<std::string> servers)
    : m_servers(std::move(servers))
{
}

std::vector<std::string> address_cache::addressesFor(const std::string &organisation, const std::string &key)
{
    {
        const std::lock_guard lock(m_mutex);
        if (const auto found = m_entries.find(organisation); found != m_entries.end() && std::chrono::steady_clock::now() < found->second.expiresAt) {
            return found->second.addresses;
        }
    }
    auto fresh = fetch(key);
    const std::lock_guard lock(m_mutex);
    return (m_entries[organisation] = std::move(fresh)).addresses;
}

address_cache::entry address_cache::fetch(const std::string &key) const
{
    const auto now = std::chrono::steady_clock::now();
    for (const auto &server : m_servers) {
        const auto [host, port] = splitAddress(server);
        httplib::Client client(host, port);
        client.set_connection_timeout(queryTimeout);
        client.set_read_timeout(queryTimeout);
        const auto answer = client.Get("/v1/addresses", httplib::Headers{{"Authorization", "Bearer " + key}});
        const auto body = answer && answer->status == 200 ? nlohmann::json::parse(answer->body, nullptr, false) : nlohmann::json();
        if (body.is_object() && body.contains("addresses")) {
            if (auto addresses = parseAddresses(body.at("addresses")); !addresses.empty()) {
                return {.addresses = std::move(addresses),
                        .expiresAt = now + std::chrono::milliseconds(static_cast<std::int64_t>(body.value("lifetime_ms", toMs(tunables::addressLifetime))))};
            }
        }
    }
    return {.addresses = m_servers, .expiresAt = now + fallbackLifetime};
}

void address_cache::noteFailure(const std::string &organisation, const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    auto &addresses = m_entries[organisation].addresses;
    if (const auto found = std::ranges::find(addresses, address); found != addresses.end()) {
        std::rotate(found, found + 1, addresses.end());
    }
}

}
