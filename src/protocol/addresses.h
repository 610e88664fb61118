#pragma once

#include "protocol/settings.h"

#include <absl/status/statusor.h>
#include <string_view>

namespace lacewinglock
{

/// Parses "IP:port" or "[IPv6]:port". Host names are refused: the system connects by IP address only.
absl::StatusOr<socket_address> parseSocketAddress(std::string_view text);

}
