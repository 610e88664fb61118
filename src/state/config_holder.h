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

/// The configuration in force at this daemon. It only steps forward in version.
class config_holder
{
public:
    config_holder();

    std::shared_ptr<const config_snapshot> current() const;

    /// Installs a higher version; returns false and keeps the current one otherwise.
    bool install(config_snapshot next);

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const config_snapshot> m_current;
};

}
