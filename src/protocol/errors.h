#pragma once

#include <absl/status/status.h>
#include <string>
#include <string_view>

namespace lacewinglock
{

/// An error that names the step that failed and the peer it was talking to; pass "local" where no peer is involved.
inline absl::Status makeError(absl::StatusCode code, std::string_view step, std::string_view peer, std::string_view message)
{
    std::string text(step);
    text.append(" [").append(peer).append("]: ").append(message);
    // Debian builds absl with its own string_view type, which takes std::string but not std::string_view.
    return {code, text};
}

}
