#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace lacewinglock
{

/// Caches, per organisation, the daemon addresses that any daemon returns for GET /v1/addresses. An answer states its own lifetime. Thread-safe.
class address_cache
{
public:
    /// `servers` are IP:port addresses of the daemons to query.
    explicit address_cache(std::vector<std::string> servers);

    /// Addresses to try for an organisation, in order of preference. Queries the daemons with the API key `key` when no valid list is cached, and
    /// returns the configured servers when none of them answers.
    std::vector<std::string> addressesFor(const std::string &organisation, const std::string &key);
    /// Moves an address, to which a connection failed, to the end of the cached list.
    void noteFailure(const std::string &organisation, const std::string &address);

private:
    struct entry
    {
        std::vector<std::string> addresses;
        std::chrono::steady_clock::time_point expiresAt;
    };

    entry fetch(const std::string &key) const;

    std::vector<std::string> m_servers;
    std::mutex m_mutex;
    std::map<std::string, entry> m_entries; // By organisation.
};

/// Splits IP:port into host and port; the port is 0 when the text has none.
std::pair<std::string, int> splitAddress(const std::string &address);

}
