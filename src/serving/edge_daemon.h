#pragma once

#include "serving/edge_context.h"

#include <absl/status/statusor.h>
#include <functional>

namespace lacewinglock
{

/// Reads the settings again, on SIGHUP.
using settings_reader = std::function<absl::StatusOr<edge_settings>()>;

/// Serves until SIGTERM. Returns the exit code.
int runEdgeDaemon(const edge_settings &settings, const settings_reader &reread, const platform_factory &makePlatform);

}
