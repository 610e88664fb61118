#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace lacewinglock
{

using fake_clock = std::chrono::steady_clock;

/// Injected faults of one fake, by name. A fault ends after its duration, after its number of uses, or when it is set to null or false.
/// Thread-safe.
class fault_registry
{
public:
    /// Handles the body of POST /faults: {name, value, duration_ms, count}. Without duration and count the fault stays until it is cleared.
    /// Throws a nlohmann::json::exception when the body is invalid.
    void set(const nlohmann::json &body);
    void clear(const std::string &name);

    /// Returns the value of an active fault and counts one use of it.
    std::optional<nlohmann::json> consume(const std::string &name);
    /// Returns the value of an active fault without counting a use.
    std::optional<nlohmann::json> peek(const std::string &name) const;

private:
    struct fault
    {
        nlohmann::json value;
        fake_clock::time_point activeUntil;
        int remainingUses = 0; ///< A negative value means unlimited.
    };

    const fault *find(const std::string &name) const;

    mutable std::mutex m_mutex;
    std::map<std::string, fault> m_faults;
};

}
