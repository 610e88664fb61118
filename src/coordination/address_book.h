#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace lacewinglock
{

/// Addresses as a caller knows them: asked of any daemon with GET /v1/addresses, kept for their lifetime. Thread-safe.
class address_book
{
public:
    explicit address_book(std::vector<std::string> servers);

    /// Addresses to try for an organisation, best first.
    std::vector<std::string> addressesFor(const std::string &organisation, const std::string &key);
    /// A connection to the address failed: it is tried last until the answer's lifetime ends.
    void noteFailure(const std::string &organisation, const std::string &address);

private:
    struct entry
    {
        std::vector<std::string> addresses;
        std::chrono::steady_clock::time_point until;
    };

    entry ask(const std::string &key) const;

    std::vector<std::string> m_servers;
    std::mutex m_mutex;
    std::map<std::string, entry> m_entries; // By organisation.
};

/// Splits IP:port; the port is 0 when there is none.
std::pair<std::string, int> splitAddress(const std::string &address);

}
