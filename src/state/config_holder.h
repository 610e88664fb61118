#pragma once

#include "protocol/configuration.h"

#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>

namespace lacewinglock
{

/// A parsed configuration with its source document.
struct config_snapshot
{
    configuration parsed;
    nlohmann::json document;
};

/// The active configuration of this daemon. Its version only increases. Thread-safe.
class config_holder
{
public:
    config_holder();

    std::shared_ptr<const config_snapshot> current() const;

    /// Makes a configuration with a higher version the active one. Returns false and changes nothing when the version is not higher.
    bool install(config_snapshot next);

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const config_snapshot> m_current;
};

}
