#pragma once

#include "serving/edge_context.h"

#include <absl/status/statusor.h>
#include <functional>

namespace lacewinglock
{

/// Reads the settings again; called on SIGHUP.
using settings_loader = std::function<absl::StatusOr<edge_settings>()>;

/// Serves until SIGTERM and returns the exit code. Throws std::runtime_error when an address can't be listened on.
int runEdgeDaemon(const edge_settings &settings, const settings_loader &reloadSettings, const platform_factory &makePlatform);

}
