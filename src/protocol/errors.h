#pragma once

#include <absl/status/status.h>
#include <string>
#include <string_view>

namespace lacewinglock
{

/// Creates an error with the text "step [peer]: message". `step` is the operation that failed and `peer` the remote side, or "local" when there
/// is none.
inline absl::Status makeError(absl::StatusCode code, std::string_view step, std::string_view peer, std::string_view message)
{
    std::string text(step);
    text.append(" [").append(peer).append("]: ").append(message);
    // The Debian package of absl has its own string_view type, which converts from std::string but not from std::string_view.
    return {code, text};
}

}
