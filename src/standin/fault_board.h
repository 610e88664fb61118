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

/// Injected faults of one fake, by name. A fault ends after its duration, after its number of uses, or when it is set to null.
class fault_board
{
public:
    /// Takes the body of POST /faults: {name, value, duration_ms, count}; without duration and count the fault stays.
    void set(const nlohmann::json &body);
    void clear(const std::string &name);

    /// The value of an active fault; every call counts as one use.
    std::optional<nlohmann::json> use(const std::string &name);
    /// The value of an active fault, without using it up.
    std::optional<nlohmann::json> peek(const std::string &name) const;

private:
    struct fault
    {
        nlohmann::json value;
        fake_clock::time_point until;
        int uses = 0; ///< Remaining; negative means unlimited.
    };

    const fault *find(const std::string &name) const;

    mutable std::mutex m_mutex;
    std::map<std::string, fault> m_faults;
};

}
