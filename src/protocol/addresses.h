#pragma once

#include "protocol/settings.h"

#include <absl/status/statusor.h>
#include <string_view>

namespace lacewinglock
{

/// Parses "IPv4:port" or "[IPv6]:port" with a port from 1 to 65535. Returns InvalidArgument otherwise, also for host names, because the system
/// connects by IP address only.
absl::StatusOr<socket_address> parseSocketAddress(std::string_view text);

}
